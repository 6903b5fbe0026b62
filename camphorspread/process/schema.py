"""Checks a JSON value against attrs classes and reports all faults, each with its path."""

import types
import typing
from collections.abc import Iterator

import attrs

__all__ = ["Fault", "find_faults", "shorten_value"]

MAX_SHOWN_CHARACTERS = 60
ALLOWED_TEXTS = {str: "a text", int: "a whole number", float: "a number", bool: "true or false"}


@attrs.frozen
class Fault:
    """One fault of a file.

    Attributes:
        path: Path of the field, such as `settings.callers.port`.
        value: Text of the given value, shortened.
        allowed: What is allowed there.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return one line for an operator."""
        return f"{self.path} is {self.value}; allowed: {self.allowed}"


def shorten_value(value: object) -> str:
    """Return the text of a value, shortened for a message."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def find_faults(value: object, kind: object, path: str) -> Iterator[Fault]:
    """Yield every place where a JSON value doesn't have the expected type.

    Args:
        value: The decoded JSON.
        kind: An attrs class, `str`, `int`, `float`, `bool`, `tuple[X, ...]`, `dict[str, X]` or
            `X | None`.
        path: Path of the value.
    """
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is types.UnionType:
        if value is not None:
            yield from find_faults(value, arguments[0], path)
    elif origin is tuple:
        yield from find_list_faults(value, arguments[0], path)
    elif origin is dict:
        yield from find_mapping_faults(value, arguments[1], path)
    elif attrs.has(kind):
        yield from find_object_faults(value, kind, path)
    elif not has_scalar_type(value, kind):
        yield Fault(path, shorten_value(value), ALLOWED_TEXTS[kind])


def has_scalar_type(value: object, kind: type) -> bool:
    """Return True if a value has a scalar type; an integer is a number, a boolean isn't."""
    if kind is bool:
        return isinstance(value, bool)
    accepted = (int, float) if kind is float else (kind,)
    return isinstance(value, accepted) and not isinstance(value, bool)


def find_list_faults(value: object, kind: object, path: str) -> Iterator[Fault]:
    """Yield the faults of a list."""
    if not isinstance(value, list):
        yield Fault(path, shorten_value(value), "a list")
        return
    for position, item in enumerate(value):
        yield from find_faults(item, kind, f"{path}[{position}]")


def find_mapping_faults(value: object, kind: object, path: str) -> Iterator[Fault]:
    """Yield the faults of an object with arbitrary keys."""
    if not isinstance(value, dict):
        yield Fault(path, shorten_value(value), "an object")
        return
    for name, item in value.items():
        yield from find_faults(item, kind, f"{path}.{name}")


def find_object_faults(value: object, kind: type, path: str) -> Iterator[Fault]:
    """Yield the faults of an object whose keys are the fields of a class."""
    if not isinstance(value, dict):
        yield Fault(path, shorten_value(value), "an object")
        return
    fields = {field.name: field for field in attrs.fields(attrs.resolve_types(kind))}
    for name in value:
        if name not in fields:
            allowed = "no such field; known are " + ", ".join(sorted(fields))
            yield Fault(f"{path}.{name}", shorten_value(value[name]), allowed)
    for name, field in fields.items():
        if name in value:
            yield from find_faults(value[name], field.type, f"{path}.{name}")
        elif field.default is attrs.NOTHING:
            yield Fault(f"{path}.{name}", "missing", "a value")
