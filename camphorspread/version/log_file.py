"""Files of a replica: the log with checksums, and small files that are replaced whole."""

import os
import re
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

import attrs

__all__ = [
    "RECORD_HEAD",
    "FileCalls",
    "LogDamagedError",
    "LogFile",
    "encode_record",
    "open_log",
    "read_small_file",
    "replace_file",
    "sync_folder",
    "write_small_file",
]

# Length of the payload, CRC-32 of those four bytes, CRC-32 of the payload. Without its own
# checksum a flipped bit in a length could make the records after it look like a torn one.
RECORD_HEAD = struct.Struct(">III")
LENGTH = struct.Struct(">I")
SYNCED_END = "synced_end"


class LogDamagedError(Exception):
    """A file doesn't hold what was written to it.

    Attributes:
        path: The file.
        offset: Where the damaged record starts.
    """

    def __init__(self, path: Path, offset: int, cause: str) -> None:
        """Keep file and offset."""
        super().__init__(f"{path} is damaged at offset {offset}: {cause}")
        self.path = path
        self.offset = offset


@attrs.frozen
class FileCalls:
    """The system calls that write and sync, which tests replace to make them fail."""

    write: Callable[[int, bytes], int] = os.write
    sync: Callable[[int], None] = os.fsync


def encode_record(payload: bytes) -> bytes:
    """Return a record: head and payload."""
    length = LENGTH.pack(len(payload))
    return RECORD_HEAD.pack(len(payload), zlib.crc32(length), zlib.crc32(payload)) + payload


def write_all(calls: FileCalls, descriptor: int, data: bytes) -> None:
    """Write all bytes.

    Raises:
        OSError: The disk is full or failed.
    """
    view = memoryview(data)
    while view:
        view = view[calls.write(descriptor, view) :]


def sync_folder(folder: Path, calls: FileCalls) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        calls.sync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes, calls: FileCalls) -> None:
    """Replace a file so that it holds either the old or the new bytes after a crash.

    Raises:
        OSError: The disk is full or failed; the old file is intact.
    """
    partial = path.with_name(path.name + ".partial")
    descriptor = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(calls, descriptor, data)
        calls.sync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(partial, path)
    sync_folder(path.parent, calls)


def write_small_file(path: Path, payload: bytes, calls: FileCalls) -> None:
    """Replace a file that holds one record."""
    replace_file(path, encode_record(payload), calls)


def read_small_file(path: Path) -> bytes | None:
    """Return the payload of a file that holds one record, None if there is no file.

    Raises:
        LogDamagedError: The file isn't whole.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    records, end = split_records(path, data)
    if len(records) != 1 or end != len(data):
        raise LogDamagedError(path, 0, "the file doesn't hold one whole record")
    return records[0][1]


def split_records(path: Path, data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """Return the records, each with its offset, and where the last whole one ends.

    What was written after the last sync may be torn or missing after a power failure, in any
    order: blocks that weren't written hold zeros, which payloads never do, as they are JSON text.
    A later record tells up to where the file was synced when it was written.

    Raises:
        LogDamagedError: A record is damaged in any other way.
    """
    records: list[tuple[int, bytes]] = []
    offset = 0
    while offset < len(data):
        match read_record(data, offset):
            case bytes(payload):
                records.append((offset, payload))
                offset += RECORD_HEAD.size + len(payload)
            case None:
                break
            case str(cause):
                check_unsynced(path, data, offset, cause)
                break
    return records, offset


def read_record(data: bytes, offset: int) -> bytes | str | None:
    """Return the payload of a record, what is damaged, or None if the file ends within it."""
    start = offset + RECORD_HEAD.size
    if start > len(data):
        return None
    length, length_checksum, checksum = RECORD_HEAD.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + LENGTH.size]) != length_checksum:
        return "the checksum of the length doesn't match"
    if start + length > len(data):
        return None
    payload = data[start : start + length]
    if zlib.crc32(payload) != checksum:
        return "the checksum of the record doesn't match"
    return payload


def check_unsynced(path: Path, data: bytes, offset: int, cause: str) -> None:
    """Check that a damaged record wasn't synced before the power failed.

    Raises:
        LogDamagedError: It was, or its end was written.
    """
    following = offset + 1
    first_whole = len(data)
    while following < len(data):
        payload = read_record(data, following) if data[following : following + 1] else None
        if not isinstance(payload, bytes) or not payload:
            following += 1
            continue
        first_whole = min(first_whole, following)
        if read_synced_end(payload) > offset:
            raise LogDamagedError(path, offset, cause)
        following += RECORD_HEAD.size + len(payload)
    if not data[offset:first_whole].endswith(b"\0"):
        raise LogDamagedError(path, offset, cause)


def add_synced_end(payload: bytes, synced_end: int) -> bytes:
    """Return a payload, a JSON object, that tells up to where the file is synced."""
    return payload[:-1] + f',"{SYNCED_END}":{synced_end}}}'.encode()


def read_synced_end(payload: bytes) -> int:
    """Return up to where the file was synced when a record was written; 0 if it doesn't tell."""
    found = re.search(rb',"' + SYNCED_END.encode() + rb'":(\d+)\}\Z', payload)
    return int(found[1]) if found else 0


@attrs.define(eq=False)
class LogFile:
    """An append-only file of records that can also be shortened.

    Attributes:
        path: The file.
        calls: How it writes and syncs.
        descriptor: Of the open file.
        offsets: Where each record starts.
        size: Where the last record ends.
        synced_end: Up to where the file is synced.
    """

    path: Path
    calls: FileCalls
    descriptor: int
    offsets: list[int]
    size: int
    synced_end: int = 0

    def append(self, payloads: list[bytes]) -> None:
        """Write records after the last one; they are durable only after `sync`.

        Raises:
            OSError: The disk is full or failed; the file ends where it did before.
        """
        data = bytearray()
        offsets = []
        for payload in payloads:
            offsets.append(self.size + len(data))
            data += encode_record(add_synced_end(payload, self.synced_end))
        try:
            write_all(self.calls, self.descriptor, bytes(data))
        except OSError:
            os.ftruncate(self.descriptor, self.size)
            raise
        self.offsets += offsets
        self.size += len(data)

    def truncate(self, count: int) -> None:
        """Keep the first `count` records."""
        if count < len(self.offsets):
            self.size = self.offsets[count]
            self.synced_end = min(self.synced_end, self.size)
            del self.offsets[count:]
            os.ftruncate(self.descriptor, self.size)

    def sync(self) -> None:
        """Make all records durable."""
        end = self.size
        self.calls.sync(self.descriptor)
        self.synced_end = end

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


def open_log(path: Path, calls: FileCalls) -> tuple[LogFile, list[tuple[int, bytes]]]:
    """Open a log, dropping a torn last record; return it with its records and their offsets.

    Raises:
        LogDamagedError: A record is damaged and isn't a torn last one.
    """
    data = path.read_bytes() if path.exists() else b""
    records, end = split_records(path, data)
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    log = LogFile(path, calls, descriptor, [offset for offset, _ in records], end)
    if end < len(data):
        os.ftruncate(descriptor, end)
    log.sync()
    return log, records
