"""The bytes that an entry VM holds for callers and servers, and what it does when they are many.

Counted are buffered request bodies, buffered responses, and responses that are being sent until the
kernel has accepted them. The kernel's socket buffers aren't counted: the kernel bounds them itself,
and they aren't part of the process. Neither are the receive buffer of each connection and what is
in transit, which is at most one buffer for each request in flight.
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
    "Pressure",
    "ReadOn",
    "Refuse",
    "StopReading",
    "Urgency",
    "count_free_bytes",
    "find_bound",
    "find_pressure",
    "hold",
    "judge_reading",
    "judge_request",
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


class Pressure(enum.Enum):
    """How much of the bound is in use, as logged."""

    NONE = "none"
    READING_STOPPED = "reading_stopped"
    REFUSING = "refusing"


@attrs.frozen
class ReadOn:
    """More bytes of a body may be read from its caller."""


@attrs.frozen
class StopReading:
    """No more bytes of a body are read from its caller until memory is released."""


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
        refusals: Number of refused requests.
        peak: Largest total since the pressure was last reported.
        reported: Pressure that was last reported.
        on_released: Called after bytes have been released, unless None.
    """

    bound: int | None = None
    total: int = 0
    by_kind: Counter = attrs.field(factory=Counter)
    by_urgency: Counter = attrs.field(factory=Counter)
    refusals: int = 0
    peak: int = 0
    reported: Pressure = Pressure.NONE
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


def judge_reading(memory: HeldMemory) -> ReadOn | StopReading:
    """Return whether more bytes of bodies may be read from callers.

    Examples:
        >>> memory = HeldMemory(1000)
        >>> hold(memory, Holding((0, 1)), HeldKind.BODY, 500)
        >>> judge_reading(memory)
        StopReading()
    """
    return ReadOn() if count_free_bytes(memory) else StopReading()


def count_free_bytes(memory: HeldMemory) -> int:
    """Return how many bytes may be read before reading stops; one or more without a bound."""
    if memory.bound is None:
        return 1
    return max(int(memory.bound * STOP_FRACTION) - memory.total, 0)


def judge_request(memory: HeldMemory, urgency: Urgency) -> Accept | Refuse:
    """Return whether a request that hasn't been sent is served.

    What less urgent requests hold doesn't count below the bound, so that these are refused first.

    Examples:
        >>> memory = HeldMemory(1000)
        >>> hold(memory, Holding((0, 2)), HeldKind.UNSENT, 800)
        >>> judge_request(memory, (0, 1))
        Accept()
        >>> judge_request(memory, (0, 2))
        Refuse()
    """
    if memory.bound is None or memory.total <= memory.bound * REFUSE_FRACTION:
        return Accept()
    counted = memory.total
    if counted < memory.bound:
        counted -= sum(size for other, size in memory.by_urgency.items() if other > urgency)
        if counted <= memory.bound * REFUSE_FRACTION:
            return Accept()
    return Refuse()


def note_refusal(memory: HeldMemory) -> timedelta:
    """Count a refused request and return its retry time; callers don't return together."""
    memory.refusals += 1
    return MIN_RETRY_DELAY + RETRY_SPREAD * (memory.refusals * GOLDEN_RATIO % 1.0)


def find_pressure(memory: HeldMemory, size: int) -> Pressure:
    """Return the pressure with this many bytes held."""
    match memory.bound:
        case None:
            return Pressure.NONE
        case bound if size > bound * REFUSE_FRACTION:
            return Pressure.REFUSING
        case bound if size >= int(bound * STOP_FRACTION):
            return Pressure.READING_STOPPED
        case _:
            return Pressure.NONE


def take_pressure_change(memory: HeldMemory) -> Pressure | None:
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
