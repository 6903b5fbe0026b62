"""JSON encoding of log entries, messages, snapshots and membership changes."""

import json
from datetime import timedelta

import cattrs
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from camphorspread.version.changes import ChangeError
from camphorspread.version.codec import make_catalogue_converter, make_structure_error
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
    """Return a converter that encodes instants in microseconds."""
    converter = make_catalogue_converter(is_strict)
    converter.register_unstructure_hook(timedelta, lambda value: value // MICROSECOND)
    converter.register_structure_hook(timedelta, lambda value, _: int(value) * MICROSECOND)
    # Payloads are registered first, because the hooks of messages are built from those of their
    # fields.
    for union in (NoOp | ChangeEntry | MembersEntry, Message, MembershipChange):
        configure_tagged_union(union, converter, tag_name="type")
    return converter


CONVERTER = make_replica_converter(is_strict=False)
OPERATOR_CONVERTER = make_replica_converter(is_strict=True)


def encode_replica_value(value: object) -> object:
    """Return the JSON form of a message in its envelope, an outcome or a member."""
    return CONVERTER.unstructure(value)


def encode_versioned(value: object) -> bytes:
    """Encode a value as compact JSON text that states the format version."""
    stated = {"format": FORMAT, **CONVERTER.unstructure(value)}
    return json.dumps(stated, separators=(",", ":")).encode()


def decode_versioned(data: bytes, kind: type) -> object:
    """Decode JSON text that states the format version."""
    try:
        value = json.loads(data)
    except RecursionError as exc:
        raise ValueError("the text is nested too deeply") from exc
    if isinstance(value, dict):
        check_format(value.get("format"))
    return structure(value, kind)


def encode_entry(entry: LogEntry) -> bytes:
    """Encode a log entry as the payload of a log record."""
    return encode_versioned(entry)


def decode_entry(data: bytes) -> LogEntry:
    """Decode the payload of a log record.

    Raises:
        FormatError: The data has another major format version.
        ValueError: The bytes aren't a log entry.
    """
    return decode_versioned(data, LogEntry)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    return encode_versioned(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        FormatError: The data has another major format version.
        ValueError: The bytes aren't a snapshot.
    """
    return decode_versioned(data, Snapshot)


def decode_envelope(value: object) -> Envelope:
    """Decode a message in its envelope.

    Raises:
        ValueError: The value isn't a message.
    """
    return structure(value, Envelope)


def structure(value: object, kind: type) -> object:
    """Convert a JSON value that this program wrote."""
    try:
        return CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as exc:
        raise ValueError("; ".join(cattrs.transform_error(exc))) from exc


def decode_membership_change(value: object) -> Result[MembershipChange, ChangeError]:
    """Decode a membership change; the error names the first invalid field."""
    try:
        return Success(OPERATOR_CONVERTER.structure(value, MembershipChange))
    except Exception as exc:
        return Failure(make_structure_error(exc, value))
