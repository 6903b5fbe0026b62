"""Heartbeats and departures of endpoints, decoded into announcements of backend servers."""

import json
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.platform.settings_file import parse_address
from camphorspread.process.announcement_messages import Accepted, NotAccepted
from camphorspread.process.instances import InstanceReport

__all__ = [
    "BadHeartbeatError",
    "decode_departure",
    "decode_heartbeat",
    "respond_heartbeat",
    "split_call",
]

HEARTBEAT_PREFIX = "/-/Instances.Heartbeat/"
DEPARTURE_PREFIX = "/-/Instances.Deregister/"
STATES = {"ready": False, "draining": True}
MOST_SLOTS = 10_000


class BadHeartbeatError(ValueError):
    """A heartbeat of another writer: it names no endpoint to use."""


def split_call(target: str) -> tuple[str, str]:
    """Return which call a path is, `heartbeat`, `departure` or nothing, and the endpoint's id."""
    path = target.partition("?")[0]
    for prefix, call in ((HEARTBEAT_PREFIX, "heartbeat"), (DEPARTURE_PREFIX, "departure")):
        if path.startswith(prefix) and len(path) > len(prefix):
            return call, path.removeprefix(prefix)
    return "", ""


def decode_heartbeat(instance: str, data: bytes) -> InstanceReport:
    """Read a heartbeat.

    Raises:
        BadHeartbeatError: A field is missing or has another form.
    """
    try:
        value = json.loads(data)
        slots = value["slots"]
        sequence = value["seq"]
        started = value.get("born", 0)
        # How much longer the endpoint stays cold after its start.
        cold_ms = value.get("coldRemainingMs", 0)
        is_leaving = STATES[value["state"]]
        service, zone = value["service"], value["zone"]
        for number in (slots, sequence, started):
            if type(number) is not int or number < 0:
                raise BadHeartbeatError(f"{number!r} isn't a whole number")
        if type(cold_ms) not in (int, float) or not 0 <= cold_ms < 1e9:
            raise BadHeartbeatError(f"{cold_ms!r} isn't a time")
        if not 0 < slots <= MOST_SLOTS or not isinstance(service, str) or not isinstance(zone, str):
            raise BadHeartbeatError("slots, service or zone have another form")
        address = parse_address(value["address"])
    except BadHeartbeatError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as exc:
        raise BadHeartbeatError(repr(exc)) from exc
    return InstanceReport(
        instance,
        service,
        address,
        zone,
        slots,
        is_leaving,
        timedelta(milliseconds=cold_ms),
        started,
        sequence,
    )


def decode_departure(instance: str, data: bytes) -> InstanceReport | None:
    """Read what a departing endpoint says of itself; None if it says only its id."""
    try:
        report = decode_heartbeat(instance, data)
    except BadHeartbeatError:
        return None
    return report


async def respond_heartbeat(exchange: Exchange, result: Accepted | NotAccepted) -> None:
    """Acknowledge a call of an endpoint, or tell it to call another node."""
    match result:
        case Accepted(owner=None):
            await exchange.respond_json(200, {})
        case Accepted(owner=owner):
            await exchange.respond_json(200, {"heartbeatUrl": str(owner)})
        case NotAccepted(cause=cause):
            await exchange.respond_json(503, {"error": cause})
