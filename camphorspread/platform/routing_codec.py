"""The platform's configuration: its JSON, decoded into a route table."""

import json
from datetime import timedelta

from returns.result import Failure, Result, Success

from camphorspread.version.catalogue import RoutingDocument
from camphorspread.version.routing import (
    CallerLimits,
    Route,
    RouteTable,
    SteeredService,
    WeightedService,
    find_route_faults,
)

__all__ = ["decode_document", "decode_table", "encode_document"]

VERSION_PREFIX = "r"


def decode_document(data: bytes) -> Result[RoutingDocument, str]:
    """Check a configuration and return it with its revision, or what makes it invalid."""
    match decode_table(data):
        case Success(table):
            return Success(RoutingDocument(table.revision, data.decode()))
        case Failure(fault):
            return Failure(fault)


def encode_document(document: RoutingDocument) -> bytes:
    """Return the bytes in which an operator reads a configuration back."""
    return document.text.encode()


def decode_table(data: bytes | str) -> Result[RouteTable, str]:
    """Decode a configuration, or return what makes it invalid."""
    try:
        value = json.loads(data)
        table = structure_table(value)
    except RecursionError:
        return Failure("the configuration is nested too deeply")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        return Failure(f"the configuration can't be read: {exc!r}")
    faults = find_route_faults(table)
    return Failure("; ".join(faults[:5])) if faults else Success(table)


def structure_table(value: dict) -> RouteTable:
    """Return the table of a decoded configuration."""
    services = {item["name"]: structure_service(item) for item in value["services"]}
    routes = tuple(structure_route(item) for item in value["routes"])
    return RouteTable(
        parse_revision(value["version"]), routes, services, structure_limits(value.get("limits"))
    )


def parse_revision(text: str) -> int:
    """Read a version such as `r12`."""
    number = text.removeprefix(VERSION_PREFIX)
    if not text.startswith(VERSION_PREFIX) or not number.isascii() or not number.isdigit():
        raise ValueError(f"version {text!r}; allowed: {VERSION_PREFIX} and a number")
    return int(number)


def structure_route(value: dict) -> Route:
    """Return one route."""
    # The list of parts stands in place of the single service.
    parts = value.get("trafficSplit") or [{"service": value["service"], "weight": 1}]
    targets = tuple(
        WeightedService(check_text(part["service"]), check_weight(part["weight"])) for part in parts
    )
    prefix = check_text(value["pathPrefix"])
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"prefix {prefix!r}; allowed: a path that begins and ends with a slash")
    return Route(
        name=check_text(value["name"]),
        host=check_text(value["host"]),
        path_prefix=prefix,
        # Only these may run twice, whatever the method.
        is_idempotent=value["kind"] == "safe",
        time_limit=milliseconds(value["timeoutMs"]),
        promised=milliseconds(value.get("targetLatencyMs", value["timeoutMs"])),
        rank=int(value.get("priority", 0)),
        targets=targets,
        max_attempts=max(int(value.get("maxAttempts", 1)), 1),
        has_affinity=value.get("sessionAffinity") is True,
        home_regions=tuple(check_text(item) for item in value.get("allowedRegions") or ()),
    )


def structure_service(value: dict) -> SteeredService:
    """Return one service."""
    return SteeredService(
        name=check_text(value["name"]),
        max_connections=int(value.get("maxConnections", 100)),
        cold_per_second=float(value.get("coldPerS", 0) or 0),
    )


def structure_limits(value: dict | None) -> CallerLimits:
    """Return the limits for callers; missing ones keep the product's own values."""
    own = CallerLimits()
    if not value:
        return own
    return CallerLimits(
        header_bytes=int(value.get("maxHeaderBytes", own.header_bytes)),
        body_bytes=int(value.get("maxBodyBytes", own.body_bytes)),
        header_time=(
            milliseconds(value["headerTimeoutMs"])
            if "headerTimeoutMs" in value
            else own.header_time
        ),
        idle_time=(
            milliseconds(value["idleTimeoutMs"]) if "idleTimeoutMs" in value else own.idle_time
        ),
    )


def milliseconds(value: object) -> timedelta:
    """Read a positive time in milliseconds."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ValueError(f"{value!r} isn't a positive number of milliseconds")
    return timedelta(milliseconds=value)


def check_text(value: object) -> str:
    """Return a text."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} isn't a text")
    return value


def check_weight(value: object) -> float:
    """Return a weight."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} isn't a weight")
    return float(value)
