"""Admission of requests by the owner of the endpoints: slots, shares and the queue."""

import bisect
from collections import Counter
from datetime import timedelta

import attrs

from camphorspread.process.endpoints import Endpoint, Registry
from camphorspread.process.share_demand import ShareDemand, record_refused, record_used
from camphorspread.process.slots import SlotTable, count_free_slots, service_time
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.policy import DEFAULT_POLICY, EndpointPolicy
from camphorspread.request.reasons import Reason
from camphorspread.request.routing import choose_endpoint
from camphorspread.request.window import SlidingWindow, count_recent, try_take
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
    "expire",
    "find_shortage",
    "grant_waiting",
    "release",
]

CLASS_ORDER = {service_class: rank for rank, service_class in enumerate(ServiceClass)}


@attrs.frozen
class AdmissionRequest:
    """A request that asks for a slot.

    Attributes:
        ticket: Number of the request at this owner; a later request has a higher one.
        service: Name of the service.
        service_class: Order under overload.
        deadline: Instant by which it must be answered.
        is_shifted: True if the caller is in another region than the owner.
        excluded: Endpoints that this request has tried.
    """

    ticket: int
    service: str
    service_class: ServiceClass
    deadline: timedelta
    is_shifted: bool = False
    excluded: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key in the queue: the class, then the arrival."""
        return CLASS_ORDER[self.service_class], self.ticket


@attrs.frozen
class AdmissionLimits:
    """Limits that hold now at this owner.

    Attributes:
        region: Region of the owner.
        region_share: Requests in flight over all services, None without a limit.
        service_shares: Requests in flight by service.
        shift_shares: Shifted requests a second by service.
        queue_lengths: Requests that may wait by service.
    """

    region: str = ""
    region_share: int | None = None
    service_shares: dict[str, int] = attrs.field(factory=dict)
    shift_shares: dict[str, int] = attrs.field(factory=dict)
    queue_lengths: dict[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class AdmissionQueue:
    """State of admission at one owner.

    Attributes:
        registry: Endpoints that this VM owns.
        table: Measurements at the endpoints.
        demand: What is used and refused of each share.
        waiting: Requests that wait, over all services, in the order in which they are served.
        in_flight: Admitted requests by service.
        shifted: Shifted requests of the last second by service.
        policy: How endpoints are chosen; measurements compare it with baselines.
    """

    registry: Registry
    table: SlotTable
    demand: ShareDemand
    waiting: list[AdmissionRequest] = attrs.field(factory=list)
    in_flight: Counter[str] = attrs.field(factory=Counter)
    shifted: dict[str, SlidingWindow] = attrs.field(factory=dict)
    policy: EndpointPolicy = DEFAULT_POLICY


@attrs.frozen
class Granted:
    """The request has a slot of the endpoint, which `release` gives back."""

    ticket: int
    endpoint: Endpoint


@attrs.frozen
class Refused:
    """The request gets no slot."""

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
    """Give the request a slot, let it wait, or refuse it or a request of a lower class.

    Args:
        queue: State of admission.
        limits: Limits that hold now.
        req: The request.
        now: Current instant.
        may_wait: False if the request is refused instead of waiting.

    Returns:
        The requests that got a slot or a refusal; a waiting one isn't among them.
    """
    refusal = check_arrival(queue, limits, req, now)
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
        return [*effects, Refused(req.ticket, refuse_full(req, shortage, Reason.SLOTS_FULL))]
    return [*effects, *shed(queue, limits, req, shortage)]


def check_arrival(
    queue: AdmissionQueue, limits: AdmissionLimits, req: AdmissionRequest, now: timedelta
) -> Refusal | None:
    """Return the refusal of a request that can't be served whatever becomes free."""
    live = queue.registry.list_live(req.service, now)
    if not live:
        return refuse_no_endpoint(req)
    if all(endpoint.announcement.endpoint in req.excluded for endpoint in live):
        message = f"each endpoint of {req.service} has been tried"
        return Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT)
    if req.is_shifted and is_shift_share_used(queue, limits, req.service, now):
        return refuse_shift(queue, req)
    if now + expected_time(queue, req, live, now) > req.deadline:
        message = "the deadline can't be met"
        return Refusal(ErrorKind.DEADLINE_TOO_SHORT, message, Reason.DEADLINE)
    return None


def expected_time(
    queue: AdmissionQueue, req: AdmissionRequest, live: list[Endpoint], now: timedelta
) -> timedelta:
    """Return the time until the response, judged by the measured time of a request."""
    mean = service_time(queue.table, req.service, now)
    ahead = sum(
        1 for item in queue.waiting if item.service == req.service and item.order < req.order
    )
    if not ahead and any(count_free_slots(endpoint, now) for endpoint in live):
        return mean
    slots = sum(min(endpoint.admitted_slots(now), endpoint.announcement.slots) for endpoint in live)
    return mean + mean * (ahead + 1) / max(slots, 1)


def grant_waiting(queue: AdmissionQueue, limits: AdmissionLimits, now: timedelta) -> list[Effect]:
    """Give free slots to the waiting requests, higher classes first over all services."""
    effects: list[Effect] = []
    kept: list[AdmissionRequest] = []
    blocked: set[str] = set()
    for position, req in enumerate(queue.waiting):
        if is_region_share_used(queue, limits):
            kept += queue.waiting[position:]
            break
        effect = None
        if req.service not in blocked:
            effect = try_grant(queue, limits, req, now)
        if effect is None:
            kept.append(req)
            # A request that has tried endpoints may have to wait while another one need not.
            if not req.excluded:
                blocked.add(req.service)
        else:
            effects.append(effect)
    queue.waiting = kept
    return effects


def try_grant(
    queue: AdmissionQueue, limits: AdmissionLimits, req: AdmissionRequest, now: timedelta
) -> Effect | None:
    """Take a slot and the shares for one request, or refuse it, or return None to let it wait."""
    live = queue.registry.list_live(req.service, now)
    if not live:
        return Refused(req.ticket, refuse_no_endpoint(req))
    if find_shortage(queue, limits, req.service) is not None:
        return None
    endpoint = choose_endpoint(queue.table, live, now, req.excluded, queue.policy)
    if endpoint is None:
        return None
    if req.is_shifted:
        window = queue.shifted.setdefault(req.service, SlidingWindow())
        if not try_take(window, now, limits.shift_shares.get(req.service, 0)):
            return Refused(req.ticket, refuse_shift(queue, req))
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
    """Give back a slot; the head of the queue gets it."""
    endpoint.in_use -= 1
    queue.in_flight[endpoint.announcement.service] -= 1
    return grant_waiting(queue, limits, now)


def expire(queue: AdmissionQueue, ticket: int) -> bool:
    """Remove a request whose deadline has passed or whose caller has gone.

    Returns:
        True if it was waiting.
    """
    kept = [item for item in queue.waiting if item.ticket != ticket]
    was_waiting = len(kept) < len(queue.waiting)
    queue.waiting = kept
    return was_waiting


def shed(
    queue: AdmissionQueue,
    limits: AdmissionLimits,
    req: AdmissionRequest,
    shortage: ShareKey | None,
) -> list[Effect]:
    """Refuse the newest request of the lowest class if too many wait."""
    same_service = [item for item in queue.waiting if item.service == req.service]
    if len(same_service) > limits.queue_lengths.get(req.service, 0):
        return [refuse_waiting(queue, same_service[-1], req, shortage)]
    is_region_short = shortage is not None and not shortage.service
    if is_region_short and len(queue.waiting) > (limits.region_share or 0):
        return [refuse_waiting(queue, queue.waiting[-1], req, shortage)]
    return []


def refuse_waiting(
    queue: AdmissionQueue,
    victim: AdmissionRequest,
    arrived: AdmissionRequest,
    shortage: ShareKey | None,
) -> Refused:
    """Remove a waiting request and return its refusal."""
    queue.waiting.remove(victim)
    is_shed = CLASS_ORDER[victim.service_class] > CLASS_ORDER[arrived.service_class]
    reason = Reason.SHED_BY_CLASS if is_shed else Reason.QUEUE_FULL
    return Refused(victim.ticket, refuse_full(victim, shortage, reason))


def find_shortage(queue: AdmissionQueue, limits: AdmissionLimits, service: str) -> ShareKey | None:
    """Return the share that is used up for the service, or None."""
    if is_region_share_used(queue, limits):
        return region_key(limits)
    share = limits.service_shares.get(service)
    if share is not None and queue.in_flight[service] >= share:
        return service_key(limits, service)
    return None


def is_region_share_used(queue: AdmissionQueue, limits: AdmissionLimits) -> bool:
    """Return True if no further request may run in the region through this VM."""
    return limits.region_share is not None and queue.in_flight.total() >= limits.region_share


def is_shift_share_used(
    queue: AdmissionQueue, limits: AdmissionLimits, service: str, now: timedelta
) -> bool:
    """Return True if no further shifted request may run now."""
    window = queue.shifted.get(service)
    return (count_recent(window, now) if window else 0) >= limits.shift_shares.get(service, 0)


def region_key(limits: AdmissionLimits) -> ShareKey:
    """Return the key of the region's own limit."""
    return ShareKey(ShareKind.REGION_LIMIT, limits.region)


def service_key(limits: AdmissionLimits, service: str) -> ShareKey:
    """Return the key of a service's limit in the region."""
    return ShareKey(ShareKind.SERVICE_REGION_LIMIT, limits.region, service)


def shift_key(service: str) -> ShareKey:
    """Return the key of a service's shift cap."""
    return ShareKey(ShareKind.SHIFT_CAP, service=service)


def refuse_no_endpoint(req: AdmissionRequest) -> Refusal:
    """Return the refusal for a service without a live endpoint here."""
    message = f"no backend server serves {req.service}"
    return Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT)


def refuse_shift(queue: AdmissionQueue, req: AdmissionRequest) -> Refusal:
    """Return the refusal for a shifted request over the share and count it."""
    record_refused(queue.demand, shift_key(req.service))
    message = f"the shift share of {req.service} is used up"
    return Refusal(ErrorKind.SHIFT_CAP, message, Reason.SHIFT_SHARE_USED)


def refuse_full(req: AdmissionRequest, shortage: ShareKey | None, reason: Reason) -> Refusal:
    """Return the refusal for a request without a slot, a share or room in the queue."""
    if shortage is None:
        return Refusal(ErrorKind.OVERLOADED, f"all slots of {req.service} are in use", reason)
    if reason is not Reason.SHED_BY_CLASS:
        reason = Reason.REGION_SHARE_USED
    return Refusal(ErrorKind.REGION_LIMIT, "the share of the region's limit is used up", reason)
