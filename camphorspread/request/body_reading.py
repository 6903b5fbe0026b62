"""Reads the part of a request body that is buffered."""

from datetime import timedelta

from camphorspread.connection.exchange import Exchange, RequestRefusedError
from camphorspread.connection.messages import Headers, has_body
from camphorspread.connection.network import READ_BYTES
from camphorspread.process.held_memory import HeldKind, Holding, hold
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.memory_limit import deny_for_memory, reserve_body
from camphorspread.request.resend import RestUnread
from camphorspread.request.routed_request import Denied
from camphorspread.request.send import HELD_BYTES, RequestBody
from camphorspread.version.routing import CallerLimits

__all__ = ["read_first_part"]

# The read that shows that a body is larger than what is buffered may add this much to it.
MAX_FIRST_PART = HELD_BYTES + READ_BYTES
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


async def read_first_part(
    state: SteeringState, exchange: Exchange, holding: Holding, pause_until: timedelta
) -> RequestBody | Denied:
    """Read the body of a request up to the size that is buffered.

    Args:
        state: State of this VM.
        exchange: Exchange of the request.
        holding: What is held for the request.
        pause_until: Time until which reading may be put off while too much is held.

    Returns:
        The body, or the refusal if it couldn't be read by then.

    Raises:
        RequestRefusedError: The body exceeds the limit or violates the framing.
        CallerDisconnectedError: The caller left.
    """
    headers = exchange.head.headers
    if not has_body(headers):
        framing = tuple(item for item in headers if item[0] == b"content-length")
        return RequestBody(framing)
    # Another VM may forward a request to this one before it has its routes.
    limit = (state.table.limits if state.table else CallerLimits()).body_bytes
    announced = int(next((value for name, value in headers if name == b"content-length"), b"0"))
    if announced > limit:
        raise make_body_limit_error(limit)
    size = min(announced or MAX_FIRST_PART, MAX_FIRST_PART)
    if not await reserve_body(state, exchange, holding, size, pause_until):
        return deny_for_memory(state, "body")
    held = bytearray()
    while len(held) <= HELD_BYTES:
        chunk = await exchange.read_body()
        if not chunk:
            hold(state.held, holding, HeldKind.BODY, len(held))
            length = (b"content-length", b"%d" % len(held))
            return RequestBody((length,), bytes(held))
        held += chunk
        # A body in chunks doesn't announce its size.
        if len(held) > limit:
            raise make_body_limit_error(limit)

    async def receive() -> bytes:
        # Each chunk is sent on before the next one is read, so that nothing accumulates; a pause
        # here would keep the server's slot.
        chunk = await exchange.read_body()
        if exchange.received_bytes > limit:
            raise make_body_limit_error(limit)
        if chunk:
            hold(state.held, holding, HeldKind.BODY, len(chunk))
        return chunk

    framing: Headers = tuple(item for item in headers if item[0] in FRAMING_HEADERS)
    return RequestBody(framing, bytes(held), RestUnread(), receive)


def make_body_limit_error(limit: int) -> RequestRefusedError:
    """Return the error for a body over the limit."""
    return RequestRefusedError(Refusal(ErrorKind.BODY_TOO_LARGE, f"the body exceeds {limit} bytes"))
