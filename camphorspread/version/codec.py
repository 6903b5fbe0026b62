"""JSON of catalogue entries, changes and catalogues."""

import cattrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from camphorspread.version.catalogue import Catalogue, DrainEntry, RegionEntry, ServiceEntry
from camphorspread.version.changes import (
    Change,
    ChangeError,
    ChangeErrorKind,
    ChangeRequest,
)
from camphorspread.version.delivery import Delta

__all__ = [
    "CONVERTER",
    "decode_catalogue",
    "decode_change_request",
    "decode_deltas",
    "encode",
    "encode_deltas",
]


def make_catalogue_converter() -> cattrs.Converter:
    """Return the converter, which refuses unknown fields."""
    converter = make_converter(forbid_extra_keys=True)
    configure_tagged_union(Change, converter, tag_name="type")
    configure_tagged_union(ServiceEntry | RegionEntry | DrainEntry, converter, tag_name="type")
    return converter


CONVERTER = make_catalogue_converter()


def encode(value: object, kind: type | None = None) -> object:
    """Return the JSON form of a catalogue value."""
    return CONVERTER.unstructure(value, unstructure_as=kind)


def decode_change_request(value: object) -> Result[ChangeRequest, ChangeError]:
    """Read a change request, naming the first field at fault."""
    try:
        return Success(CONVERTER.structure(value, ChangeRequest))
    except Exception as exc:
        return Failure(describe_fault(exc))


def decode_catalogue(value: object) -> Catalogue:
    """Read a catalogue that this program wrote.

    Raises:
        cattrs.errors.ClassValidationError: The value is no catalogue.
    """
    return CONVERTER.structure(value, Catalogue)


def encode_deltas(deltas: tuple[Delta, ...]) -> object:
    """Return the JSON form of changes that an entry VM lacks."""
    return CONVERTER.unstructure(deltas, unstructure_as=tuple[Delta, ...])


def decode_deltas(value: object) -> tuple[Delta, ...]:
    """Read changes that this program wrote.

    Raises:
        cattrs.errors.IterableValidationError: The value holds no changes.
    """
    return CONVERTER.structure(value, tuple[Delta, ...])


def describe_fault(exc: Exception) -> ChangeError:
    """Return field, value and limit of the first fault that `cattrs` found."""
    lines = cattrs.transform_error(exc, path="change")
    message, _, path = lines[0].partition(" @ ")
    return ChangeError(ChangeErrorKind.INVALID, path or "change", "not accepted", message)
