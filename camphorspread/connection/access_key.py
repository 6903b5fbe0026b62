"""The shared key that authenticates operators and the project's own processes."""

import hmac
from pathlib import Path

from returns.result import Failure, Result, Success

from camphorspread.connection.messages import Headers, find_header
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["ACCESS_KEY_HEADER", "check_access_key", "read_access_key"]

ACCESS_KEY_HEADER = b"camphorspread-access-key"


def read_access_key(path: Path) -> bytes:
    """Return the key in a file, without leading and trailing white space.

    Raises:
        OSError: The file can't be read.
    """
    return path.read_bytes().strip()


def check_access_key(headers: Headers, expected: bytes) -> Result[None, Refusal]:
    """Compare the access key of a request with the expected one in constant time."""
    given = find_header(headers, ACCESS_KEY_HEADER) or b""
    if hmac.compare_digest(given, expected):
        return Success(None)
    return Failure(Refusal(ErrorKind.ACCESS_DENIED, "the access key is missing or wrong"))
