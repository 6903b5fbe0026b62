"""Decodes the platform's JSON configuration into a route table."""

import json
from datetime import timedelta

from returns.result import Failure, Result, Success

from camphorspread.platform.organisation_codec import (
    build_organisations,
    contains_key,
    parse_flag,
)
from camphorspread.version.catalogue import RoutingDocument
from camphorspread.version.routing import (
    CallerLimits,
    Route,
    RouteTable,
    SteeredService,
    WeightedService,
    list_route_errors,
)

__all__ = ["decode_document", "decode_table", "encode_document"]

VERSION_PREFIX = "r"
# Kinds of routes whose requests may run twice, regardless of their method. The requests of any
# other kind, also of one that this version doesn't know, run at most once.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})


def decode_document(data: bytes) -> Result[RoutingDocument, str]:
    """Validate a configuration; return it with its revision, or why it is invalid."""
    match decode_table(data):
        case Success(table):
            return Success(RoutingDocument(table.revision, data.decode()))
        case Failure(fault):
            return Failure(fault)


def encode_document(document: RoutingDocument) -> bytes:
    """Return a configuration in the bytes that the operator sent."""
    return document.text.encode()


def decode_table(data: bytes | str) -> Result[RouteTable, str]:
    """Decode a configuration, or return why it is invalid; the error contains no key."""
    try:
        # The text form of this error contains all of the data.
        text = data if isinstance(data, str) else data.decode()
    except UnicodeDecodeError as exc:
        return Failure(f"the configuration isn't UTF-8 at byte {exc.start}")
    value = None
    try:
        value = json.loads(text)
        table = build_table(value)
        faults = list_route_errors(table)
        if not faults:
            return Success(table)
        fault = "; ".join(faults[:5])
    except RecursionError:
        return Failure("the configuration is nested too deeply")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        fault = f"the configuration can't be read: {exc!r}"
    if contains_key(fault, value):
        return Failure("the configuration is invalid; the cause isn't shown as it contains a key")
    return Failure(fault)


def build_table(value: dict) -> RouteTable:
    """Build the route table from a configuration's JSON value."""
    services = {item["name"]: build_service(item) for item in value["services"]}
    routes = tuple(build_route(item) for item in value["routes"])
    return RouteTable(
        parse_revision(value["version"]),
        routes,
        services,
        build_limits(value.get("limits")),
        build_organisations(value.get("tenants")),
    )


def parse_revision(text: str) -> int:
    """Parse a version such as `r12`."""
    number = text.removeprefix(VERSION_PREFIX)
    if not text.startswith(VERSION_PREFIX) or not number.isascii() or not number.isdigit():
        raise ValueError(f"version {text!r}; allowed: {VERSION_PREFIX} and a number")
    return int(number)


def build_route(value: dict) -> Route:
    """Build one route."""
    # A traffic split replaces the single service.
    parts = value.get("trafficSplit") or [{"service": value["service"], "weight": 1}]
    targets = tuple(
        WeightedService(require_string(part["service"]), parse_weight(part["weight"]))
        for part in parts
    )
    prefix = require_string(value["pathPrefix"])
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"prefix {prefix!r}; allowed: a path that begins and ends with a slash")
    return Route(
        name=require_string(value["name"]),
        host=require_string(value["host"]),
        path_prefix=prefix,
        is_idempotent=require_string(value["kind"]) in IDEMPOTENT_KINDS,
        time_limit=parse_milliseconds(value["timeoutMs"]),
        promised=parse_milliseconds(value.get("targetLatencyMs", value["timeoutMs"])),
        rank=int(value.get("priority", 0)),
        targets=targets,
        max_attempts=max(int(value.get("maxAttempts", 1)), 1),
        has_affinity=value.get("sessionAffinity") is True,
        home_regions=tuple(require_string(item) for item in value.get("allowedRegions") or ()),
        is_public=parse_flag(value.get("public"), "public"),
    )


def build_service(value: dict) -> SteeredService:
    """Build one service."""
    return SteeredService(
        name=require_string(value["name"]),
        max_connections=int(value.get("maxConnections", 100)),
        cold_per_second=float(value.get("coldPerS", 0) or 0),
    )


def build_limits(value: dict | None) -> CallerLimits:
    """Build the limits for callers; missing ones get the product's default values."""
    defaults = CallerLimits()
    if not value:
        return defaults
    return CallerLimits(
        header_bytes=int(value.get("maxHeaderBytes", defaults.header_bytes)),
        body_bytes=int(value.get("maxBodyBytes", defaults.body_bytes)),
        header_time=(
            parse_milliseconds(value["headerTimeoutMs"])
            if "headerTimeoutMs" in value
            else defaults.header_time
        ),
        idle_time=(
            parse_milliseconds(value["idleTimeoutMs"])
            if "idleTimeoutMs" in value
            else defaults.idle_time
        ),
    )


def parse_milliseconds(value: object) -> timedelta:
    """Return a positive number of milliseconds as a duration."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ValueError(f"{value!r} isn't a positive number of milliseconds")
    return timedelta(milliseconds=value)


def require_string(value: object) -> str:
    """Return a value that must be a string."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} isn't a string")
    return value


def parse_weight(value: object) -> float:
    """Return a value that must be a weight, a number of at least 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} isn't a weight of at least 0")
    return float(value)
