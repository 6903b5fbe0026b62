"""The listener for callers: lookups and steered requests."""

from urllib.parse import parse_qs, urlsplit

from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.process.client_blocks import find_site, get_placement_block
from camphorspread.process.entry_state import EntryState
from camphorspread.process.observer import observe_request
from camphorspread.request.catalogue_steering import refuse, steer_request
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import split_service
from camphorspread.request.lookup import CallerLocation, LookupQuery, LookupResponse, resolve_lookup
from camphorspread.request.once import find_once_key_prefixes

__all__ = ["encode_lookup_response", "find_place", "handle_caller"]

STEER_PREFIX = b"/s/"


async def handle_caller(state: EntryState, exchange: Exchange) -> None:
    """Serve one exchange of the callers' listener."""
    target = exchange.head.target.decode("ascii", "replace")
    path = urlsplit(target).path
    if path == "/v1/lookup":
        await serve_lookup(state, exchange, target)
    elif exchange.head.target.startswith(STEER_PREFIX):
        service, service_target = split_service(exchange.head.target, STEER_PREFIX)
        place = find_place(state, exchange.peer.host)
        with observe_request(
            state.observer,
            exchange,
            state.catalogue,
            service,
            service_target.decode("ascii", "replace"),
            place.availability_zone,
        ):
            await steer_request(state, exchange, service, service_target, place.region)
    else:
        await refuse(state, exchange, Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def serve_lookup(state: EntryState, exchange: Exchange, target: str) -> None:
    """Serve `GET /v1/lookup?service=NAME[&address=IP]`."""
    query = parse_qs(urlsplit(target).query)
    service = query.get("service", [""])[0]
    if not service:
        message = "the query needs service=NAME"
        await refuse(state, exchange, Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    if state.catalogue is None:
        message = "this VM has no catalogue yet"
        await refuse(state, exchange, Refusal(ErrorKind.NOT_READY, message))
        return
    address = query.get("address", [exchange.peer.host])[0]
    lookup = LookupQuery(service, find_place(state, address), get_placement_block(address))
    match resolve_lookup(state.catalogue, state.fleet, lookup, state.shift_plan):
        case Success(response):
            entry = state.catalogue.find_service(service)
            prefixes: dict[str, str] = {}
            names = tuple(item.vm for item in response.targets)
            if state.fleet.own_vm in names:
                state.last_named = state.clock.monotonic()
            if entry is not None and entry.never_repeated:
                prefixes = find_once_key_prefixes(state, names)
            await exchange.respond_json(200, encode_lookup_response(response, prefixes))
        case Failure(refusal):
            await refuse(state, exchange, refusal)
    count_lookup(state, exchange, service)


def count_lookup(state: EntryState, exchange: Exchange, service: str) -> None:
    """Count a lookup; unknown names share one label, which bounds the number of time series."""
    is_known = state.catalogue is not None and service in state.catalogue.services
    label = service if is_known else "(unknown)"
    state.observer.metrics.lookups[(label, exchange.status)] += 1


def find_place(state: EntryState, address: str) -> CallerLocation:
    """Return the place of a caller, or of this VM if no block contains the address."""
    site = find_site(state.blocks, address)
    if site is None:
        own = state.fleet.own
        return CallerLocation(own.availability_zone, own.region)
    return state.sites[site]


def encode_lookup_response(
    response: LookupResponse, prefixes: dict[str, str] | None = None
) -> dict[str, object]:
    """Return the JSON form of a lookup response.

    Each target has its own once key prefix: a caller that can't connect to the first target has
    sent nothing, so it may use the next one with a key whose home is that VM.

    Args:
        response: The response.
        prefixes: Once key prefixes by VM, or None for a service without rules that need them.
    """
    prefixes = prefixes or {}
    first = next(iter(prefixes.values()), None)
    return {
        "service": response.service,
        "version": response.version,
        "ttl_ms": int(response.ttl.total_seconds() * 1000),
        "targets": [
            {
                "vm": item.vm,
                "availability_zone": item.availability_zone,
                "host": item.address.host,
                "port": item.address.port,
                "weight": item.weight,
                "reason": item.reason.value,
            }
            | ({"once_key_prefix": prefixes[item.vm]} if item.vm in prefixes else {})
            for item in response.targets
        ],
    } | ({"once_key_prefix": first} if first else {})
