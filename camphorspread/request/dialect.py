"""Interface between route steering and the message format, which an adapter implements."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import attrs
from returns.result import Result

from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.request.errors import Refusal

__all__ = [
    "Credential",
    "DepartureStatement",
    "Dialect",
    "KeyCredential",
    "Leaving",
    "Limited",
    "LoadStated",
    "LoadStatement",
    "LoadUnstated",
    "MalformedCredential",
    "NoCredential",
    "RateStatement",
    "ReplyFacts",
    "Staying",
    "SteeredCall",
    "Unlimited",
    "Unreadable",
]


@attrs.frozen
class NoCredential:
    """The request carries no key."""


@attrs.frozen
class KeyCredential:
    """The request carries a key, which is left out of the text form."""

    key: str = attrs.field(repr=False)


@attrs.frozen
class MalformedCredential:
    """The request carries something that isn't a key, or several keys."""


Credential = NoCredential | KeyCredential | MalformedCredential


@attrs.frozen
class SteeredCall:
    """A caller's request, decoded once on arrival.

    Attributes:
        head: The head as received.
        host: Requested host.
        target: Path and query.
        request_id: Identifier of the attempt, empty if it has none.
        object_key: Affinity key: the object that the request is about, empty if it names none.
        time_left: Time that the caller will wait, None if not stated.
        credential: The key that identifies the caller's organisation.
        organisation: Name of the organisation, empty before it is identified or for none.
    """

    head: RequestHead
    host: str
    target: str
    request_id: str
    object_key: str
    time_left: timedelta | None
    credential: Credential = NoCredential()
    organisation: str = ""


@attrs.frozen
class Unlimited:
    """The server states no limit on its request rate."""


@attrs.frozen
class Limited:
    """The server takes this many requests per second from all VMs together."""

    per_second: float


@attrs.frozen
class Unreadable:
    """The statement can't be read; an earlier one still applies."""

    text: str


RateStatement = Unlimited | Limited | Unreadable


@attrs.frozen
class Staying:
    """The server doesn't state that it leaves."""


@attrs.frozen
class Leaving:
    """The server leaves and should get no more requests."""


DepartureStatement = Staying | Leaving | Unreadable


@attrs.frozen
class LoadUnstated:
    """The server doesn't state its load."""


@attrs.frozen
class LoadStated:
    """The server states its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs at the same time.
        speed: How long work takes on its machine now, 1.0 for as long as usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    speed: float | None = None


LoadStatement = LoadUnstated | LoadStated | Unreadable


@attrs.frozen
class ReplyFacts:
    """Metadata in the head of a backend server's response.

    Attributes:
        request_id: Identifier of the request that it answers, empty if it names none.
        is_not_run: True if the server states that it didn't run the request.
        is_misdirected: True if a server other than the expected one responded at the address.
        load: What the server states about its load.
        rate_limit: What the server states about the request rate that it takes.
        departure: What the server states about its departure.
        pause: For how long the server wants no requests of this VM, None if not stated.
    """

    request_id: str
    is_not_run: bool
    is_misdirected: bool
    load: LoadStatement = LoadUnstated()
    rate_limit: RateStatement = Unlimited()
    departure: DepartureStatement = Staying()
    pause: timedelta | None = None


class Dialect(Protocol):
    """Codec for callers' requests and backend servers' responses."""

    def decode_request(self, head: RequestHead) -> Result[SteeredCall, Refusal]:
        """Decode a caller's request, or return the refusal of an invalid one."""

    def identify_call(
        self, call: SteeredCall, organisation: str, is_key: Callable[[str], bool]
    ) -> SteeredCall:
        """Return a request without its key and without a caller's claim to an organisation.

        It is used only where the configuration has organisations.

        Args:
            call: The caller's request.
            organisation: Name of its organisation, empty for none.
            is_key: Returns True if a text is the key of an organisation.
        """

    def encode_request(self, call: SteeredCall, instance: str, time_left: timedelta) -> RequestHead:
        """Return the head for a backend server, without the headers that frame the body.

        Args:
            call: The caller's request.
            instance: Identifier of the only backend server that may run the request.
            time_left: Time within which the response is useful.
        """

    def decode_response(self, head: ResponseHead) -> ReplyFacts:
        """Decode the head of a backend server's response."""

    def encode_response(self, head: ResponseHead) -> ResponseHead:
        """Return the head of a backend server's response for the caller."""

    def encode_refusal(self, refusal: Refusal, retry_after: timedelta | None) -> ResponseHead:
        """Return the head of an error response generated by this VM.

        Args:
            refusal: Why no backend server's response is returned.
            retry_after: Suggested delay before the caller retries, None if unknown.
        """
