"""Steps for the files of a replica."""

import contextlib
import shutil

from behave import given, then, when

from camphorspread.version.log_file import RECORD_HEAD, FileOperations, LogCorruptedError
from camphorspread.version.replica_messages import ChangeEntry, LogEntry
from camphorspread.version.replica_storage import open_folder
from features.fixtures.data_folder import FullDisk
from features.fixtures.replica_group import change


def make_entry(index):
    return LogEntry(index, 1, ChangeEntry(change(f"c{index}", index - 1), "2026-01-01"))


def read_folder(folder, calls=None):
    """Open a data folder, close it and return its contents."""
    storage, stored = open_folder(folder, "other", calls)
    storage.close()
    return stored


@given("a data folder with {count:d} log entries")
def step_make_folder(context, count):
    context.disk = FullDisk()
    context.entries = tuple(make_entry(index) for index in range(1, count + 1))
    storage, _ = open_folder(context.data_folder, "first", FileOperations(write=context.disk.write))
    storage.store_vote(7, "a/1")
    storage.write(context.entries)
    storage.sync()
    context.offsets = [*storage.log.offsets, storage.log.size]
    context.storage = storage
    context.variants = []


def add_variant(context, data):
    """Record a damaged variant of the log file."""
    context.variants.append(bytes(data))


@when("in the log file {what}")
def step_damage(context, what):
    context.storage.close()
    data = (context.data_folder / "log").read_bytes()
    start, end = context.offsets[-2], context.offsets[-1]
    match what:
        case "nothing is damaged":
            add_variant(context, data)
        case "the last record is cut short at any byte":
            for size in range(start, end):
                add_variant(context, data[:size])
        case "the last record ends in blocks never written":
            for size in (start, start + 5, start + RECORD_HEAD.size, end - 40):
                add_variant(context, data[:size] + bytes(end - size))
        case "any single bit of any record is flipped":
            for offset in range(0, end, 7):
                flipped = bytearray(data)
                flipped[offset] ^= 1 << offset % 8
                add_variant(context, flipped)
            for offset in context.offsets[:-1]:
                flipped = bytearray(data)
                flipped[offset] ^= 0x40  # A length far beyond the end of the file.
                add_variant(context, flipped)
        case "the middle record is removed":
            add_variant(context, data[: context.offsets[2]] + data[start:])
        case _:
            is_synced, kept = DAMAGE_BEFORE_LAST[what]
            damage_before_last(context, is_synced, kept)


# Whether the damaged record was synced, and how many of its bytes were written.
DAMAGE_BEFORE_LAST = {
    "an unsynced record is missing before another": (False, 0),
    "an unsynced record is torn before another": (False, RECORD_HEAD.size + 9),
    "a synced record is missing before another": (True, 0),
}


def damage_before_last(context, is_synced, kept):
    """Add two records, and replace the first by zeros except for its first `kept` bytes."""
    storage, _ = open_folder(context.data_folder, "other")
    storage.write((make_entry(4),))
    if is_synced:
        storage.sync()
    storage.write((make_entry(5),))
    start, end = storage.log.offsets[-2:]
    storage.close()
    data = (context.data_folder / "log").read_bytes()
    add_variant(context, data[: start + kept] + bytes(end - start - kept) + data[end:])


@then("opening the data folder gives {count:d} entries")
def step_check_entries(context, count):
    for variant in context.variants:
        (context.data_folder / "log").write_bytes(variant)
        assert read_folder(context.data_folder).entries == context.entries[:count]
        # The torn record must be removed from the file, not only skipped.
        size = (context.data_folder / "log").stat().st_size
        assert size == context.offsets[count + 1], f"{size} of {context.offsets}"


@then("opening the data folder gives an error with file and offset")
def step_check_damage(context):
    for variant in context.variants:
        (context.data_folder / "log").write_bytes(variant)
        try:
            stored = read_folder(context.data_folder)
        except LogCorruptedError as exc:
            assert str(context.data_folder / "log") in str(exc) and "offset" in str(exc), exc
        else:
            raise AssertionError(f"{len(stored.entries)} entries were read")


@then("opening it again gives the same identity, term and vote")
def step_check_identity(context):
    context.storage.close()
    stored = read_folder(context.data_folder)
    assert (stored.identity, stored.term, stored.vote) == ("first", 7, "a/1"), stored
    shutil.rmtree(context.data_folder)
    assert read_folder(context.data_folder).identity == "other"


@then("a second process can't open it at the same time")
def step_check_lock(context):
    storage, _ = open_folder(context.data_folder, "other")
    try:
        with contextlib.suppress(BlockingIOError):
            open_folder(context.data_folder, "other")
            raise AssertionError("the folder was opened twice")
    finally:
        storage.close()


@when("the disk becomes full within the next record")
def step_fill_within_record(context):
    context.disk.room = 30
    context.write_failed = False
    try:
        context.storage.write((make_entry(4),))
    except OSError:
        context.write_failed = True
    context.storage.close()


@then("the write fails and opening the data folder gives the {count:d} entries")
def step_check_full(context, count):
    assert context.write_failed, "the write didn't fail"
    assert (context.data_folder / "log").stat().st_size == context.offsets[-1]
    assert read_folder(context.data_folder).entries == context.entries[:count]


@when("the disk becomes full while a vote is stored")
def step_fill_within_vote(context):
    context.disk.room = 10
    with contextlib.suppress(OSError):
        context.storage.store_vote(8, "b/2")
    context.storage.close()


@then("opening the data folder gives the former vote")
def step_check_vote(context):
    stored = read_folder(context.data_folder)
    assert (stored.term, stored.vote) == (7, "a/1"), stored
