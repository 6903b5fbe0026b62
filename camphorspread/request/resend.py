"""Decides whether a request may be attempted again, by how much of its body has been read.

A caller sends each byte of a body once. What has been read from it and isn't buffered can't be sent
to another server, however the attempt that read it ended. All senders use this decision.
"""

import attrs

__all__ = ["BodyProgress", "RestConsumed", "RestUnread", "WholeBuffered", "may_resend", "note_read"]


@attrs.frozen
class WholeBuffered:
    """The whole body is buffered, or there is none."""


@attrs.frozen
class RestUnread:
    """Only the buffered part has been read from the caller; it may be empty."""


@attrs.frozen
class RestConsumed:
    """Bytes after the buffered part have been read from the caller.

    Attributes:
        size: Number of these bytes.
    """

    size: int


BodyProgress = WholeBuffered | RestUnread | RestConsumed


def note_read(body: BodyProgress, size: int) -> BodyProgress:
    """Return the progress after bytes that follow the buffered part have been read.

    Args:
        body: Progress before.
        size: Number of bytes; 0 at the end of the body.

    Raises:
        ValueError: The whole body is buffered, so that no byte can follow.
    """
    match body:
        case _ if size == 0:
            return body
        case RestUnread():
            return RestConsumed(size)
        case RestConsumed(size=earlier):
            return RestConsumed(earlier + size)
        case WholeBuffered():
            raise ValueError(f"{size} bytes follow a body that is buffered completely")


def may_resend(body: BodyProgress) -> bool:
    """Return True if another attempt would send the same body.

    Whether the request may run twice, and whether the retry budget allows it, is decided elsewhere.
    """
    match body:
        case WholeBuffered() | RestUnread():
            return True
        case RestConsumed():
            return False
