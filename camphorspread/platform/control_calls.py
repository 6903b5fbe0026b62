"""The platform's calls to a control VM: configurations, evacuations, heartbeats and resolving."""

import hashlib
import json
from datetime import timedelta
from urllib.parse import parse_qs

from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.platform.heartbeats import (
    BadHeartbeatError,
    decode_departure,
    decode_heartbeat,
    respond_heartbeat,
    split_call,
)
from camphorspread.platform.routing_codec import decode_document, encode_document
from camphorspread.process.announcement_messages import NotAccepted
from camphorspread.process.events import Event
from camphorspread.process.order_shell import Done, Elsewhere, OrderResult, carry_out, read_newest
from camphorspread.process.steering_control import (
    SteeringControl,
    find_lookup_addresses,
    place_announcement,
    spread_departure,
)
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.catalogue import DrainEntry, DrainKind
from camphorspread.version.changes import Change, PutDrain, PutRouting, RemoveDrain

__all__ = ["serve_control", "serve_resolve"]

PUT_PATH = "/-/Config.Put"
GET_PATH = "/-/Config.Get"
EVACUATE_PREFIX = "/-/Evacuations.Start/"
RETURN_PREFIX = "/-/Evacuations.Finish/"
RESOLVE_PATH = "/-/resolve"
OPERATOR = "platform operator"
# Clients keep an answer up to three times as long, so a short one keeps them off machines that
# have gone; each client asks again once in this time.
LOOKUP_TTL = timedelta(seconds=2)
MOST_ADDRESSES = 64
JSON_TYPE = (b"content-type", b"application/json")


async def serve_control(steering: SteeringControl, exchange: Exchange) -> None:
    """Serve one call of the operator or of an endpoint."""
    target = exchange.head.target.decode("ascii", "replace")
    path = target.partition("?")[0]
    call, instance = split_call(target)
    if call:
        await serve_endpoint(steering, exchange, call, instance)
    elif path == PUT_PATH:
        await serve_put(steering, exchange)
    elif path == GET_PATH:
        await serve_get(steering, exchange)
    elif path.startswith(EVACUATE_PREFIX):
        zone = path.removeprefix(EVACUATE_PREFIX)
        entry = DrainEntry(DrainKind.BACKEND_SERVERS, zone, OPERATOR)
        await serve_order(steering, exchange, PutDrain(entry), make_order_id(steering))
    elif path.startswith(RETURN_PREFIX):
        zone = path.removeprefix(RETURN_PREFIX)
        change = RemoveDrain(DrainKind.BACKEND_SERVERS, zone)
        await serve_order(steering, exchange, change, make_order_id(steering))
    else:
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def serve_endpoint(
    steering: SteeringControl, exchange: Exchange, call: str, instance: str
) -> None:
    """Take a heartbeat or the departure of an endpoint."""
    data = await exchange.read_whole()
    log = steering.control.log
    if call == "departure":
        report = decode_departure(instance, data)
        result = await spread_departure(steering, instance, report)
    else:
        try:
            report = decode_heartbeat(instance, data)
        except BadHeartbeatError as exc:
            log.write(Event.ANNOUNCEMENT_REFUSED, instance=instance, cause=str(exc))
            await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
            return
        result = await place_announcement(steering, report)
    if isinstance(result, NotAccepted):
        log.write(Event.ANNOUNCEMENT_UNCONFIRMED, instance=instance, cause=result.cause)
    await respond_heartbeat(exchange, result)


def make_order_id(steering: SteeringControl) -> str:
    """Return an identifier for an order that has the same effect when it is repeated."""
    return f"order-{steering.control.rng.getrandbits(64):016x}"


async def serve_put(steering: SteeringControl, exchange: Exchange) -> None:
    """Take a configuration."""
    data = await exchange.read_whole()
    match decode_document(data):
        case Failure(fault):
            steering.control.log.write(Event.DOCUMENT_REFUSED, cause=fault)
            await exchange.respond_json(400, {"error": fault})
        case Success(document):
            digest = hashlib.blake2b(data, digest_size=16).hexdigest()
            order_id = f"routing-{document.revision}-{digest}"
            await serve_order(steering, exchange, PutRouting(document), order_id)


async def serve_order(
    steering: SteeringControl, exchange: Exchange, change: Change, order_id: str
) -> None:
    """Carry out an order of the operator."""
    await respond_order(exchange, await carry_out(steering, change, order_id), b"{}")


async def serve_get(steering: SteeringControl, exchange: Exchange) -> None:
    """Return the newest configuration, or say that it isn't known to be the newest."""
    result, catalogue = await read_newest(steering)
    body = b""
    if isinstance(result, Done):
        if catalogue.routing is None:
            await exchange.respond_json(503, {"error": "there is no configuration yet"})
            return
        body = encode_document(catalogue.routing)
    await respond_order(exchange, result, body)


async def respond_order(exchange: Exchange, result: OrderResult, body: bytes) -> None:
    """Answer the operator; a node that can't serve a call names the one that can."""
    match result:
        case Done():
            await exchange.respond(ResponseHead(200, (JSON_TYPE,)), body)
        case Elsewhere(address=address):
            location = f"http://{address}{exchange.head.target.decode('ascii', 'replace')}"
            headers = (JSON_TYPE, (b"location", location.encode()))
            await exchange.respond(ResponseHead(307, headers), b"{}")
        case other:
            await exchange.respond_json(503, {"error": other.cause})


async def serve_resolve(steering: SteeringControl, exchange: Exchange) -> None:
    """Tell a client where to connect."""
    path, _, query = exchange.head.target.decode("ascii", "replace").partition("?")
    if path != RESOLVE_PATH:
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
        return
    fields = parse_qs(query)
    zone = fields.get("zone", [""])[0]
    region = fields.get("region", [""])[0]
    addresses = find_lookup_addresses(steering, zone, region)
    if not addresses:
        await exchange.respond_json(503, {"error": "no entry VM is known to take clients"})
        return
    limit = steering.settings.bounds.lookup_ttl_limit
    ttl_s = min(LOOKUP_TTL, limit).total_seconds()
    value = {
        "frontAddresses": [str(address) for address in addresses[:MOST_ADDRESSES]],
        "ttlS": ttl_s,
    }
    body = json.dumps(value, separators=(",", ":")).encode()
    await exchange.respond(ResponseHead(200, (JSON_TYPE,)), body)
