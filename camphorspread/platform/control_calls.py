"""The platform's calls to a control VM: configurations, evacuations, heartbeats and lookups."""

import hashlib
import json
from datetime import timedelta
from urllib.parse import parse_qs

from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.platform.heartbeats import (
    InvalidHeartbeatError,
    decode_departure,
    decode_heartbeat,
    parse_call_path,
    respond_heartbeat,
)
from camphorspread.platform.routing_codec import decode_document, encode_document
from camphorspread.process.announcement_messages import NotAccepted
from camphorspread.process.control_departures import broadcast_departure
from camphorspread.process.events import Event
from camphorspread.process.operation_shell import (
    OperationDone,
    OperationRedirected,
    OperationResult,
    execute_operation,
    read_newest,
)
from camphorspread.process.steering_control import (
    SteeringControl,
    find_lookup_addresses,
    place_announcement,
)
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.catalogue import DrainEntry, DrainKind
from camphorspread.version.changes import Change, PutDrain, PutRouting, RemoveDrain

__all__ = ["serve_control", "serve_resolve"]

CONFIG_PUT_PATH = "/-/Config.Put"
CONFIG_GET_PATH = "/-/Config.Get"
EVACUATION_START_PREFIX = "/-/Evacuations.Start/"
EVACUATION_END_PREFIX = "/-/Evacuations.Finish/"
RESOLVE_PATH = "/-/resolve"
EVACUATION_OWNER = "platform operator"
# Callers may use a response for up to three times its TTL, so a short TTL limits how long they
# connect to VMs that are gone. Each caller sends one lookup per TTL.
LOOKUP_TTL = timedelta(seconds=2)
MAX_LOOKUP_ADDRESSES = 64
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


async def serve_control(steering: SteeringControl, exchange: Exchange) -> None:
    """Serve one call of an operator or a backend server."""
    target = exchange.head.target.decode("ascii", "replace")
    path = target.partition("?")[0]
    call, instance = parse_call_path(target)
    if call:
        await serve_endpoint_call(steering, exchange, call, instance)
    elif path == CONFIG_PUT_PATH:
        await serve_config_put(steering, exchange)
    elif path == CONFIG_GET_PATH:
        await serve_config_get(steering, exchange)
    elif path.startswith(EVACUATION_START_PREFIX):
        zone = path.removeprefix(EVACUATION_START_PREFIX)
        entry = DrainEntry(DrainKind.BACKEND_SERVERS, zone, EVACUATION_OWNER)
        await submit_change(steering, exchange, PutDrain(entry), make_change_id(steering))
    elif path.startswith(EVACUATION_END_PREFIX):
        zone = path.removeprefix(EVACUATION_END_PREFIX)
        change = RemoveDrain(DrainKind.BACKEND_SERVERS, zone)
        await submit_change(steering, exchange, change, make_change_id(steering))
    else:
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def serve_endpoint_call(
    steering: SteeringControl, exchange: Exchange, call: str, instance: str
) -> None:
    """Handle a heartbeat or the departure of a backend server."""
    data = await exchange.read_whole_body()
    log = steering.control.log
    if call == "departure":
        report = decode_departure(instance, data)
        result = await broadcast_departure(steering, instance, report)
    else:
        try:
            report = decode_heartbeat(instance, data)
        except InvalidHeartbeatError as exc:
            log.write(Event.ANNOUNCEMENT_REFUSED, instance=instance, cause=str(exc))
            await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
            return
        if report.is_leaving:
            result = await broadcast_departure(steering, instance, report)
        else:
            result = await place_announcement(steering, report)
    if isinstance(result, NotAccepted):
        log.write(Event.ANNOUNCEMENT_UNCONFIRMED, instance=instance, cause=result.cause)
    await respond_heartbeat(exchange, result)


def make_change_id(steering: SteeringControl) -> str:
    """Return a random change identifier.

    It is for idempotent changes, which may be applied again under another identifier after a retry.
    """
    return f"order-{steering.control.rng.getrandbits(64):016x}"


async def serve_config_put(steering: SteeringControl, exchange: Exchange) -> None:
    """Validate a configuration and submit it as a catalogue change."""
    data = await exchange.read_whole_body()
    match decode_document(data):
        case Failure(fault):
            steering.control.log.write(Event.DOCUMENT_REFUSED, cause=fault)
            await exchange.respond_json(400, {"error": fault})
        case Success(document):
            digest = hashlib.blake2b(data, digest_size=16).hexdigest()
            change_id = f"routing-{document.revision}-{digest}"
            await submit_change(steering, exchange, PutRouting(document), change_id)


async def submit_change(
    steering: SteeringControl, exchange: Exchange, change: Change, change_id: str
) -> None:
    """Submit a change that the operator requested, and send the result."""
    await respond_change(exchange, await execute_operation(steering, change, change_id), b"{}")


async def serve_config_get(steering: SteeringControl, exchange: Exchange) -> None:
    """Send the newest configuration, or an error if it can't be confirmed as the newest."""
    result, catalogue = await read_newest(steering)
    body = b""
    if isinstance(result, OperationDone):
        if catalogue.routing is None:
            await exchange.respond_json(503, {"error": "no configuration has been accepted yet"})
            return
        body = encode_document(catalogue.routing)
    await respond_change(exchange, result, body)


async def respond_change(exchange: Exchange, result: OperationResult, body: bytes) -> None:
    """Send the result to the operator, or a redirect to the control VM that can serve the call."""
    match result:
        case OperationDone():
            await exchange.respond(ResponseHead(200, (JSON_CONTENT_TYPE,)), body)
        case OperationRedirected(address=address):
            location = f"http://{address}{exchange.head.target.decode('ascii', 'replace')}"
            headers = (JSON_CONTENT_TYPE, (b"location", location.encode()))
            await exchange.respond(ResponseHead(307, headers), b"{}")
        case other:
            await exchange.respond_json(503, {"error": other.cause})


async def serve_resolve(steering: SteeringControl, exchange: Exchange) -> None:
    """Send a caller the addresses of entry VMs that accept callers."""
    path, _, query = exchange.head.target.decode("ascii", "replace").partition("?")
    if path != RESOLVE_PATH:
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
        return
    fields = parse_qs(query)
    zone = fields.get("zone", [""])[0]
    region = fields.get("region", [""])[0]
    addresses = find_lookup_addresses(steering, zone, region)
    if not addresses:
        await exchange.respond_json(503, {"error": "no entry VM is known to accept clients"})
        return
    limit = steering.settings.bounds.lookup_ttl_limit
    ttl_s = min(LOOKUP_TTL, limit).total_seconds()
    value = {
        "frontAddresses": [str(address) for address in addresses[:MAX_LOOKUP_ADDRESSES]],
        "ttlS": ttl_s,
    }
    body = json.dumps(value, separators=(",", ":")).encode()
    await exchange.respond(ResponseHead(200, (JSON_CONTENT_TYPE,)), body)
