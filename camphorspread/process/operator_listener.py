"""The operators' listener of an entry process: status, explain, report and metrics."""

import ipaddress
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

import attrs
from returns.result import Failure, Success

from camphorspread.connection.access_key import check_access_key
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.process.caller_listener import encode_lookup_response, find_place
from camphorspread.process.client_blocks import get_placement_block
from camphorspread.process.entry_state import EntryState
from camphorspread.process.metrics import METRICS_TYPE, format_metrics
from camphorspread.process.report import make_report
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.lookup import CallerLocation, LookupQuery, resolve_lookup
from camphorspread.version.catalogue import Catalogue

__all__ = ["handle_entry_operator"]

# The order of targets within a region depends on the caller's block; operators see the order for
# this block.
OPERATOR_BLOCK = "operators"


async def handle_entry_operator(state: EntryState, exchange: Exchange) -> None:
    """Serve one exchange of the operators' listener."""
    match check_access_key(exchange.head.headers, state.link.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    url = urlsplit(exchange.head.target.decode("ascii", "replace"))
    match exchange.head.method, url.path:
        case b"GET", "/v1/status":
            await exchange.respond_json(200, describe_status(state))
        case b"GET", "/v1/explain":
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            await serve_explanation(state, exchange, query)
        case b"GET", "/v1/report":
            await exchange.respond_json(200, describe_report(state))
        case b"GET", "/metrics":
            text = format_metrics(state.observer.metrics, list_gauges(state))
            head = ResponseHead(200, ((b"content-type", METRICS_TYPE),))
            await exchange.respond(head, text.encode())
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


def is_isolated(state: EntryState) -> bool:
    """Return True if the catalogue lease has ended."""
    return state.catalogue_lease_end <= state.clock.monotonic()


def describe_status(state: EntryState) -> dict[str, object]:
    """Return the status of this VM and its view of the fleet."""
    now = state.clock.monotonic()
    own = state.settings.place
    return {
        "vm": own.vm,
        "role": "entry",
        "availability_zone": own.availability_zone,
        "region": own.region,
        "incarnation": state.incarnation,
        "uptime_s": int((now - state.started).total_seconds()),
        "version": state.catalogue.version if state.catalogue else None,
        "is_leaving": state.is_leaving,
        "is_isolated": is_isolated(state),
        "fleet": [
            {
                "vm": record.vm,
                "availability_zone": record.availability_zone,
                "state": record.state.value,
                "version": record.catalogue_version,
            }
            for _, record in sorted(state.fleet.vms.items())
        ],
        "endpoints": [
            {
                "service": service,
                "endpoint": name,
                "state": endpoint.announcement.state.value,
                "slots": endpoint.announcement.slots,
                "in_use": endpoint.in_use,
                "is_live": endpoint.lease_end > now,
            }
            for service, endpoints in sorted(state.registry.services.items())
            for name, endpoint in sorted(endpoints.items())
        ],
    }


async def serve_explanation(state: EntryState, exchange: Exchange, query: dict[str, str]) -> None:
    """Serve `GET /v1/explain?service=&request=&address=`, each of which may be missing."""
    service, request_id = query.get("service", ""), query.get("request", "")
    address = query.get("address", "")
    if address and not is_ip_address(address):
        message = f"address is {address!r}; allowed: an IP address"
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    records = state.observer.decisions.find_records(service, request_id, address)
    lookup = None
    if service and not request_id and state.catalogue is not None:
        lookup = describe_lookup(state, state.catalogue, service, address)
    value = {
        "vm": state.settings.place.vm,
        "lookup": lookup,
        "decisions": [attrs.asdict(record) for record in records],
    }
    await exchange.respond_json(200, value)


def is_ip_address(text: str) -> bool:
    """Return True if the text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def describe_lookup(
    state: EntryState, catalogue: Catalogue, service: str, address: str
) -> dict[str, object]:
    """Return the lookup result for a caller's address, or for a caller near this VM if empty."""
    if address:
        query = LookupQuery(service, find_place(state, address), get_placement_block(address))
    else:
        own = state.fleet.own
        query = LookupQuery(
            service, CallerLocation(own.availability_zone, own.region), OPERATOR_BLOCK
        )
    match resolve_lookup(catalogue, state.fleet, query, state.shift_plan):
        case Success(response):
            description = encode_lookup_response(response)
        case Failure(refusal):
            description = {
                "service": service,
                "error": refusal.kind.value,
                "reason": refusal.reason.value,
                "message": refusal.message,
            }
    return {**description, "caller_availability_zone": query.place.availability_zone}


def describe_report(state: EntryState) -> dict[str, object]:
    """Return this VM's part of the report."""
    now = state.clock.monotonic()
    place = state.settings.place
    return make_report(
        place.vm,
        place.availability_zone,
        now - state.started,
        state.catalogue,
        state.observer.metrics,
        state.registry,
        state.settings.prices,
        now,
    )


def list_gauges(state: EntryState) -> dict[str, tuple[str, float]]:
    """Return the gauges that aren't counted by the metrics themselves."""
    now = state.clock.monotonic()
    endpoints = [item for group in state.registry.services.values() for item in group.values()]
    trace_file = state.observer.trace_file
    return {
        "uptime_seconds": ("Time since the start.", (now - state.started) / timedelta(seconds=1)),
        "catalogue_version": (
            "Catalogue version in force, -1 before the first one.",
            state.catalogue.version if state.catalogue else -1,
        ),
        "isolated": ("1 while the catalogue lease has ended.", int(is_isolated(state))),
        "leaving": ("1 while a planned stop is under way.", int(state.is_leaving)),
        "slots": ("Slots of owned endpoints.", sum(e.announcement.slots for e in endpoints)),
        "slots_in_use": ("Slots in use.", sum(e.in_use for e in endpoints)),
        "trace_write_failures": (
            "Spans that could not be written.",
            trace_file.failures if trace_file else 0,
        ),
    }
