"""JSON encoding of catalogues, their entries and their changes."""

import cattrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from camphorspread.version.catalogue import (
    Catalogue,
    DrainEntry,
    DrainKind,
    RegionEntry,
    ServiceClass,
    ServiceEntry,
)
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
    "make_catalogue_converter",
    "make_structure_error",
    "structure_bool",
    "structure_int",
    "structure_str",
]


ALLOWED_BY_TYPE = {
    "int": "a whole number",
    "str": "a text",
    "ServiceClass": ", ".join(item.value for item in ServiceClass),
    "DrainKind": ", ".join(item.value for item in DrainKind),
}


def structure_int(value: object, _: type) -> int:
    """Structure an integer; `int` would also accept 1.7, "1" and True."""
    if type(value) is not int:
        raise ValueError("not a whole number")
    return value


def structure_bool(value: object, _: type) -> bool:
    """Structure a boolean."""
    if not isinstance(value, bool):
        raise ValueError("not a boolean")
    return value


def structure_str(value: object, _: type) -> str:
    """Structure a string; `str` would accept any value."""
    if not isinstance(value, str):
        raise ValueError("not a string")
    return value


def make_catalogue_converter(is_strict: bool = True) -> cattrs.Converter:
    """Return a converter that doesn't coerce values of another type.

    Args:
        is_strict: Refuse unknown fields too, as in operators' requests. Data written by the
            project's own processes may have fields of a newer version, which are ignored.
    """
    converter = make_converter(forbid_extra_keys=is_strict)
    converter.register_structure_hook(int, structure_int)
    converter.register_structure_hook(str, structure_str)
    converter.register_structure_hook(bool, structure_bool)
    configure_tagged_union(Change, converter, tag_name="type")
    configure_tagged_union(ServiceEntry | RegionEntry | DrainEntry, converter, tag_name="type")
    return converter


CONVERTER = make_catalogue_converter()
TOLERANT_CONVERTER = make_catalogue_converter(is_strict=False)


def encode(value: object, kind: type | None = None) -> object:
    """Return the JSON form of a catalogue value."""
    return CONVERTER.unstructure(value, unstructure_as=kind)


def decode_change_request(value: object) -> Result[ChangeRequest, ChangeError]:
    """Decode a change request; the error names the first invalid field."""
    try:
        return Success(CONVERTER.structure(value, ChangeRequest))
    except Exception as exc:
        return Failure(make_structure_error(exc, value))


def decode_catalogue(value: object) -> Catalogue:
    """Decode a catalogue that this program wrote.

    Raises:
        cattrs.errors.ClassValidationError: The value isn't a catalogue.
    """
    return TOLERANT_CONVERTER.structure(value, Catalogue)


def make_structure_error(exc: Exception, value: object) -> ChangeError:
    """Return the first validation error of `cattrs` as a `ChangeError`."""
    message, _, path = cattrs.transform_error(exc, path="change")[0].partition(" @ ")
    found = value_at_path(value, path)
    if message.startswith("extra fields found ("):
        name = message.removeprefix("extra fields found (").partition(",")[0].rstrip(")")
        given = found.get(name) if isinstance(found, dict) else found
        return ChangeError(ChangeErrorKind.INVALID, f"{path}.{name}", repr(given), "a known field")
    if message == "required field missing":
        tag = found.get("type") if isinstance(found, dict) else None
        if tag is not None:
            limit = "a known type of this change or entry"
            return ChangeError(ChangeErrorKind.INVALID, f"{path}.type", repr(tag), limit)
        return ChangeError(ChangeErrorKind.INVALID, path, "missing", "a value")
    expected = message.removeprefix("invalid value for type, expected ")
    return ChangeError(
        ChangeErrorKind.INVALID,
        path or "change",
        repr(found),
        ALLOWED_BY_TYPE.get(expected, message),
    )


def value_at_path(value: object, path: str) -> object:
    """Return the value at a path such as `change.change.entry.owner` or `change.rules[0]`."""
    for part in path.replace("[", ".").replace("]", "").split(".")[1:]:
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
    return value


def encode_deltas(deltas: tuple[Delta, ...]) -> object:
    """Return the JSON form of the changes that an entry VM is missing."""
    return CONVERTER.unstructure(deltas, unstructure_as=tuple[Delta, ...])


def decode_deltas(value: object) -> tuple[Delta, ...]:
    """Decode changes that this program wrote.

    Raises:
        cattrs.errors.IterableValidationError: The value isn't a list of changes.
    """
    return TOLERANT_CONVERTER.structure(value, tuple[Delta, ...])
