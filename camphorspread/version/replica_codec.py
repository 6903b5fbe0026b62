"""JSON of log entries, messages, snapshots and changes of the members."""

import json
from datetime import timedelta

import cattrs
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from camphorspread.version.changes import ChangeError
from camphorspread.version.codec import describe_fault, make_catalogue_converter
from camphorspread.version.format import FORMAT, check_format
from camphorspread.version.replica_messages import (
    ChangeEntry,
    Envelope,
    LogEntry,
    MembersEntry,
    MembershipChange,
    Message,
    NoOp,
    Snapshot,
)

__all__ = [
    "decode_entry",
    "decode_envelope",
    "decode_membership_change",
    "decode_snapshot",
    "encode_entry",
    "encode_replica_value",
    "encode_snapshot",
]

MICROSECOND = timedelta(microseconds=1)


def make_replica_converter(is_strict: bool) -> cattrs.Converter:
    """Return a converter that writes instants in microseconds."""
    converter = make_catalogue_converter(is_strict)
    converter.register_unstructure_hook(timedelta, lambda value: value // MICROSECOND)
    converter.register_structure_hook(timedelta, lambda value, _: int(value) * MICROSECOND)
    # The payloads come first: the hooks of messages are made from those of their fields.
    for union in (NoOp | ChangeEntry | MembersEntry, Message, MembershipChange):
        configure_tagged_union(union, converter, tag_name="type")
    return converter


CONVERTER = make_replica_converter(is_strict=False)
OPERATOR_CONVERTER = make_replica_converter(is_strict=True)


def encode_replica_value(value: object) -> object:
    """Return the JSON form of a message in its envelope, an outcome or a member."""
    return CONVERTER.unstructure(value)


def to_bytes(value: object) -> bytes:
    """Return compact JSON text that states the format version."""
    stated = {"format": FORMAT, **CONVERTER.unstructure(value)}
    return json.dumps(stated, separators=(",", ":")).encode()


def from_bytes(data: bytes, kind: type) -> object:
    """Read JSON text that states the format version."""
    value = json.loads(data)
    if isinstance(value, dict):
        check_format(value.get("format"))
    return structure(value, kind)


def encode_entry(entry: LogEntry) -> bytes:
    """Return the payload of a log record."""
    return to_bytes(entry)


def decode_entry(data: bytes) -> LogEntry:
    """Read the payload of a log record.

    Raises:
        FormatError: It has another major version.
        ValueError: The bytes are no log entry.
    """
    return from_bytes(data, LogEntry)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot."""
    return to_bytes(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Read the bytes of a snapshot.

    Raises:
        FormatError: It has another major version.
        ValueError: The bytes are no snapshot.
    """
    return from_bytes(data, Snapshot)


def decode_envelope(value: object) -> Envelope:
    """Read a message in its envelope.

    Raises:
        ValueError: The value is no message.
    """
    return structure(value, Envelope)


def structure(value: object, kind: type) -> object:
    """Read a value that this program wrote."""
    try:
        return CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as exc:
        raise ValueError("; ".join(cattrs.transform_error(exc))) from exc


def decode_membership_change(value: object) -> Result[MembershipChange, ChangeError]:
    """Read a change of the members, naming the first field at fault."""
    try:
        return Success(OPERATOR_CONVERTER.structure(value, MembershipChange))
    except Exception as exc:
        return Failure(describe_fault(exc, value))
