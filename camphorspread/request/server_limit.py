"""Request rates that backend servers state as the most that they take from all VMs together.

The VMs of a region send to the same servers, and callers are spread over them, so that each VM
takes an equal part of the rate. A statement applies until a response of the server has none; one
that can't be read changes nothing. A VM that sends nothing would never learn of the end, so that a
server gets some requests in any case.
"""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.process.server_statements import ServerStatements
from camphorspread.request.dialect import Limited, RateStatement, Unlimited

__all__ = [
    "MIN_SLOTS",
    "apply_statement",
    "estimate_limit_wait_s",
    "find_usable_slots",
    "may_send_within_limit",
    "record_limited_send",
]

# Requests per second of all VMs that a server gets at least, so that they learn of a new statement.
MIN_RATE = 0.25
# Estimates of waits assume that at least this part of a slot can be used.
MIN_SLOTS = 0.1
# A VM may use its part of the rate ahead by this much, since requests don't arrive evenly.
BURST = timedelta(seconds=0.5)


def apply_statement(instance: Instance, statement: RateStatement, sharers: int) -> None:
    """Apply what a server states about its request rate.

    Args:
        instance: The server.
        statement: The statement in its newest response.
        sharers: Number of VMs that send to it.
    """
    stated = instance.stated
    match statement:
        case Limited(per_second=rate):
            stated.rate_limit = rate
            stated.send_interval = timedelta(seconds=max(sharers, 1) / max(rate, MIN_RATE))
        case Unlimited():
            stated.rate_limit = None
            stated.send_interval = timedelta(0)


def find_usable_slots(instance: Instance, run_s: float) -> float:
    """Return the slots of a server that requests can use under its limit.

    Args:
        instance: The server.
        run_s: Mean run time in seconds.
    """
    slots, rate = instance.report.slots, instance.stated.rate_limit
    return slots if rate is None else min(slots, rate * run_s)


def may_send_within_limit(instance: Instance, now: timedelta) -> bool:
    """Return True if this VM's part of the server's rate allows a request now."""
    stated = instance.stated
    return not stated.send_interval or now >= find_next_send(stated)


def find_next_send(stated: ServerStatements) -> timedelta:
    """Return when this VM may send the next request to a server with a limit."""
    return stated.next_send_at - max(BURST - stated.send_interval, timedelta(0))


def record_limited_send(instance: Instance, now: timedelta) -> None:
    """Count a request against this VM's part of the server's rate."""
    stated = instance.stated
    if stated.send_interval:
        stated.next_send_at = max(stated.next_send_at, now) + stated.send_interval


def estimate_limit_wait_s(instance: Instance, queued: int, now: timedelta) -> float:
    """Return the wait that the server's limit causes, in seconds.

    Args:
        instance: The server.
        queued: Requests of this VM that wait for the server already.
        now: Current monotonic time.
    """
    stated = instance.stated
    if not stated.send_interval:
        return 0.0
    wait = max(find_next_send(stated) - now, timedelta(0)) + queued * stated.send_interval
    return wait.total_seconds()
