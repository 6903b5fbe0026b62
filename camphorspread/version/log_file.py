"""Files of a replica: the log with checksums, and small files that are replaced whole."""

import os
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

    A torn last record ends at the end of the file, or in zeros where blocks weren't written
    before a power failure; payloads are JSON text and hold no zero byte.

    Raises:
        LogDamagedError: A record is damaged in any other way.
    """
    records: list[tuple[int, bytes]] = []
    offset = 0
    while offset < len(data):
        start = offset + RECORD_HEAD.size
        if start > len(data):
            break
        length, length_checksum, checksum = RECORD_HEAD.unpack_from(data, offset)
        is_unwritten = data.endswith(b"\0")
        if zlib.crc32(data[offset : offset + LENGTH.size]) != length_checksum:
            if is_unwritten and not data[start:].strip(b"\0"):
                break
            raise LogDamagedError(path, offset, "the checksum of the length doesn't match")
        if start + length > len(data):
            break
        payload = data[start : start + length]
        if zlib.crc32(payload) != checksum:
            if is_unwritten and start + length == len(data):
                break
            raise LogDamagedError(path, offset, "the checksum of the record doesn't match")
        records.append((offset, payload))
        offset = start + length
    return records, offset


@attrs.define(eq=False)
class LogFile:
    """An append-only file of records that can also be shortened.

    Attributes:
        path: The file.
        calls: How it writes and syncs.
        descriptor: Of the open file.
        offsets: Where each record starts.
        size: Where the last record ends.
    """

    path: Path
    calls: FileCalls
    descriptor: int
    offsets: list[int]
    size: int

    def append(self, payloads: list[bytes]) -> None:
        """Write records after the last one; they are durable only after `sync`.

        Raises:
            OSError: The disk is full or failed; the file ends where it did before.
        """
        data = bytearray()
        offsets = []
        for payload in payloads:
            offsets.append(self.size + len(data))
            data += encode_record(payload)
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
            del self.offsets[count:]
            os.ftruncate(self.descriptor, self.size)

    def sync(self) -> None:
        """Make all records durable."""
        self.calls.sync(self.descriptor)

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
