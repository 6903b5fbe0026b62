"""The listener for backend servers: announcements of endpoints."""

from cattrs.preconf.json import make_converter
from returns.result import Failure, Result, Success

from camphorspread.connection.server import Exchange
from camphorspread.process.endpoints import (
    ENDPOINT_LEASE,
    RENEWAL_INTERVAL,
    Announcement,
    EndpointState,
    record_announcement,
)
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.request.admission_shell import grant_free_slots
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["decode_announcement", "encode_announcement", "handle_backend_server"]

CONVERTER = make_converter(forbid_extra_keys=True)
MAX_SLOTS = 10000


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
            await accept_announcement(state, exchange, announcement)


async def accept_announcement(
    state: EntryState, exchange: Exchange, announcement: Announcement
) -> None:
    """Record an announcement and tell the backend server when to renew it."""
    now = state.clock.monotonic()
    known = state.registry.services.get(announcement.service, {}).get(announcement.endpoint)
    record_announcement(state.registry, announcement, now)
    if known is None:
        state.log.write(
            Event.ENDPOINT_ANNOUNCED,
            service=announcement.service,
            endpoint=announcement.endpoint,
            slots=announcement.slots,
        )
    if announcement.state is EndpointState.LEAVING:
        state.pool.close_address(announcement.address)
    grant_free_slots(state)
    await exchange.respond_json(
        200,
        {
            "owner": state.settings.place.vm,
            "lease_ms": int(ENDPOINT_LEASE.total_seconds() * 1000),
            "renew_ms": int(RENEWAL_INTERVAL.total_seconds() * 1000),
        },
    )


def encode_announcement(announcement: Announcement) -> object:
    """Return the JSON form of an announcement."""
    return CONVERTER.unstructure(announcement)


def decode_announcement(value: object) -> Result[Announcement, Refusal]:
    """Read an announcement; a refusal says that it isn't one."""
    try:
        announcement = CONVERTER.structure(value, Announcement)
    except Exception:
        message = "the announcement has a missing, unknown or wrong field"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
    if not 0 < announcement.slots <= MAX_SLOTS:
        message = f"slots must be 1 to {MAX_SLOTS}"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
    return Success(announcement)
