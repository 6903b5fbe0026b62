"""Heads of HTTP requests and responses, independent of their encoding."""

import re

import attrs

__all__ = [
    "Headers",
    "RequestHead",
    "ResponseHead",
    "find_header",
    "has_body",
    "has_conflicting_lengths",
    "is_header_value",
    "without_headers",
]

CONTROL_BYTES = re.compile(rb"[\x00-\x1f\x7f]")

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class RequestHead:
    """The head of a request; header names are lower-case."""

    method: bytes
    target: bytes
    headers: Headers = ()


@attrs.frozen
class ResponseHead:
    """The head of a response; header names are lower-case."""

    status: int
    headers: Headers = ()


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with this lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def has_body(headers: Headers) -> bool:
    """Return True if the headers declare a request body."""
    length = find_header(headers, b"content-length")
    return find_header(headers, b"transfer-encoding") is not None or length not in (None, b"0")


def has_conflicting_lengths(headers: Headers) -> bool:
    """Return True if both Content-Length and Transfer-Encoding are present."""
    names = {name for name, _ in headers}
    return b"content-length" in names and b"transfer-encoding" in names


def without_headers(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Return the headers whose names aren't in `names`."""
    return tuple(item for item in headers if item[0] not in names)


def is_header_value(text: str) -> bool:
    """Return True if a text isn't empty and can be sent as the value of a header."""
    try:
        data = text.encode()
    except UnicodeEncodeError:
        return False
    return bool(data) and data == data.strip() and not CONTROL_BYTES.search(data)
