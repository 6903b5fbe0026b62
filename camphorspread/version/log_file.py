"""Files of a replica: the checksummed log, and small files that are replaced atomically."""

import os
import re
import struct
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

import attrs

__all__ = [
    "RECORD_HEAD",
    "FileOperations",
    "LogCorruptedError",
    "LogFile",
    "encode_record",
    "open_log",
    "read_small_file",
    "replace_file",
    "sync_folder",
    "write_small_file",
]

# Length of the payload, CRC-32 of these four bytes, CRC-32 of the payload. If the length had no
# checksum of its own, a flipped bit in it could make the following records look like a torn write.
RECORD_HEAD = struct.Struct(">III")
LENGTH_FIELD = struct.Struct(">I")
SYNCED_END = "synced_end"


class LogCorruptedError(Exception):
    """A file doesn't hold the data that was written to it.

    Attributes:
        path: The file.
        offset: Offset of the damaged record.
    """

    def __init__(self, path: Path, offset: int, cause: str) -> None:
        """Create the error for a file, an offset and a cause."""
        super().__init__(f"{path} is damaged at offset {offset}: {cause}")
        self.path = path
        self.offset = offset


@attrs.frozen
class FileOperations:
    """The system calls that write and sync; tests replace them to inject faults."""

    write: Callable[[int, bytes], int] = os.write
    sync: Callable[[int], None] = os.fsync


def encode_record(payload: bytes) -> bytes:
    """Return a record, which consists of a header and the payload."""
    length = LENGTH_FIELD.pack(len(payload))
    return RECORD_HEAD.pack(len(payload), zlib.crc32(length), zlib.crc32(payload)) + payload


def write_all(calls: FileOperations, descriptor: int, data: bytes) -> None:
    """Write all bytes.

    Raises:
        OSError: The disk is full or failed.
    """
    view = memoryview(data)
    while view:
        view = view[calls.write(descriptor, view) :]


def sync_folder(folder: Path, calls: FileOperations) -> None:
    """Make the directory entries of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        calls.sync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes, calls: FileOperations) -> None:
    """Replace a file atomically: after a crash it holds either the old or the new bytes.

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


def write_small_file(path: Path, payload: bytes, calls: FileOperations) -> None:
    """Replace atomically a file that holds one record."""
    replace_file(path, encode_record(payload), calls)


def read_small_file(path: Path) -> bytes | None:
    """Return the payload of a file that holds one record, None if there is no file.

    Raises:
        LogCorruptedError: The file doesn't hold one intact record.
    """
    try:
        with path.open("rb") as file:
            records = read_records(path, file, lambda _, payload: payload)
    except FileNotFoundError:
        return None
    if len(records.values) != 1 or records.end != path.stat().st_size:
        raise LogCorruptedError(path, 0, "the file doesn't hold exactly one intact record")
    return records.values[0]


@attrs.frozen
class FileRecords:
    """The intact records of a file.

    Attributes:
        values: Decoded payloads.
        offsets: Offset of each record.
        end: End of the last one.
    """

    values: list
    offsets: list[int]
    end: int


def read_records(path: Path, file: BinaryIO, decode: Callable[[int, bytes], object]) -> FileRecords:
    """Read a file record by record, so that its bytes and their decoded form aren't both held.

    After a power failure, data written since the last sync may be torn or missing, in any order.
    Blocks that weren't written hold zeros, which payloads never contain because they are JSON
    text. Each record states up to which offset the file was synced when it was written.

    Args:
        path: Path of the file, for error messages.
        file: The open file.
        decode: Returns the value of a record from its offset and payload.

    Raises:
        LogCorruptedError: A record is damaged in any other way.
    """
    values: list[object] = []
    offsets: list[int] = []
    offset = 0
    size = file.seek(0, os.SEEK_END)
    file.seek(0)
    while offset < size:
        match read_record(read_next(file, size - offset), 0):
            case bytes(payload):
                values.append(decode(offset, payload))
                offsets.append(offset)
                offset += RECORD_HEAD.size + len(payload)
            case None:
                break
            case str(cause):
                file.seek(0)
                check_unsynced(path, file.read(), offset, cause)
                break
    return FileRecords(values, offsets, offset)


def read_next(file: BinaryIO, left: int) -> bytes:
    """Return the bytes of the next record, fewer if the file ends before.

    Args:
        file: The file, at the start of the record.
        left: Bytes left in the file.
    """
    head = file.read(RECORD_HEAD.size)
    if len(head) < RECORD_HEAD.size:
        return head
    length = RECORD_HEAD.unpack(head)[0]
    return head + file.read(min(length, left - len(head)))


def read_record(data: bytes, offset: int) -> bytes | str | None:
    """Return the payload of a record, the cause of damage, or None if the file ends within it."""
    start = offset + RECORD_HEAD.size
    if start > len(data):
        return None
    length, length_checksum, checksum = RECORD_HEAD.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + LENGTH_FIELD.size]) != length_checksum:
        return "the checksum of the length doesn't match"
    if start + length > len(data):
        return None
    payload = data[start : start + length]
    if zlib.crc32(payload) != checksum:
        return "the checksum of the record doesn't match"
    return payload


def check_unsynced(path: Path, data: bytes, offset: int, cause: str) -> None:
    """Check that a damaged record wasn't synced before the power failure.

    Raises:
        LogCorruptedError: The record was synced, or its end was written.
    """
    next_offset = offset + 1
    first_intact = len(data)
    while next_offset < len(data):
        payload = read_record(data, next_offset) if data[next_offset : next_offset + 1] else None
        if not isinstance(payload, bytes) or not payload:
            next_offset += 1
            continue
        first_intact = min(first_intact, next_offset)
        if read_synced_end(payload) > offset:
            raise LogCorruptedError(path, offset, cause)
        next_offset += RECORD_HEAD.size + len(payload)
    if not data[offset:first_intact].endswith(b"\0"):
        raise LogCorruptedError(path, offset, cause)


def add_synced_end(payload: bytes, synced_end: int) -> bytes:
    """Return a payload, a JSON object, with the offset up to which the file is synced added."""
    return payload[:-1] + f',"{SYNCED_END}":{synced_end}}}'.encode()


def read_synced_end(payload: bytes) -> int:
    """Return up to which offset the file was synced when a record was written, 0 if unknown."""
    found = re.search(rb',"' + SYNCED_END.encode() + rb'":(\d+)\}\Z', payload)
    return int(found[1]) if found else 0


@attrs.define(eq=False)
class LogFile:
    """An append-only file of records that can be truncated.

    Attributes:
        path: The file.
        calls: System calls that write and sync.
        descriptor: File descriptor of the open file.
        offsets: Offset of each record.
        size: End of the last record.
        synced_end: Offset up to which the file is synced.
    """

    path: Path
    calls: FileOperations
    descriptor: int
    offsets: list[int]
    size: int
    synced_end: int = 0

    def append(self, payloads: list[bytes]) -> None:
        """Append records, which are durable only after `sync`.

        Raises:
            OSError: The disk is full or failed; the file is as long as before.
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


def open_log(
    path: Path, calls: FileOperations, decode: Callable[[int, bytes], object]
) -> tuple[LogFile, list]:
    """Open a log, drop a torn last record, and return the log and its decoded records.

    Args:
        path: The file, created if it doesn't exist.
        calls: System calls that write and sync.
        decode: Returns the value of a record from its offset and payload.

    Raises:
        LogCorruptedError: A record is damaged and isn't a torn last record.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    try:
        with path.open("rb") as file:
            records = read_records(path, file, decode)
    except BaseException:
        os.close(descriptor)
        raise
    log = LogFile(path, calls, descriptor, records.offsets, records.end)
    if records.end < os.fstat(descriptor).st_size:
        os.ftruncate(descriptor, records.end)
    log.sync()
    return log, records.values
