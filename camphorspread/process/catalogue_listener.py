"""Answers the entry VMs' requests for parts of catalogue updates at a control VM."""

from camphorspread.connection.exchange import Exchange
from camphorspread.process.catalogue_transfer import (
    PartRequest,
    cut_part,
    decode_part_request,
    encode_part,
)
from camphorspread.process.events import Event
from camphorspread.process.steering_control import SteeringControl
from camphorspread.process.update_store import find_update
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.catalogue_update import EncodedUpdate

__all__ = ["serve_catalogue"]


async def serve_catalogue(steering: SteeringControl, exchange: Exchange) -> None:
    """Serve `POST /v1/vm/catalogue`: send the next part of the update to the newest catalogue."""
    try:
        request = decode_part_request(await exchange.read_json())
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    version = steering.control.catalogue.version
    if version <= request.version:
        await exchange.respond_json(200, {"version": version})
        return
    try:
        update = encode_next(steering, request)
    except ValueError as exc:
        # It was valid where it was accepted, so that this program is older than that one.
        steering.control.log.write(Event.DOCUMENT_REFUSED, cause=str(exc))
        await exchange.refuse(Refusal(ErrorKind.NOT_READY, "the catalogue can't be decoded here"))
        return
    await exchange.respond_json(200, encode_part(cut_part(update, request)))


def encode_next(steering: SteeringControl, request: PartRequest) -> EncodedUpdate:
    """Return the update for a request, and log it when it is encoded.

    Raises:
        ValueError: This program can't decode the routing document.
    """
    control, store = steering.control, steering.updates
    known = set(store.updates)
    started = control.clock.monotonic()
    update = find_update(
        store, control.catalogue, control.delivery, request.document, request.digest
    )
    if not known.issuperset(store.updates):
        control.log.write(
            Event.UPDATE_ENCODED,
            version=update.version,
            base=request.document,
            size=len(update.data),
            took_ms=round((control.clock.monotonic() - started).total_seconds() * 1000, 1),
        )
    return update
