"""The step controller of traffic shifts between regions.

For each service and home region it decides which fraction of the client blocks is sent to other
regions. All entry VMs compute the fraction from the same region summaries, and a fraction, unlike
an amount, doesn't add up over the VMs that apply it.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.request.reasons import Reason
from camphorspread.version.catalogue import ServiceEntry

__all__ = ["Move", "RegionLoad", "ShiftPlan", "ShiftState", "step_shift"]

# Above the high mark a region gives traffic away, down to the target, which leaves room for bursts.
HIGH_MARK = 0.85
TARGET_MARK = 0.70
FULL_MARK = 0.95
# Differences below the dead band are noise of the measurement.
DEAD_BAND = 0.05
# A step of a tenth lets the cache of the receiving region warm up between steps.
MAX_STEP = 0.10
# Smaller steps aren't worth the callers that they move.
MIN_STEP = 0.01
MIN_FRACTION = 0.001
# Summaries are sent once a second and cross two delegates.
MEASUREMENT_LAG = timedelta(seconds=2)
STALE_AFTER = timedelta(seconds=3)
HOLD_LIMIT = timedelta(seconds=10)


@attrs.frozen
class RegionLoad:
    """Load of one service in one region.

    Attributes:
        region: Name of the region.
        slots: Slots of live endpoints.
        in_use: Slots in use.
        offered_per_second: Requests of callers that arrived at its entry VMs.
        age: Time since it was measured.
        is_lost: True if no entry VM of the region is alive.
        is_drained: True if a drain entry names the region.
        delay_ms: One-way delay from the home region.
    """

    region: str
    slots: int
    in_use: int
    offered_per_second: float = 0.0
    age: timedelta = timedelta(0)
    is_lost: bool = False
    is_drained: bool = False
    delay_ms: float = 0.0


@attrs.frozen
class Move:
    """A fraction of the blocks of a home region that is sent to another region."""

    target: str
    fraction: float
    reason: Reason


@attrs.define(eq=False)
class ShiftState:
    """Moves of one service and home region.

    Attributes:
        moves: Current moves by target region.
        last_step: When the last step was decided, or None.
        arrived: The fraction before the last step, which has arrived for certain.
    """

    moves: dict[str, Move] = attrs.field(factory=dict)
    last_step: timedelta | None = None
    arrived: float = 0.0

    @property
    def fraction(self) -> float:
        """The fraction of the home region's blocks that is sent elsewhere."""
        return sum(move.fraction for move in self.moves.values())


@attrs.define(eq=False)
class ShiftPlan:
    """Shift states by service and home region."""

    states: dict[tuple[str, str], ShiftState] = attrs.field(factory=dict)

    def moves(self, service: str, home: str) -> list[Move]:
        """Return the moves of a service and home region, sorted by target."""
        state = self.states.get((service, home))
        if state is None:
            return []
        return [state.moves[target] for target in sorted(state.moves)]


def step_shift(
    state: ShiftState,
    entry: ServiceEntry,
    home: RegionLoad,
    others: Iterable[RegionLoad],
    now: timedelta,
    may_increase: bool,
) -> None:
    """Decide the next step for one service and home region.

    A step is decided only after the last one has arrived, which takes one lookup time-to-live and
    the lag of the measurements. Steps within that time would count the same excess twice.

    Args:
        state: Moves of the service and home region; updated.
        entry: Catalogue entry of the service.
        home: Load of the home region.
        others: Load of the other regions.
        now: Current instant.
        may_increase: False while the catalogue lease has ended.
    """
    in_transit = is_in_transit(state, entry, now)
    if not in_transit:
        state.arrived = state.fraction
    reachable = {load.region: load for load in others if not load.is_lost and load.slots}
    drop_lost_targets(state, reachable)
    if home.is_lost:
        # An isolated VM takes all others for lost; what it sees says nothing of their regions.
        if may_increase:
            spread_lost_region(state, reachable, now)
        return
    if not home.slots:
        # Lookups already avoid VMs without endpoints; a fleet that starts has none for a moment.
        return
    if limit_to_cap(state, entry, home, now) or in_transit:
        return
    wanted = find_wanted_fraction(state, home)
    if wanted is None:
        return
    difference = wanted - state.fraction
    if difference > 0 and may_increase:
        increase(state, entry, home, reachable, difference, now)
    elif difference < 0:
        decrease(state, -difference, now)


def is_in_transit(state: ShiftState, entry: ServiceEntry, now: timedelta) -> bool:
    """Return True if the last step may not show in the measurements yet."""
    if state.last_step is None:
        return False
    return now - state.last_step < entry.lookup_ttl + MEASUREMENT_LAG


def drop_lost_targets(state: ShiftState, reachable: dict[str, RegionLoad]) -> None:
    """Remove moves to regions that can't serve; their blocks go back to the home region."""
    for target in [target for target in state.moves if target not in reachable]:
        del state.moves[target]


def spread_lost_region(state: ShiftState, reachable: dict[str, RegionLoad], now: timedelta) -> None:
    """Send all blocks of a lost region to the others, in proportion to their slots."""
    slots = sum(load.slots for load in reachable.values())
    state.moves = {
        region: Move(region, load.slots / slots, Reason.SHIFTED_FOR_LOSS)
        for region, load in reachable.items()
    }
    state.last_step = now


def limit_to_cap(state: ShiftState, entry: ServiceEntry, home: RegionLoad, now: timedelta) -> bool:
    """Reduce the moves at once to what the cap allows; return True if that changed them."""
    allowed = find_allowed_fraction(state, entry, home)
    if state.fraction <= allowed:
        return False
    scale(state, allowed / state.fraction)
    state.last_step = now
    return True


def find_allowed_fraction(state: ShiftState, entry: ServiceEntry, home: RegionLoad) -> float:
    """Return the fraction whose requests a second equal the cap.

    Callers that were moved no longer arrive at home, so the home region's own rate is scaled up.
    When nearly all are moved, their rate can't be told from what is left; the owners of the slots
    enforce the cap in any case.
    """
    remaining = 1 - state.arrived
    if home.offered_per_second <= 0 or remaining < MIN_STEP:
        return 1.0
    total = home.offered_per_second / remaining
    return min(entry.shift_cap_per_second / total, 1.0)


def find_wanted_fraction(state: ShiftState, home: RegionLoad) -> float | None:
    """Return the fraction that brings the home region to its target, or None to hold."""
    if home.age > HOLD_LIMIT:
        return 0.0
    if home.age > STALE_AFTER:
        return None
    if home.is_drained:
        return 1.0
    load = estimate_home_load(state, home)
    if load <= 0:
        return 0.0
    if not state.moves and home.in_use <= HIGH_MARK * home.slots:
        return 0.0
    wanted = max(1 - TARGET_MARK * home.slots / load, 0.0)
    if abs(wanted - state.fraction) < DEAD_BAND and wanted > 0:
        return None
    return wanted


def estimate_home_load(state: ShiftState, home: RegionLoad) -> float:
    """Return the slots that all callers of the home region would use if none were moved."""
    remaining = 1 - state.fraction
    return home.in_use / remaining if remaining > 0 else float(home.in_use)


def increase(
    state: ShiftState,
    entry: ServiceEntry,
    home: RegionLoad,
    reachable: dict[str, RegionLoad],
    difference: float,
    now: timedelta,
) -> None:
    """Move at most one step to the regions with room, the nearest first."""
    allowed = find_allowed_fraction(state, entry, home) - state.fraction
    wanted = min(difference, MAX_STEP, allowed)
    if wanted < MIN_STEP:
        return
    reason = Reason.SHIFTED_FOR_DRAIN if home.is_drained else Reason.SHIFTED_FOR_LOAD
    candidates = [item for item in reachable.values() if is_receiver(item)]
    for target in sorted(candidates, key=lambda item: (item.delay_ms, -find_room(item))):
        known = state.moves.get(target.region)
        moved = known.fraction if known else 0.0
        load = estimate_moved_load(state, home, target, moved)
        part = min(wanted, find_room(target) / load) if load > 0 else wanted
        if part < MIN_STEP:
            continue
        fraction = part + moved
        state.moves[target.region] = Move(target.region, fraction, reason)
        state.last_step = now
        wanted -= part


def estimate_moved_load(
    state: ShiftState, home: RegionLoad, target: RegionLoad, moved: float
) -> float:
    """Return the slots that all callers of the home region would use in the target region.

    A full home region shows only the part of its load that it serves. Then the load of the target
    region gives a second estimate, which errs on the safe side by the target's own callers.
    """
    load = estimate_home_load(state, home)
    if moved > 0 and home.in_use >= FULL_MARK * home.slots:
        return max(load, target.in_use / moved)
    return load


def is_receiver(load: RegionLoad) -> bool:
    """Return True if a region may receive more traffic: measured lately and not drained."""
    return load.age <= STALE_AFTER and not load.is_drained


def find_room(load: RegionLoad) -> float:
    """Return the slots that a region can take before it reaches its own target."""
    return max(TARGET_MARK * load.slots - load.in_use, 0.0)


def decrease(state: ShiftState, difference: float, now: timedelta) -> None:
    """Bring at most one step back to the home region."""
    fraction = state.fraction
    if fraction <= 0:
        return
    scale(state, max(fraction - min(difference, MAX_STEP), 0.0) / fraction)
    state.last_step = now


def scale(state: ShiftState, factor: float) -> None:
    """Multiply all moves by a factor and drop those that become nothing."""
    state.moves = {
        target: attrs.evolve(move, fraction=move.fraction * factor)
        for target, move in state.moves.items()
        if move.fraction * factor > MIN_FRACTION
    }
