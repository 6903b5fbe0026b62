"""Admission control at the VM that owns the endpoints: slots, shares and the queue."""

import bisect
from collections import Counter
from datetime import timedelta

import attrs

from camphorspread.process.endpoint_health import (
    EndpointHealthTable,
    count_free_slots,
    service_time,
)
from camphorspread.process.endpoints import Endpoint, EndpointRegistry
from camphorspread.process.share_demand import ShareDemand, record_refused, record_used
from camphorspread.request.candidates import choose_endpoint
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.policy import DEFAULT_POLICY, EndpointPolicy
from camphorspread.request.queue_time import estimate_queue_time
from camphorspread.request.reasons import Reason
from camphorspread.request.window import SlidingWindow, count_recent, try_acquire
from camphorspread.version.catalogue import ServiceClass
from camphorspread.version.shares import ShareKey, ShareKind

__all__ = [
    "AdmissionLimits",
    "AdmissionQueue",
    "AdmissionRequest",
    "Effect",
    "Granted",
    "Refused",
    "admit",
    "estimate_wait",
    "find_shortage",
    "grant_waiting",
    "release",
    "remove_queued",
]

CLASS_RANKS = {service_class: rank for rank, service_class in enumerate(ServiceClass)}


@attrs.frozen
class AdmissionRequest:
    """A request that asks for a slot.

    Attributes:
        ticket: Number of the request at this owner, in the order of arrival.
        service: Name of the service.
        service_class: Priority under overload.
        deadline: Time by which the response must be sent.
        is_shifted: True if the caller is in another region than the owner.
        excluded: Names of endpoints that earlier attempts of this request used.
    """

    ticket: int
    service: str
    service_class: ServiceClass
    deadline: timedelta
    is_shifted: bool = False
    excluded: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key in the queue: service class first, then order of arrival."""
        return CLASS_RANKS[self.service_class], self.ticket


@attrs.frozen
class AdmissionLimits:
    """Current limits of this owner.

    Attributes:
        region: Region of the owner.
        region_share: Maximum requests in flight over all services, None without a limit.
        region_queue_length: Maximum requests that wait for the region share, None for as many as
            the share.
        service_shares: Maximum requests in flight by service.
        shift_shares: Maximum shifted requests per second by service.
        queue_lengths: Maximum queued requests by service.
        awaited_shift_shares: Services whose shift share is expected back in a moment, so that
            shifted requests wait for it.
    """

    region: str = ""
    region_share: int | None = None
    region_queue_length: int | None = None
    service_shares: dict[str, int] = attrs.field(factory=dict)
    shift_shares: dict[str, int] = attrs.field(factory=dict)
    queue_lengths: dict[str, int] = attrs.field(factory=dict)
    awaited_shift_shares: frozenset[str] = frozenset()


@attrs.define(eq=False)
class AdmissionQueue:
    """Admission state of one owner.

    Attributes:
        registry: Endpoints that this VM owns.
        table: Measured latency and failures of the endpoints.
        demand: Use and refusals of each share.
        waiting: Queued requests of all services, in the order in which they are served.
        in_flight: Number of admitted requests by service.
        shifted: Shifted requests of the last second by service.
        policy: How endpoints are chosen; benchmarks replace it to compare with baselines.
    """

    registry: EndpointRegistry
    table: EndpointHealthTable
    demand: ShareDemand
    waiting: list[AdmissionRequest] = attrs.field(factory=list)
    in_flight: Counter[str] = attrs.field(factory=Counter)
    shifted: dict[str, SlidingWindow] = attrs.field(factory=dict)
    policy: EndpointPolicy = DEFAULT_POLICY


@attrs.frozen
class Granted:
    """The request holds a slot of the endpoint until `release` is called."""

    ticket: int
    endpoint: Endpoint


@attrs.frozen
class Refused:
    """The request was refused a slot."""

    ticket: int
    refusal: Refusal


Effect = Granted | Refused


def admit(
    queue: AdmissionQueue,
    limits: AdmissionLimits,
    req: AdmissionRequest,
    now: timedelta,
    may_wait: bool = True,
) -> list[Effect]:
    """Grant the request a slot, queue it, or refuse it or a queued request of a lower class.

    Args:
        queue: Admission state.
        limits: Current limits.
        req: The arriving request.
        now: Current monotonic time.
        may_wait: False if the request is refused rather than queued.

    Returns:
        The decisions made by this call; a request that is queued has none yet.
    """
    refusal = check_admissible(queue, limits, req, now)
    if refusal is not None:
        return [Refused(req.ticket, refusal)]
    bisect.insort(queue.waiting, req, key=lambda item: item.order)
    effects = grant_waiting(queue, limits, now)
    if any(effect.ticket == req.ticket for effect in effects):
        return effects
    shortage = find_shortage(queue, limits, req.service)
    if shortage is not None:
        record_refused(queue.demand, shortage)
    if not may_wait:
        queue.waiting.remove(req)
        return [*effects, Refused(req.ticket, capacity_refusal(req, shortage, Reason.SLOTS_FULL))]
    return [*effects, *shed(queue, limits, req, shortage)]


def check_admissible(
    queue: AdmissionQueue, limits: AdmissionLimits, req: AdmissionRequest, now: timedelta
) -> Refusal | None:
    """Return the refusal of a request that no released slot could serve, or None."""
    live = queue.registry.list_live(req.service, now)
    if not live:
        return no_endpoint_refusal(req)
    if all(endpoint.announcement.endpoint in req.excluded for endpoint in live):
        message = f"all endpoints of {req.service} have been tried"
        return Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT)
    if lacks_shift_share(queue, limits, req, now) and not may_await_shift_share(limits, req):
        return record_shift_refusal(queue, req)
    if now + estimate_response_time(queue, req, live, now) > req.deadline:
        message = "the expected response time exceeds the deadline"
        return Refusal(ErrorKind.DEADLINE_TOO_SHORT, message, Reason.DEADLINE)
    return None


def estimate_response_time(
    queue: AdmissionQueue, req: AdmissionRequest, live: list[Endpoint], now: timedelta
) -> timedelta:
    """Estimate the time until the response from the mean service time and the queue."""
    mean = service_time(queue.table, req.service, now)
    queued_ahead = sum(
        1 for item in queue.waiting if item.service == req.service and item.order < req.order
    )
    if not queued_ahead and any(count_free_slots(endpoint, now) for endpoint in live):
        return mean
    limit = req.deadline - now
    return mean + estimate_queue_time(live, mean, queued_ahead + 1, now, limit)


def estimate_wait(
    queue: AdmissionQueue, limits: AdmissionLimits, service: str, now: timedelta, limit: timedelta
) -> timedelta:
    """Estimate how long a request that arrives now would wait for a slot and the shares.

    Args:
        queue: Admission state.
        limits: Current limits.
        service: Name of the service.
        now: Current monotonic time.
        limit: Longest time that matters.
    """
    live = queue.registry.list_live(service, now)
    queued = sum(1 for item in queue.waiting if item.service == service)
    has_free = any(count_free_slots(endpoint, now) for endpoint in live)
    if not queued and has_free and find_shortage(queue, limits, service) is None:
        return timedelta(0)
    mean = service_time(queue.table, service, now)
    wait = estimate_queue_time(live, mean, queued + 1, now, limit)
    share = limits.service_shares.get(service)
    return wait if share is None else max(wait, mean * (queued + 1) / max(share, 1))


def grant_waiting(queue: AdmissionQueue, limits: AdmissionLimits, now: timedelta) -> list[Effect]:
    """Grant free slots to queued requests, higher classes first over all services."""
    effects: list[Effect] = []
    still_waiting: list[AdmissionRequest] = []
    blocked_services: set[str] = set()
    for position, req in enumerate(queue.waiting):
        if is_region_share_used(queue, limits):
            still_waiting += queue.waiting[position:]
            break
        effect = None
        if req.service not in blocked_services:
            effect = try_grant(queue, limits, req, now)
        if effect is None:
            still_waiting.append(req)
            # A request that excludes endpoints doesn't block its service: the others may use them.
            # One that waits for a shift share doesn't block those that need none.
            if not req.excluded and not lacks_shift_share(queue, limits, req, now):
                blocked_services.add(req.service)
        else:
            effects.append(effect)
    queue.waiting = still_waiting
    return effects


def try_grant(
    queue: AdmissionQueue, limits: AdmissionLimits, req: AdmissionRequest, now: timedelta
) -> Effect | None:
    """Acquire a slot and shares for a request, refuse it, or return None to keep it queued."""
    live = queue.registry.list_live(req.service, now)
    if not live:
        return Refused(req.ticket, no_endpoint_refusal(req))
    if find_shortage(queue, limits, req.service) is not None:
        return None
    if lacks_shift_share(queue, limits, req, now) and may_await_shift_share(limits, req):
        return None
    endpoint = choose_endpoint(queue.table, live, now, req.excluded, queue.policy)
    if endpoint is None:
        return None
    if req.is_shifted:
        window = queue.shifted.setdefault(req.service, SlidingWindow())
        if not try_acquire(window, now, limits.shift_shares.get(req.service, 0)):
            return Refused(req.ticket, record_shift_refusal(queue, req))
        record_used(queue.demand, shift_key(req.service), count_recent(window, now))
    endpoint.in_use += 1
    endpoint.sent += 1
    queue.in_flight[req.service] += 1
    record_used(queue.demand, region_key(limits), queue.in_flight.total())
    record_used(queue.demand, service_key(limits, req.service), queue.in_flight[req.service])
    return Granted(req.ticket, endpoint)


def release(
    queue: AdmissionQueue, limits: AdmissionLimits, endpoint: Endpoint, now: timedelta
) -> list[Effect]:
    """Release a slot and grant it to the head of the queue."""
    endpoint.in_use -= 1
    queue.in_flight[endpoint.announcement.service] -= 1
    return grant_waiting(queue, limits, now)


def remove_queued(queue: AdmissionQueue, ticket: int) -> bool:
    """Remove a request from the queue after its deadline has passed or its caller has left.

    Returns:
        True if the request was queued.
    """
    remaining = [item for item in queue.waiting if item.ticket != ticket]
    was_waiting = len(remaining) < len(queue.waiting)
    queue.waiting = remaining
    return was_waiting


def shed(
    queue: AdmissionQueue,
    limits: AdmissionLimits,
    req: AdmissionRequest,
    shortage: ShareKey | None,
) -> list[Effect]:
    """Refuse the newest request of the lowest class if the queue is too long."""
    same_service = [item for item in queue.waiting if item.service == req.service]
    if len(same_service) > limits.queue_lengths.get(req.service, 0):
        return [evict_queued(queue, same_service[-1], req, shortage)]
    is_region_short = shortage is not None and not shortage.service
    length = limits.region_queue_length
    if length is None:
        length = limits.region_share or 0
    if is_region_short and len(queue.waiting) > length:
        return [evict_queued(queue, queue.waiting[-1], req, shortage)]
    return []


def evict_queued(
    queue: AdmissionQueue,
    victim: AdmissionRequest,
    arrived: AdmissionRequest,
    shortage: ShareKey | None,
) -> Refused:
    """Remove a queued request and return its refusal."""
    queue.waiting.remove(victim)
    is_shed = CLASS_RANKS[victim.service_class] > CLASS_RANKS[arrived.service_class]
    reason = Reason.SHED_BY_CLASS if is_shed else Reason.QUEUE_FULL
    return Refused(victim.ticket, capacity_refusal(victim, shortage, reason))


def find_shortage(queue: AdmissionQueue, limits: AdmissionLimits, service: str) -> ShareKey | None:
    """Return the exhausted share that keeps the service from another slot, or None."""
    if is_region_share_used(queue, limits):
        return region_key(limits)
    share = limits.service_shares.get(service)
    if share is not None and queue.in_flight[service] >= share:
        return service_key(limits, service)
    return None


def is_region_share_used(queue: AdmissionQueue, limits: AdmissionLimits) -> bool:
    """Return True if this VM has no share of the region's limit left."""
    return limits.region_share is not None and queue.in_flight.total() >= limits.region_share


def is_shift_share_used(
    queue: AdmissionQueue, limits: AdmissionLimits, service: str, now: timedelta
) -> bool:
    """Return True if this VM has no shift share of the service left in this second."""
    window = queue.shifted.get(service)
    return (count_recent(window, now) if window else 0) >= limits.shift_shares.get(service, 0)


def lacks_shift_share(
    queue: AdmissionQueue, limits: AdmissionLimits, req: AdmissionRequest, now: timedelta
) -> bool:
    """Return True if a request needs a shift share and this VM has none left."""
    return req.is_shifted and is_shift_share_used(queue, limits, req.service, now)


def may_await_shift_share(limits: AdmissionLimits, req: AdmissionRequest) -> bool:
    """Return True if a request may wait until this VM has a shift share again."""
    return req.service in limits.awaited_shift_shares


def region_key(limits: AdmissionLimits) -> ShareKey:
    """Return the share key of the region's limit over all services."""
    return ShareKey(ShareKind.REGION_LIMIT, limits.region)


def service_key(limits: AdmissionLimits, service: str) -> ShareKey:
    """Return the share key of a service's limit in the region."""
    return ShareKey(ShareKind.SERVICE_REGION_LIMIT, limits.region, service)


def shift_key(service: str) -> ShareKey:
    """Return the share key of a service's shift cap."""
    return ShareKey(ShareKind.SHIFT_CAP, service=service)


def no_endpoint_refusal(req: AdmissionRequest) -> Refusal:
    """Return the refusal for a service without a live endpoint at this VM."""
    message = f"no backend server serves {req.service}"
    return Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT)


def record_shift_refusal(queue: AdmissionQueue, req: AdmissionRequest) -> Refusal:
    """Record a shifted request over the share and return its refusal."""
    record_refused(queue.demand, shift_key(req.service))
    message = f"the shift share of {req.service} is exhausted"
    return Refusal(ErrorKind.SHIFT_CAP, message, Reason.SHIFT_SHARE_USED)


def capacity_refusal(req: AdmissionRequest, shortage: ShareKey | None, reason: Reason) -> Refusal:
    """Return the refusal for a request that gets no slot, no share or no place in the queue."""
    if shortage is None:
        return Refusal(ErrorKind.OVERLOADED, f"all slots of {req.service} are in use", reason)
    if reason is not Reason.SHED_BY_CLASS:
        reason = Reason.REGION_SHARE_USED
    return Refusal(ErrorKind.REGION_LIMIT, "the share of the region's limit is exhausted", reason)
