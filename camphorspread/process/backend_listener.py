"""The listener for backend servers: announcements of endpoints."""

from datetime import timedelta

from cattrs.preconf.json import make_converter
from returns.result import Failure, Result, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.process.endpoints import (
    ENDPOINT_LEASE,
    RENEWAL_INTERVAL,
    Announcement,
    EndpointState,
    HandoverToken,
    record_announcement,
)
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import VmRecord
from camphorspread.process.ownership import Accepted, Redirected, decide_ownership
from camphorspread.request.admission_driver import grant_free_slots
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["decode_announcement", "encode_announcement", "handle_backend_server"]

CONVERTER = make_converter(forbid_extra_keys=True)
MAX_SLOTS = 10000
# Used while this VM has no catalogue entry of the service yet.
DEFAULT_LONGEST_REQUEST = timedelta(seconds=10)


async def handle_backend_server(state: EntryState, exchange: Exchange) -> None:
    """Serve one exchange of the backend servers' listener."""
    if exchange.head.target != b"/v1/announce" or exchange.head.method != b"POST":
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
        return
    match decode_announcement(await exchange.read_json()):
        case Failure(refusal):
            state.log.write(Event.ANNOUNCEMENT_REFUSED, cause=refusal.message)
            await exchange.refuse(refusal)
        case Success(announcement):
            await receive_announcement(state, exchange, announcement)


async def receive_announcement(
    state: EntryState, exchange: Exchange, announcement: Announcement
) -> None:
    """Accept an announcement or redirect the backend server to the owner of the endpoint."""
    now = state.clock.monotonic()
    known = state.registry.find_endpoint(announcement.service, announcement.endpoint)
    is_owner = known is not None and known.lease_end > now and not known.is_released
    handed_over = find_handed_over_slots(state, announcement)
    match decide_ownership(state.fleet, announcement, is_owner, handed_over is not None):
        case Accepted(owners=owners):
            accept_announcement(state, announcement, handed_over)
            token = None
        case Redirected(owners=owners) if state.is_leaving and not state.is_handed_over:
            # A leaving VM keeps its endpoints until its last request has ended.
            accept_announcement(state, announcement, handed_over)
            owners, token = (state.fleet.own, *owners), None
        case Redirected(owners=owners):
            token = release_endpoint(state, announcement, now)
    grant_free_slots(state)
    await exchange.respond_json(200, encode_response(state, owners, token))


def find_handed_over_slots(state: EntryState, announcement: Announcement) -> int | None:
    """Return the slots in use that the former owner reported when it handed the endpoint over."""
    key = (announcement.service, announcement.endpoint, announcement.former_owner)
    return state.handed_over_slots.get(key)


def accept_announcement(
    state: EntryState, announcement: Announcement, handed_over: int | None
) -> None:
    """Record an announcement and immediately apply the state that it carries."""
    now = state.clock.monotonic()
    known = state.registry.find_endpoint(announcement.service, announcement.endpoint)
    entry = state.catalogue.find_service(announcement.service) if state.catalogue else None
    longest_request = entry.request_time_limit if entry else DEFAULT_LONGEST_REQUEST
    endpoint = record_announcement(
        state.registry, announcement, now, state.owner_name, longest_request, handed_over
    )
    if known is None:
        state.log.write(
            Event.ENDPOINT_ANNOUNCED,
            service=announcement.service,
            endpoint=announcement.endpoint,
            slots=announcement.slots,
        )
    if announcement.former_owner not in ("", state.owner_name):
        state.log.write(
            Event.ENDPOINT_TAKEN_OVER,
            service=announcement.service,
            endpoint=announcement.endpoint,
            former_owner=announcement.former_owner,
            reserved_slots=endpoint.former_in_use,
        )
    if announcement.state is EndpointState.LEAVING:
        state.pool.close_address(announcement.address)


def release_endpoint(
    state: EntryState, announcement: Announcement, now: timedelta
) -> HandoverToken | None:
    """Stop sending to an endpoint; return the token for its next owner, if this VM owned it."""
    endpoint = state.registry.find_endpoint(announcement.service, announcement.endpoint)
    if endpoint is None or announcement.former_owner != state.owner_name:
        return None
    endpoint.is_released = True
    endpoint.lease_end = now
    state.pool.close_address(announcement.address)
    state.log.write(
        Event.ENDPOINT_REDIRECTED, service=announcement.service, endpoint=announcement.endpoint
    )
    return HandoverToken(state.owner_name, endpoint.in_use)


def encode_response(
    state: EntryState, owners: tuple[VmRecord, ...], token: HandoverToken | None
) -> object:
    """Return the response to an announcement: the owner and the VMs to ask after it."""
    return {
        "owner": owners[0].vm,
        "accepted_by": state.owner_name if owners[0].vm == state.fleet.own_vm else "",
        "next_owners": [
            {"vm": vm.vm, "host": vm.backend_servers.host, "port": vm.backend_servers.port}
            for vm in owners
            if vm.backend_servers is not None
        ],
        "token": CONVERTER.unstructure(token) if token else None,
        "lease_ms": int(ENDPOINT_LEASE.total_seconds() * 1000),
        "renew_ms": int(RENEWAL_INTERVAL.total_seconds() * 1000),
    }


def encode_announcement(announcement: Announcement) -> object:
    """Return the JSON form of an announcement."""
    return CONVERTER.unstructure(announcement)


def decode_announcement(value: object) -> Result[Announcement, Refusal]:
    """Decode an announcement, or return a refusal if it is malformed."""
    try:
        announcement = CONVERTER.structure(value, Announcement)
    except Exception:
        message = "the announcement has a missing, unknown or invalid field"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
    if not 0 < announcement.slots <= MAX_SLOTS:
        message = f"slots must be 1 to {MAX_SLOTS}"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
    return Success(announcement)
