"""Forwards a request to another entry VM."""

from datetime import timedelta

import attrs

from camphorspread.connection.access_key import ACCESS_KEY_HEADER
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import Headers, has_body
from camphorspread.process.entry_state import EntryState
from camphorspread.process.fleet import VmRecord
from camphorspread.process.observer import trace_headers
from camphorspread.request.forwarding import CALLER_REGION_HEADER, FORWARD_PREFIX, make_forward_head
from camphorspread.request.relay import RelayResult, relay

__all__ = ["PeerForward", "forward_request"]


@attrs.frozen
class PeerForward:
    """A request to be forwarded to another entry VM.

    Attributes:
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
        caller_region: Region of the caller.
        vm: The entry VM that it is forwarded to.
        deadline: Time by which the response must be sent.
        body_limit_bytes: Maximum size of the body.
    """

    exchange: Exchange
    service: str
    target: bytes
    caller_region: str
    vm: VmRecord
    deadline: timedelta
    body_limit_bytes: int


async def forward_request(state: EntryState, forward: PeerForward) -> RelayResult:
    """Forward a request to another entry VM and stream its response to the caller.

    Raises:
        OSError: No connection could be opened, so nothing was sent.
    """
    conn = await state.pool.acquire(forward.vm.peers)
    target = FORWARD_PREFIX + forward.service.encode() + forward.target
    extra: Headers = (
        (CALLER_REGION_HEADER, forward.caller_region.encode()),
        (ACCESS_KEY_HEADER, state.link.access_key),
        *trace_headers(state.observer, forward.exchange),
    )
    if has_body(forward.exchange.head.headers):
        extra += ((b"expect", b"100-continue"),)
    host = str(forward.vm.peers).encode()
    now = state.clock.monotonic()
    head = make_forward_head(forward.exchange.head, target, host, forward.deadline, now, extra)
    result = await relay(forward.exchange, conn, head, forward.body_limit_bytes, is_forward=True)
    if conn.is_reusable:
        state.pool.release(conn)
    return result
