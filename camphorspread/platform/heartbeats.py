"""Heartbeats and departures of endpoints, decoded into reports of backend servers."""

import json
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.platform.settings_file import parse_address
from camphorspread.process.announcement_messages import Accepted, NotAccepted
from camphorspread.process.instances import LAST_SEQUENCE, InstanceReport

__all__ = [
    "InvalidHeartbeatError",
    "decode_departure",
    "decode_heartbeat",
    "parse_call_path",
    "respond_heartbeat",
]

HEARTBEAT_PREFIX = "/-/Instances.Heartbeat/"
DEPARTURE_PREFIX = "/-/Instances.Deregister/"
IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 10_000


class InvalidHeartbeatError(ValueError):
    """A heartbeat with a missing or invalid field; it is not applied."""


def parse_call_path(target: str) -> tuple[str, str]:
    """Return the call that a path names, `heartbeat`, `departure` or empty, and the endpoint."""
    path = target.partition("?")[0]
    for prefix, call in ((HEARTBEAT_PREFIX, "heartbeat"), (DEPARTURE_PREFIX, "departure")):
        if path.startswith(prefix) and len(path) > len(prefix):
            return call, path.removeprefix(prefix)
    return "", ""


def decode_heartbeat(instance: str, data: bytes) -> InstanceReport:
    """Decode a heartbeat.

    Raises:
        InvalidHeartbeatError: A field is missing or has an invalid value.
    """
    try:
        value = json.loads(data)
        slots = value["slots"]
        sequence = value["seq"]
        started = value.get("born", 0)
        # Time until the endpoint has warmed up after its start.
        cold_ms = value.get("coldRemainingMs", 0)
        is_leaving = IS_LEAVING_BY_STATE[value["state"]]
        service, zone = value["service"], value["zone"]
        for number in (slots, sequence, started):
            if type(number) is not int or not 0 <= number < LAST_SEQUENCE:
                raise InvalidHeartbeatError("slots, seq or born isn't a valid whole number")
        if type(cold_ms) not in (int, float) or not 0 <= cold_ms < 1e9:
            raise InvalidHeartbeatError(f"{cold_ms!r} isn't a valid number of milliseconds")
        if not 0 < slots <= MAX_SLOTS or not isinstance(service, str) or not isinstance(zone, str):
            raise InvalidHeartbeatError("slots, service or zone isn't valid")
        address = parse_address(value["address"])
    except InvalidHeartbeatError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as exc:
        raise InvalidHeartbeatError(repr(exc)) from exc
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
    """Decode the optional report of a departing endpoint; None without a valid one."""
    try:
        report = decode_heartbeat(instance, data)
    except InvalidHeartbeatError:
        return None
    return report


async def respond_heartbeat(exchange: Exchange, result: Accepted | NotAccepted) -> None:
    """Acknowledge a call and name the owner to call next, or respond that it wasn't accepted."""
    match result:
        case Accepted(owner=None):
            await exchange.respond_json(200, {})
        case Accepted(owner=owner):
            await exchange.respond_json(200, {"heartbeatUrl": str(owner)})
        case NotAccepted(cause=cause):
            await exchange.respond_json(503, {"error": cause})
