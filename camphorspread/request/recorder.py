"""Keeps a copy of a response while it is streamed to the caller."""

import attrs

from camphorspread.connection.messages import ResponseHead

__all__ = ["MAX_KEPT_BODY_BYTES", "ResponseRecorder"]

MAX_KEPT_BODY_BYTES = 65536


@attrs.define(eq=False)
class ResponseRecorder:
    """The copy of one response.

    Attributes:
        max_body_bytes: Maximum size of a body that is kept.
        head: Head of the response, None until it has arrived.
        body: Body received so far, empty once it exceeds the limit.
        is_too_large: True once the body exceeds the limit.
        is_complete: True once the response has ended cleanly.
    """

    max_body_bytes: int = MAX_KEPT_BODY_BYTES
    head: ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    is_too_large: bool = False
    is_complete: bool = False

    def add(self, data: bytes) -> None:
        """Copy a chunk of the body."""
        if len(self.body) + len(data) > self.max_body_bytes:
            self.is_too_large = True
            self.body.clear()
        if not self.is_too_large:
            self.body += data
