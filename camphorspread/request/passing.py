"""Passes a request on to another entry VM."""

from datetime import timedelta

import attrs

from camphorspread.connection.access_key import ACCESS_KEY_HEADER
from camphorspread.connection.messages import RequestHead, without_headers
from camphorspread.connection.server import Exchange
from camphorspread.process.entry_state import EntryState
from camphorspread.process.fleet import VmRecord
from camphorspread.request.forwarding import make_forward_head
from camphorspread.request.relay import RelayResult, relay

__all__ = ["PASS_PREFIX", "PassedRequest", "pass_request"]

PASS_PREFIX = "/v1/pass/"


@attrs.frozen
class PassedRequest:
    """A request on its way to another entry VM.

    Attributes:
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
        vm: The entry VM that shall serve it.
        deadline: Instant by which it must be answered.
        body_limit_bytes: Largest body.
    """

    exchange: Exchange
    service: str
    target: bytes
    vm: VmRecord
    deadline: timedelta
    body_limit_bytes: int


async def pass_request(state: EntryState, passed: PassedRequest) -> RelayResult:
    """Send a request to another entry VM and stream its response to the caller.

    Raises:
        OSError: No connection can be opened, so that nothing was sent.
    """
    conn = await state.pool.acquire(passed.vm.peers)
    target = f"{PASS_PREFIX}{passed.service}".encode() + passed.target
    now = state.clock.monotonic()
    received = passed.exchange.head
    kept = without_headers(received.headers, frozenset({ACCESS_KEY_HEADER}))
    head = make_forward_head(
        RequestHead(received.method, received.target, kept),
        target,
        str(passed.vm.peers).encode(),
        passed.deadline,
        now,
        ((ACCESS_KEY_HEADER, state.link.access_key),),
    )
    result = await relay(passed.exchange, conn, head, passed.body_limit_bytes)
    if conn.is_reusable:
        state.pool.release(conn)
    return result
