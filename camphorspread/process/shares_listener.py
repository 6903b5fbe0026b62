"""Handler of share renewals on a control process."""

from camphorspread.connection.exchange import Exchange
from camphorspread.process.control_state import ControlState
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.share_allocator import (
    observe_catalogue,
    observe_leadership,
    renew_shares,
)
from camphorspread.version.share_codec import decode_renewal, encode_amounts

__all__ = ["serve_renewal"]


async def serve_renewal(state: ControlState, exchange: Exchange) -> None:
    """Serve `POST /v1/shares/renew`: grant shares as the leader, or name the leader."""
    try:
        request = decode_renewal(await exchange.read_json())
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    now = state.clock.monotonic()
    observe_catalogue(state.allocator, state.catalogue, now)
    observe_leadership(state.allocator, state.view, now)
    if not state.view.is_leader or state.view.lease_end <= now:
        leader = None if state.view.is_leader else state.view.leader
        await exchange.respond_json(200, {"leader": leader})
        return
    amounts = renew_shares(state.allocator, request, now)
    value = {} if amounts is None else {"grants": encode_amounts(amounts)}
    await exchange.respond_json(200, {"number": request.number, **value})
