"""Updates that bring an entry VM from one catalogue version to a newer one, as compressed JSON."""

import hashlib
import json
import zlib
from datetime import timedelta

import attrs
from cattrs.preconf.json import make_converter

from camphorspread.version.codec import structure_bool, structure_int, structure_str
from camphorspread.version.routing_changes import RoutingChanges

__all__ = [
    "MAX_UPDATE_BYTES",
    "CatalogueUpdate",
    "EncodedUpdate",
    "decode_update",
    "encode_update",
    "update_digest",
]

# Size of an update before its compression, beyond which a receiver refuses it.
MAX_UPDATE_BYTES = 64 * 1024 * 1024
MICROSECOND = timedelta(microseconds=1)


@attrs.frozen
class CatalogueUpdate:
    """What an entry VM needs of a newer catalogue version.

    Attributes:
        version: The catalogue version.
        evacuated_zones: Availability zones whose backend servers get no request, at this version.
        routing: Changes of the routes, None if they are the same.
    """

    version: int
    evacuated_zones: tuple[str, ...]
    routing: RoutingChanges | None = None


@attrs.frozen
class EncodedUpdate:
    """The bytes of an update, which are the same wherever it is encoded.

    Attributes:
        version: The catalogue version that it leads to.
        digest: Digest of the bytes, which identifies the update.
        data: The bytes.
    """

    version: int
    digest: str
    data: bytes = attrs.field(repr=False)


def make_update_converter():
    """Return a converter for entries that a control VM has validated; unknown fields are ignored.

    Fields with their default value are left out, and durations are in microseconds.
    """
    converter = make_converter(omit_if_default=True, detailed_validation=False)
    converter.register_structure_hook(int, structure_int)
    converter.register_structure_hook(str, structure_str)
    converter.register_structure_hook(bool, structure_bool)
    converter.register_unstructure_hook(timedelta, lambda value: value // MICROSECOND)
    converter.register_structure_hook(
        timedelta, lambda value, _: structure_int(value, int) * MICROSECOND
    )
    return converter


CONVERTER = make_update_converter()


def encode_update(update: CatalogueUpdate) -> EncodedUpdate:
    """Encode and compress an update."""
    text = json.dumps(CONVERTER.unstructure(update), separators=(",", ":"), sort_keys=True)
    data = zlib.compress(text.encode())
    return EncodedUpdate(update.version, update_digest(data), data)


def decode_update(data: bytes) -> CatalogueUpdate:
    """Decode an update.

    Raises:
        ValueError: The bytes aren't an update, or exceed `MAX_UPDATE_BYTES`.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, MAX_UPDATE_BYTES)
        if not decompressor.eof:
            raise ValueError("the update is incomplete or too large")
        return CONVERTER.structure(json.loads(text), CatalogueUpdate)
    except (zlib.error, KeyError, TypeError, AttributeError, RecursionError, OverflowError) as exc:
        raise ValueError(f"the update can't be read: {exc!r}") from exc


def update_digest(data: bytes) -> str:
    """Return the digest of an encoded update."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
