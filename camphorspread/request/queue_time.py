"""Estimates how long the endpoints of this VM take for the requests in a queue."""

from datetime import timedelta

from camphorspread.process.endpoints import RAMP_STEP, Endpoint

__all__ = ["estimate_queue_time"]


def estimate_queue_time(
    live: list[Endpoint], mean: timedelta, requests: int, now: timedelta, limit: timedelta
) -> timedelta:
    """Estimate how long endpoints that are in constant use take for a number of requests.

    Slots that ramp-ups and ends of quarantines will add count from then on. Without them, the queue
    of a VM whose endpoints have just started would seem too long for any deadline.

    Args:
        live: Endpoints of the service.
        mean: Mean time of a request.
        requests: Number of requests.
        now: Current instant.
        limit: Longest time that matters; a result beyond it is only a lower bound.
    """
    work, elapsed = mean * requests, timedelta(0)
    while True:
        slots = max(sum(project_slots(item, mean, now, elapsed) for item in live), 1)
        step_work = slots * RAMP_STEP
        if work <= step_work or elapsed > limit or all(is_complete(item, now) for item in live):
            return elapsed + work / slots
        work -= step_work
        elapsed += RAMP_STEP


def is_complete(endpoint: Endpoint, now: timedelta) -> bool:
    """Return True if all slots of an endpoint are admitted."""
    return endpoint.admitted_slots(now) >= endpoint.announcement.slots


def project_slots(endpoint: Endpoint, mean: timedelta, now: timedelta, elapsed: timedelta) -> int:
    """Return the slots that an endpoint in constant use will admit after some time."""
    quarantine = max(endpoint.former_until - now, timedelta(0))
    former = endpoint.former_in_use if elapsed < quarantine else 0
    usable = endpoint.announcement.slots - former
    if usable <= 0:
        return 0
    # The ramp-up adds a slot with the first success after each step. An endpoint whose slots are
    # all in quarantine has none.
    is_unused = endpoint.former_in_use >= endpoint.announcement.slots
    growth_time = elapsed - quarantine if is_unused else elapsed
    step = max(RAMP_STEP, mean / endpoint.ramp_slots)
    return min(usable, endpoint.ramp_slots + growth_time // step)
