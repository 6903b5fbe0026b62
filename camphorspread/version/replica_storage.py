"""Persistent storage of a replica: a data folder, or nothing if there is none."""

import fcntl
import json
import os
from functools import partial
from pathlib import Path
from typing import Protocol

import attrs

from camphorspread.version.format import FormatError
from camphorspread.version.log_file import (
    FileOperations,
    LogCorruptedError,
    LogFile,
    encode_record,
    open_log,
    read_small_file,
    replace_file,
    sync_folder,
    write_small_file,
)
from camphorspread.version.replica import StoredState
from camphorspread.version.replica_codec import decode_entry, decode_snapshot, encode_entry
from camphorspread.version.replica_messages import LogEntry

__all__ = [
    "FolderStorage",
    "MemoryStorage",
    "ReplicaStorage",
    "discard_folder",
    "open_folder",
    "read_founders",
    "store_founders",
]


class ReplicaStorage(Protocol):
    """Stores the persistent state of a replica; each method may raise `OSError`."""

    @property
    def log_bytes(self) -> int:
        """Size of the log file."""

    def store_vote(self, term: int, vote: str | None) -> None:
        """Store term and vote durably."""

    def write(self, entries: tuple[LogEntry, ...]) -> None:
        """Write entries, replacing those from the first one's index on."""

    def sync(self) -> None:
        """Make all written entries durable."""

    def store_snapshot(self, data: bytes) -> None:
        """Store an encoded snapshot durably."""

    def compact(self, base_index: int, base_term: int, entries: tuple[LogEntry, ...]) -> None:
        """Replace the log durably."""

    def close(self) -> None:
        """Release the storage."""


@attrs.define(eq=False)
class MemoryStorage:
    """Stores nothing, so that a replica is blank after each start of its process."""

    @property
    def log_bytes(self) -> int:
        """Return 0, as there is no file."""
        return 0

    def store_vote(self, term: int, vote: str | None) -> None:
        """Store nothing; the state machine keeps the state in memory."""

    def write(self, entries: tuple[LogEntry, ...]) -> None:
        """Store nothing."""

    def sync(self) -> None:
        """Store nothing."""

    def store_snapshot(self, data: bytes) -> None:
        """Store nothing."""

    def compact(self, base_index: int, base_term: int, entries: tuple[LogEntry, ...]) -> None:
        """Store nothing."""

    def close(self) -> None:
        """Release nothing."""


@attrs.define(eq=False)
class FolderStorage:
    """Files `vote`, `snapshot`, `log` and `lock` in a data folder.

    Attributes:
        folder: The data folder.
        calls: System calls that write and sync files.
        identity: Random identity of the folder.
        log: The log file; its first record states index and term of the entry before the first.
        base_index: Index of that entry.
        lock: Descriptor that holds the lock, which excludes a second process.
    """

    folder: Path
    calls: FileOperations
    identity: str
    log: LogFile
    base_index: int
    lock: int

    @property
    def log_bytes(self) -> int:
        """Size of the log file."""
        return self.log.size

    def store_vote(self, term: int, vote: str | None) -> None:
        """Store term and vote durably."""
        write_vote(self.folder, self.identity, term, vote, self.calls)

    def write(self, entries: tuple[LogEntry, ...]) -> None:
        """Write entries, replacing those from the first one's index on."""
        self.log.truncate(entries[0].index - self.base_index)
        self.log.append([encode_entry(entry) for entry in entries])

    def sync(self) -> None:
        """Make all written entries durable."""
        self.log.sync()

    def store_snapshot(self, data: bytes) -> None:
        """Store an encoded snapshot durably."""
        write_small_file(self.folder / "snapshot", data, self.calls)

    def compact(self, base_index: int, base_term: int, entries: tuple[LogEntry, ...]) -> None:
        """Replace the log durably."""
        records = [encode_base(base_index, base_term)]
        records += [encode_record(encode_entry(entry)) for entry in entries]
        replace_file(self.log.path, b"".join(records), self.calls)
        path = self.log.path
        self.log.close()
        self.log, _ = open_log(path, self.calls, lambda offset, _: offset)
        self.base_index = base_index

    def close(self) -> None:
        """Close the files and release the lock."""
        self.log.close()
        os.close(self.lock)


def encode_base(base_index: int, base_term: int) -> bytes:
    """Return the first record of a log file."""
    base = {"base_index": base_index, "base_term": base_term}
    return encode_record(json.dumps(base).encode())


def write_vote(
    folder: Path, identity: str, term: int, vote: str | None, calls: FileOperations
) -> None:
    """Store the identity of the folder, the term and the vote."""
    value = {"identity": identity, "term": term, "vote": vote}
    write_small_file(folder / "vote", json.dumps(value).encode(), calls)


def open_folder(
    folder: Path, new_identity: str, calls: FileOperations | None = None
) -> tuple[FolderStorage, StoredState]:
    """Open a data folder, or initialise a blank one with a new identity.

    Args:
        folder: The data folder, created if it doesn't exist.
        new_identity: Random identity for a blank folder.
        calls: System calls that write and sync files.

    Raises:
        FormatError: A file has another major version of the format.
        LogCorruptedError: A file is damaged.
        OSError: The folder can't be used, or another process uses it.
    """
    calls = calls or FileOperations()
    folder.mkdir(parents=True, exist_ok=True)
    lock = os.open(folder / "lock", os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return open_locked_folder(folder, new_identity, calls, lock)
    except BaseException:
        os.close(lock)
        raise


def open_locked_folder(
    folder: Path, new_identity: str, calls: FileOperations, lock: int
) -> tuple[FolderStorage, StoredState]:
    """Read the files of a locked data folder."""
    vote = read_small_file(folder / "vote")
    log_path = folder / "log"
    if vote is None:
        if log_path.exists():
            raise LogCorruptedError(
                folder / "vote", 0, "the file is missing although there is a log"
            )
        write_vote(folder, new_identity, 0, None, calls)
        vote = read_small_file(folder / "vote")
    if not log_path.exists():
        replace_file(log_path, encode_base(0, 0), calls)
    sync_folder(folder.parent, calls)
    vote_record = json.loads(vote)
    log, records = open_log(log_path, calls, partial(decode_log_record, log_path))
    if not records:
        raise LogCorruptedError(log_path, 0, "the first record is missing")
    base, *entries = records
    check_consecutive(log_path, base["base_index"], entries, log.offsets[1:])
    snapshot_data = read_small_file(folder / "snapshot") or b""
    snapshot = decode_snapshot(snapshot_data) if snapshot_data else None
    check_snapshot(folder / "snapshot", snapshot.index if snapshot else 0, base["base_index"])
    stored = StoredState(
        vote_record["identity"],
        vote_record["term"],
        vote_record["vote"],
        snapshot,
        snapshot_data,
        base["base_index"],
        base["base_term"],
        tuple(entries),
    )
    identity = vote_record["identity"]
    return FolderStorage(folder, calls, identity, log, base["base_index"], lock), stored


def check_snapshot(path: Path, index: int, base_index: int) -> None:
    """Check that no entry is missing between snapshot and log."""
    if index < base_index:
        cause = f"it ends at entry {index}, but the log starts after entry {base_index}"
        raise LogCorruptedError(path, 0, cause)


def decode_log_record(path: Path, offset: int, payload: bytes) -> dict | LogEntry:
    """Decode a record of the log: the base at the start of the file, and entries after it."""
    if offset == 0:
        return json.loads(payload)
    try:
        return decode_entry(payload)
    except FormatError:
        raise
    except ValueError as exc:
        raise LogCorruptedError(path, offset, f"the record isn't a log entry: {exc}") from exc


def check_consecutive(
    path: Path, base_index: int, entries: list[LogEntry], offsets: list[int]
) -> None:
    """Check that no log entry is missing."""
    for number, (offset, entry) in enumerate(zip(offsets, entries, strict=True), start=1):
        if entry.index != base_index + number:
            cause = f"entry {entry.index} follows entry {base_index + number - 1}"
            raise LogCorruptedError(path, offset, cause)


def store_founders(folder: Path, hosts: list[str], calls: FileOperations) -> None:
    """Store the hosts of the replicas that bootstrap the group, unless they are stored already.

    Raises:
        OSError: The data folder can't be used.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "founders"
    if not path.exists():
        write_small_file(path, json.dumps(hosts).encode(), calls)


def read_founders(folder: Path) -> list[str]:
    """Return the hosts of the bootstrap replicas, none if the folder was created later.

    Raises:
        LogCorruptedError: The file is damaged.
    """
    data = read_small_file(folder / "founders")
    return json.loads(data) if data else []


def discard_folder(folder: Path, calls: FileOperations) -> None:
    """Delete the files of a damaged data folder.

    The replica then starts blank with a new identity and without the former one's vote, as after
    the loss of a disk.

    Raises:
        OSError: The data folder can't be used.
    """
    for name in ("log", "snapshot", "founders", "vote"):
        (folder / name).unlink(missing_ok=True)
    sync_folder(folder, calls)
