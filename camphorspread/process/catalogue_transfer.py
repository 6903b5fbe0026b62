"""Messages and progress of the transfer of a catalogue update to an entry VM, in parts."""

import base64
import binascii
from datetime import timedelta

import attrs

from camphorspread.version.catalogue_update import EncodedUpdate, update_digest

__all__ = [
    "CATALOGUE_PATH",
    "PartRequest",
    "Transfer",
    "UpdatePart",
    "add_part",
    "cut_part",
    "decode_part",
    "decode_part_request",
    "encode_part",
    "encode_part_request",
    "is_intact",
]

CATALOGUE_PATH = "/v1/vm/catalogue"
# On a link of 2 Mbit/s, other messages wait for one part, in base64, about 0.13 s.
PART_BYTES = 24 * 1024


@attrs.frozen
class PartRequest:
    """An entry VM's request for a part of an update.

    Attributes:
        version: Catalogue version in force at the entry VM, 0 before the first one.
        document: Identity of its routing document, empty before the first one.
        digest: Digest of the update that it is receiving, empty for none.
        offset: Number of bytes that it has received.
    """

    version: int
    document: str
    digest: str = ""
    offset: int = 0


@attrs.frozen
class UpdatePart:
    """Part of an update.

    Attributes:
        version: Catalogue version that the update leads to.
        digest: Digest of the whole update.
        size: Bytes of the whole update.
        offset: Position of the part.
        data: Bytes of the part.
    """

    version: int
    digest: str
    size: int
    offset: int
    data: bytes = attrs.field(repr=False)


@attrs.define(eq=False)
class Transfer:
    """An update that an entry VM is receiving.

    Attributes:
        version: Catalogue version that it leads to.
        digest: Digest of the whole update.
        size: Bytes of the whole update.
        started_at: When its first part was requested.
        data: The bytes received.
    """

    version: int
    digest: str
    size: int
    started_at: timedelta
    data: bytearray = attrs.field(factory=bytearray)

    @property
    def is_complete(self) -> bool:
        """True once all bytes have arrived."""
        return len(self.data) >= self.size


def cut_part(update: EncodedUpdate, request: PartRequest) -> UpdatePart:
    """Return the part of an update that follows what the entry VM has of it."""
    offset = request.offset if request.digest == update.digest else 0
    data = update.data[offset : offset + PART_BYTES]
    return UpdatePart(update.version, update.digest, len(update.data), offset, data)


def add_part(transfer: Transfer | None, part: UpdatePart, requested_at: timedelta) -> Transfer:
    """Return the transfer with a part; it begins anew if the part belongs to another update.

    Args:
        transfer: The transfer so far, None for none.
        part: The part that arrived.
        requested_at: When the part was requested.
    """
    if transfer is None or transfer.digest != part.digest:
        transfer = Transfer(part.version, part.digest, part.size, requested_at)
    if part.offset == len(transfer.data):
        transfer.data += part.data
    return transfer


def is_intact(transfer: Transfer) -> bool:
    """Return True if the bytes of a complete transfer have the stated digest."""
    return update_digest(bytes(transfer.data)) == transfer.digest


def encode_part_request(request: PartRequest) -> dict:
    """Return the JSON form of a request."""
    return attrs.asdict(request)


def decode_part_request(value: object) -> PartRequest:
    """Decode a request.

    Raises:
        ValueError: The value isn't a request.
    """
    match value:
        case {
            "version": int(version),
            "document": str(document),
            "digest": str(digest),
            "offset": int(offset),
        } if offset >= 0:
            return PartRequest(version, document, digest, offset)
    raise ValueError("a request needs version, document, digest and offset")


def encode_part(part: UpdatePart) -> dict:
    """Return the JSON form of a part."""
    return {**attrs.asdict(part), "data": base64.b64encode(part.data).decode()}


def decode_part(value: object) -> UpdatePart | None:
    """Decode a part; None if the response has none.

    Raises:
        ValueError: The part is malformed.
    """
    match value:
        case {
            "version": int(version),
            "digest": str(digest),
            "size": int(size),
            "offset": int(offset),
            "data": str(text),
        }:
            pass
        case {"version": int()}:
            return None
        case _:
            raise ValueError("the response isn't a part of an update")
    try:
        data = base64.b64decode(text, validate=True)
    except binascii.Error as exc:
        raise ValueError(f"the part isn't base64: {exc}") from exc
    if offset < 0 or not data or offset + len(data) > size:
        raise ValueError("the part lies outside the update")
    return UpdatePart(version, digest, size, offset, data)
