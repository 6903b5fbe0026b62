"""The bytes that an entry VM holds for callers and servers, and what it does when they are many.

Counted are buffered request bodies, buffered responses, and responses that are being sent until the
kernel has accepted them. Both are counted before they arrive: bodies with their announced size, and
responses with the average size. The kernel's socket buffers aren't counted: the kernel bounds them
itself, and they aren't part of the process. Neither are the receive buffer of each connection and
what is in transit, which is at most one buffer for each request in flight.

Each threshold is compared with what requests hold that are at least as urgent as the one that is
judged, so that the least urgent ones are stopped first; at the bound all of them are.
"""

import enum
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import attrs

__all__ = [
    "Accept",
    "HeldKind",
    "HeldMemory",
    "Holding",
    "MemoryPressure",
    "ReadOn",
    "Refuse",
    "StopReading",
    "Urgency",
    "expect_response",
    "find_bound",
    "find_pressure",
    "hold",
    "judge_reading",
    "judge_request",
    "learn_response",
    "note_refusal",
    "release",
    "take_pressure_change",
]

# A process takes about 30 MB of the smallest VM's 152 MB, and a held byte may exist three times: as
# received, as encoded, and in the send buffer. A quarter leaves room for these copies: 38 MB of
# 152 MB may become 114 MB.
HELD_FRACTION = 0.25
# Fractions of the bound. Between the second threshold and the bound there is room for responses to
# requests that were sent before it was passed, and for more urgent requests.
STOP_FRACTION = 0.5
REFUSE_FRACTION = 0.75
# Assumed size of a response before the first one has arrived.
FIRST_RESPONSE_BYTES = 16384.0
# Weight of the newest response in the average of their sizes, once there were as many.
RESPONSE_WEIGHT = 1 / 16
# Slow callers release memory within the progress limit, usually 10 s, and others within one run.
MIN_RETRY_DELAY = timedelta(milliseconds=500)
RETRY_SPREAD = timedelta(seconds=1)
# Consecutive multiples of the golden ratio spread any number of retries evenly.
GOLDEN_RATIO = 0.6180339887498949

# Ranks of the organisation and of the route; smaller ones are more urgent.
Urgency = tuple[int, int]


class HeldKind(enum.Enum):
    """What is held: a request body, a response, or a response that the caller hasn't taken."""

    BODY = "body"
    RESPONSE = "response"
    UNSENT = "unsent"


class MemoryPressure(enum.Enum):
    """How much of the bound is in use, as logged."""

    NONE = "none"
    READING_STOPPED = "reading_stopped"
    REFUSING = "refusing"


@attrs.frozen
class ReadOn:
    """The body of a request may be read from its caller."""


@attrs.frozen
class StopReading:
    """The body of a request isn't read from its caller until memory is released."""


@attrs.frozen
class Accept:
    """A request that hasn't been sent may be sent, and its body may be read."""


@attrs.frozen
class Refuse:
    """A request that hasn't been sent is refused, since it is among the least urgent ones."""


@attrs.define(eq=False)
class Holding:
    """What is held for one request.

    Attributes:
        urgency: Its ranks.
        sizes: Bytes by kind.
    """

    urgency: Urgency
    sizes: dict[HeldKind, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class HeldMemory:
    """The bytes held by a process.

    Attributes:
        bound: Bytes that may be held; None for no bound.
        total: Bytes held.
        by_kind: Bytes held by kind.
        by_urgency: Bytes held by the ranks of the requests; those without any are absent.
        response_bytes: Moving average of the buffered bytes of a response.
        responses: Number of responses in this average.
        refusals: Number of refused requests.
        peak: Largest total since the pressure was last reported.
        reported: Pressure that was last reported.
        on_released: Called after bytes have been released, unless None.
    """

    bound: int | None = None
    total: int = 0
    by_kind: Counter = attrs.field(factory=Counter)
    by_urgency: Counter = attrs.field(factory=Counter)
    response_bytes: float = FIRST_RESPONSE_BYTES
    responses: int = 0
    refusals: int = 0
    peak: int = 0
    reported: MemoryPressure = MemoryPressure.NONE
    on_released: Callable[[], None] | None = None


def find_bound(memory_bytes: int | None) -> int | None:
    """Return the bound on held bytes for the memory of a process, None for no bound."""
    return None if memory_bytes is None else int(memory_bytes * HELD_FRACTION)


def hold(memory: HeldMemory, holding: Holding, kind: HeldKind, size: int) -> None:
    """Set how many bytes of a kind are held for a request, instead of those of before."""
    change = size - holding.sizes.get(kind, 0)
    if not change:
        return
    holding.sizes[kind] = size
    memory.total += change
    memory.by_kind[kind] += change
    held = memory.by_urgency[holding.urgency] + change
    if held:
        memory.by_urgency[holding.urgency] = held
    else:
        del memory.by_urgency[holding.urgency]
    if change > 0:
        memory.peak = max(memory.peak, memory.total)
    elif memory.on_released is not None:
        memory.on_released()


def release(memory: HeldMemory, holding: Holding) -> None:
    """Release everything that is held for a request."""
    for kind in holding.sizes:
        hold(memory, holding, kind, 0)


def expect_response(memory: HeldMemory, holding: Holding) -> None:
    """Count the response to a request that is being sent with the average size.

    Otherwise the responses to all requests in flight could exceed the bound at once.
    """
    if memory.bound is not None:
        hold(memory, holding, HeldKind.RESPONSE, int(memory.response_bytes))


def learn_response(memory: HeldMemory, size: int) -> None:
    """Update the average with the buffered bytes of a response."""
    memory.responses += 1
    # The assumed size weighs as much as one response.
    weight = max(RESPONSE_WEIGHT, 1 / (memory.responses + 1))
    memory.response_bytes += (size - memory.response_bytes) * weight


def judge_reading(memory: HeldMemory, urgency: Urgency) -> ReadOn | StopReading:
    """Return whether the body of a request may be read from its caller.

    A body is counted with the size that will be buffered before it is read. Counted as it arrives,
    many bodies could stop each other halfway.

    Examples:
        >>> memory = HeldMemory(1000)
        >>> hold(memory, Holding((0, 1)), HeldKind.BODY, 500)
        >>> judge_reading(memory, (0, 1)), judge_reading(memory, (0, 0))
        (StopReading(), ReadOn())
    """
    if memory.bound is None:
        return ReadOn()
    threshold = int(memory.bound * STOP_FRACTION)
    if memory.total < threshold:
        return ReadOn()
    if memory.total < memory.bound and count_urgent_bytes(memory, urgency) < threshold:
        return ReadOn()
    return StopReading()


def count_urgent_bytes(memory: HeldMemory, urgency: Urgency) -> int:
    """Return the bytes held by requests that are at least as urgent."""
    return sum(size for other, size in memory.by_urgency.items() if other <= urgency)


def judge_request(memory: HeldMemory, urgency: Urgency) -> Accept | Refuse:
    """Return whether a request that hasn't been sent is served.

    Examples:
        >>> memory = HeldMemory(1000)
        >>> hold(memory, Holding((0, 2)), HeldKind.UNSENT, 800)
        >>> judge_request(memory, (0, 1)), judge_request(memory, (0, 2))
        (Accept(), Refuse())
    """
    if memory.bound is None:
        return Accept()
    threshold = memory.bound * REFUSE_FRACTION
    if memory.total <= threshold:
        return Accept()
    if memory.total < memory.bound and count_urgent_bytes(memory, urgency) <= threshold:
        return Accept()
    return Refuse()


def note_refusal(memory: HeldMemory) -> timedelta:
    """Count a refused request and return its retry time; callers don't return together."""
    memory.refusals += 1
    return MIN_RETRY_DELAY + RETRY_SPREAD * (memory.refusals * GOLDEN_RATIO % 1.0)


def find_pressure(memory: HeldMemory, size: int) -> MemoryPressure:
    """Return the pressure with this many bytes held."""
    match memory.bound:
        case None:
            return MemoryPressure.NONE
        case bound if size > bound * REFUSE_FRACTION:
            return MemoryPressure.REFUSING
        case bound if size >= int(bound * STOP_FRACTION):
            return MemoryPressure.READING_STOPPED
        case _:
            return MemoryPressure.NONE


def take_pressure_change(memory: HeldMemory) -> MemoryPressure | None:
    """Return the pressure if it isn't the one that was last reported, None if it is.

    A threshold that was passed between two calls is reported by the first, and that it was left by
    the next one.
    """
    pressure = find_pressure(memory, memory.peak)
    memory.peak = memory.total
    if pressure is memory.reported:
        return None
    memory.reported = pressure
    return pressure
