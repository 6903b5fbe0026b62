"""Handles requests that other entry VMs forward to this one, which owns the endpoints."""

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import find_header
from camphorspread.process.entry_state import EntryState
from camphorspread.process.observer import observe_request
from camphorspread.request.catalogue_steering import refuse, steer_forwarded_request
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import CALLER_REGION_HEADER, FORWARD_PREFIX, split_service

__all__ = ["handle_forwarded_request"]


async def handle_forwarded_request(state: EntryState, exchange: Exchange) -> None:
    """Serve a request on `/v1/pass/NAME/PATH`; the access key has been checked."""
    service, target = split_service(exchange.head.target, FORWARD_PREFIX)
    region = find_header(exchange.head.headers, CALLER_REGION_HEADER)
    if region is None:
        message = f"{CALLER_REGION_HEADER.decode()} is missing"
        await refuse(state, exchange, Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    target_text = target.decode("ascii", "replace")
    with observe_request(
        state.observer, exchange, state.catalogue, service, target_text, "", is_forwarded=True
    ):
        caller_region = region.decode("ascii", "replace")
        await steer_forwarded_request(state, exchange, service, target, caller_region)
