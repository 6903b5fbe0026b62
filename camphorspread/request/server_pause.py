"""Pauses that backend servers ask for when they reject a request.

A pause concerns the VM that got the response. It is followed by a ramp-up: the server asked for the
pause because it has too little capacity, and the VMs of a region return at about the same time.
"""

import zlib
from datetime import timedelta

from camphorspread.process.instances import Instance, is_in_service
from camphorspread.process.server_statements import ServerStatements
from camphorspread.request.placement_board import PlacementBoard

__all__ = [
    "RAMP_TIME",
    "apply_pause",
    "find_return_delay",
    "is_long_pause",
    "may_send_in_ramp",
    "record_ramp_send",
    "spread_return_delay",
]

# After a pause, the requests in flight are limited to 1, and the limit doubles with each step.
RAMP_STEP = timedelta(milliseconds=250)
RAMP_STEPS = 4
RAMP_TIME = RAMP_STEP * RAMP_STEPS
# The pauses of different VMs end up to this fraction of their length and this time apart.
SPREAD_FRACTION = 0.1
MAX_SPREAD = timedelta(milliseconds=250)
# Rejections with at least this pause don't count as failures, since the pause reduces the requests
# more than the probes of a failing server would.
MIN_LONG_PAUSE = timedelta(milliseconds=500)
# Refused callers are told to return within this time after the first server.
RETURN_SPREAD = timedelta(milliseconds=500)
GOLDEN_RATIO = 0.6180339887


def apply_pause(
    board: PlacementBoard, instance: Instance, pause: timedelta, now: timedelta
) -> bool:
    """Send no requests of this VM to a server until the end of the pause.

    A later response with a shorter pause doesn't end an earlier pause.

    Args:
        board: State of servers and VMs.
        instance: The server.
        pause: For how long it wants no requests, more than zero.
        now: Current monotonic time.

    Returns:
        False if the server is in a pause already.
    """
    stated = instance.stated
    is_new = now >= stated.paused_until
    number = zlib.crc32(f"{board.vm}/{instance.name}".encode()) / 2**32
    until = now + pause + min(pause * SPREAD_FRACTION, MAX_SPREAD) * number
    if until > stated.paused_until:
        stated.paused_until = until
        stated.ramp_until = until + RAMP_TIME
        stated.ramp_sends = 0
    if is_new:
        board.totals.pop(instance.report.service, None)
    return is_new


def is_long_pause(pause: timedelta | None) -> bool:
    """Return True if a rejection with this pause doesn't count as a failure of the server."""
    return pause is not None and pause >= MIN_LONG_PAUSE


def may_send_in_ramp(instance: Instance, now: timedelta) -> bool:
    """Return True if the ramp-up after a pause allows one more request.

    Both the requests in flight and their number since the end of the pause are limited: of many
    VMs, each has at most one request in flight anyway, and short runs would follow each other
    closely.

    Args:
        instance: The server, before the end of its ramp-up.
        now: Current monotonic time.
    """
    stated = instance.stated
    step = max((now - stated.paused_until) // RAMP_STEP, 0)
    return instance.in_flight < 2**step and stated.ramp_sends < 2 ** (step + 1) - 1


def record_ramp_send(stated: ServerStatements, now: timedelta) -> None:
    """Count a request against the limits of the ramp-up after a pause."""
    if now < stated.ramp_until:
        stated.ramp_sends += 1


def find_return_delay(board: PlacementBoard, service: str, now: timedelta) -> timedelta | None:
    """Return the time until the first server returns if all servers of a service have paused.

    Returns:
        None if there is no server, or if one of them isn't in a pause.
    """
    ends = [
        item.stated.paused_until
        for item in board.registry.by_service.get(service, ())
        if is_in_service(item, board.evacuated_zones, now)
    ]
    if not ends or min(ends) <= now:
        return None
    return min(ends) - now


def spread_return_delay(delay: timedelta, number: int) -> timedelta:
    """Return a delay after which a caller is to retry, so that callers don't return together.

    Args:
        delay: Time until the first server returns.
        number: Number of the request; consecutive numbers give distant delays.
    """
    return delay + RETURN_SPREAD * (number * GOLDEN_RATIO % 1.0)
