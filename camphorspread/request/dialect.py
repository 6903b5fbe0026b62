"""What steering by routes needs from the form of messages, which an adapter provides."""

from datetime import timedelta
from typing import Protocol

import attrs
from returns.result import Result

from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.request.errors import Refusal

__all__ = ["Dialect", "ReplyFacts", "SteeredCall"]


@attrs.frozen
class SteeredCall:
    """A caller's request, decoded once where it enters.

    Attributes:
        head: The head as it was received.
        host: Host that it names.
        target: Path and query.
        request_id: Identifier of the attempt, empty if it has none.
        object_key: Object that it is about, empty if it names none.
        time_left: How long the caller waits, None if it doesn't say.
    """

    head: RequestHead
    host: str
    target: str
    request_id: str
    object_key: str
    time_left: timedelta | None


@attrs.frozen
class ReplyFacts:
    """What the head of a backend server's response says beside the response itself.

    Attributes:
        request_id: Identifier of the request that it answers, empty if it names none.
        is_not_run: True if the server states that it didn't run the request.
        is_misdirected: True if another server than the expected one has the address.
        requests: Requests that the server works on or lets wait, None if it doesn't say.
    """

    request_id: str
    is_not_run: bool
    is_misdirected: bool
    requests: int | None = None


class Dialect(Protocol):
    """Form of callers' requests and of backend servers' responses."""

    def decode_call(self, head: RequestHead) -> Result[SteeredCall, Refusal]:
        """Decode a caller's request, or return why it gets an error response."""

    def encode_send(self, call: SteeredCall, instance: str, time_left: timedelta) -> RequestHead:
        """Return the head for a backend server, without the headers that frame the body.

        Args:
            call: The caller's request.
            instance: Identifier of the backend server that alone may run it.
            time_left: How long the response is worth waiting for.
        """

    def decode_reply(self, head: ResponseHead) -> ReplyFacts:
        """Decode the head of a backend server's response."""

    def encode_reply(self, head: ResponseHead) -> ResponseHead:
        """Return the head of a backend server's response for the caller."""

    def encode_refusal(self, refusal: Refusal, return_after: timedelta | None) -> ResponseHead:
        """Return the head of an error response of this program.

        Args:
            refusal: Why the request gets no response of a backend server.
            return_after: When the caller is likely to be served, None if that isn't known.
        """
