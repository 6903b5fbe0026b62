"""Step controller for traffic shifts between regions.

For each service and home region it decides which fraction of the client blocks is sent to other
regions. All entry VMs compute the fraction independently from the same region summaries. Unlike an
absolute amount, a fraction stays the same however many VMs apply it.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.request.reasons import Reason
from camphorspread.version.catalogue import ServiceEntry

__all__ = ["Move", "RegionLoad", "ShiftPlan", "ShiftState", "step_shift"]

# Utilisation of the slots of a region. Above the high one, traffic is shifted away until the target
# is reached, which leaves room for bursts.
HIGH_UTILISATION = 0.85
TARGET_UTILISATION = 0.70
FULL_UTILISATION = 0.95
# Differences below the dead band are measurement noise.
DEAD_BAND = 0.05
# A step of a tenth lets the cache of the receiving region warm up between steps.
MAX_STEP = 0.10
# Smaller steps aren't worth moving callers for.
MIN_STEP = 0.01
MIN_FRACTION = 0.001
# Summaries are sent once a second and relayed by two delegates.
MEASUREMENT_LAG = timedelta(seconds=2)
STALE_AFTER = timedelta(seconds=3)
MAX_HOLD_TIME = timedelta(seconds=10)


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
    """A fraction of the client blocks of a home region that is sent to another region."""

    target: str
    fraction: float
    reason: Reason


@attrs.define(eq=False)
class ShiftState:
    """Moves of one service and home region.

    Attributes:
        moves: Current moves by target region.
        last_step: When the last step was decided, or None.
        arrived_fraction: The fraction before the last step, which all callers follow by now.
    """

    moves: dict[str, Move] = attrs.field(factory=dict)
    last_step: timedelta | None = None
    arrived_fraction: float = 0.0

    @property
    def fraction(self) -> float:
        """The fraction of the home region's client blocks that is sent to other regions."""
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

    A step is decided only after the last one has taken effect, that is, after one lookup
    time-to-live plus the lag of the measurements. Earlier, it would count the same excess twice.

    Args:
        state: Moves of the service and home region; updated.
        entry: Catalogue entry of the service.
        home: Load of the home region.
        others: Load of the other regions.
        now: Current instant.
        may_increase: False if the catalogue lease has ended.
    """
    in_transit = is_in_transit(state, entry, now)
    if not in_transit:
        state.arrived_fraction = state.fraction
    reachable = {load.region: load for load in others if not load.is_lost and load.slots}
    drop_lost_targets(state, reachable)
    if home.is_lost:
        # An isolated VM sees all others as lost, which says nothing about their regions.
        if may_increase:
            distribute_lost_region(state, reachable, now)
        return
    if not home.slots:
        # Lookups already avoid VMs without endpoints, and a starting fleet has none for a moment.
        return
    if enforce_cap(state, entry, home, now) or in_transit:
        return
    target = target_fraction(state, home)
    if target is None:
        return
    difference = target - state.fraction
    if difference > 0 and may_increase:
        increase_moves(state, entry, home, reachable, difference, now)
    elif difference < 0:
        decrease_moves(state, -difference, now)


def is_in_transit(state: ShiftState, entry: ServiceEntry, now: timedelta) -> bool:
    """Return True if the measurements may not reflect the last step yet."""
    if state.last_step is None:
        return False
    return now - state.last_step < entry.lookup_ttl + MEASUREMENT_LAG


def drop_lost_targets(state: ShiftState, reachable: dict[str, RegionLoad]) -> None:
    """Remove moves to regions that can't serve; their client blocks return to the home region."""
    for target in [target for target in state.moves if target not in reachable]:
        del state.moves[target]


def distribute_lost_region(
    state: ShiftState, reachable: dict[str, RegionLoad], now: timedelta
) -> None:
    """Send all client blocks of a lost region to the others, in proportion to their slots."""
    slots = sum(load.slots for load in reachable.values())
    state.moves = {
        region: Move(region, load.slots / slots, Reason.SHIFTED_FOR_LOSS)
        for region, load in reachable.items()
    }
    state.last_step = now


def enforce_cap(state: ShiftState, entry: ServiceEntry, home: RegionLoad, now: timedelta) -> bool:
    """Reduce the moves to the shift cap immediately; return True if they changed."""
    allowed = max_allowed_fraction(state, entry, home)
    if state.fraction <= allowed:
        return False
    scale_moves(state, allowed / state.fraction)
    state.last_step = now
    return True


def max_allowed_fraction(state: ShiftState, entry: ServiceEntry, home: RegionLoad) -> float:
    """Return the fraction whose request rate equals the shift cap.

    Callers that were moved no longer arrive at home, so the home region's own rate is scaled up.
    If nearly all are moved, the total rate can't be estimated from the remaining one; the owners of
    the slots enforce the cap in any case.
    """
    remaining = 1 - state.arrived_fraction
    if home.offered_per_second <= 0 or remaining < MIN_STEP:
        return 1.0
    total = home.offered_per_second / remaining
    return min(entry.shift_cap_per_second / total, 1.0)


def target_fraction(state: ShiftState, home: RegionLoad) -> float | None:
    """Return the fraction that brings the home region to its target, or None to hold."""
    if home.age > MAX_HOLD_TIME:
        return 0.0
    if home.age > STALE_AFTER:
        return None
    if home.is_drained:
        return 1.0
    load = estimate_home_load(state, home)
    if load <= 0:
        return 0.0
    if not state.moves and home.in_use <= HIGH_UTILISATION * home.slots:
        return 0.0
    fraction = max(1 - TARGET_UTILISATION * home.slots / load, 0.0)
    if abs(fraction - state.fraction) < DEAD_BAND and fraction > 0:
        return None
    return fraction


def estimate_home_load(state: ShiftState, home: RegionLoad) -> float:
    """Return the slots that all callers of the home region would use if none were moved."""
    remaining = 1 - state.fraction
    return home.in_use / remaining if remaining > 0 else float(home.in_use)


def increase_moves(
    state: ShiftState,
    entry: ServiceEntry,
    home: RegionLoad,
    reachable: dict[str, RegionLoad],
    difference: float,
    now: timedelta,
) -> None:
    """Move at most one step to the regions with spare slots, the nearest first."""
    allowed = max_allowed_fraction(state, entry, home) - state.fraction
    remaining = min(difference, MAX_STEP, allowed)
    if remaining < MIN_STEP:
        return
    reason = Reason.SHIFTED_FOR_DRAIN if home.is_drained else Reason.SHIFTED_FOR_LOAD
    candidates = [item for item in reachable.values() if can_receive(item)]
    for target in sorted(candidates, key=lambda item: (item.delay_ms, -spare_slots(item))):
        known = state.moves.get(target.region)
        moved = known.fraction if known else 0.0
        load = estimate_total_load(state, home, target, moved)
        increase = min(remaining, spare_slots(target) / load) if load > 0 else remaining
        if increase < MIN_STEP:
            continue
        fraction = increase + moved
        state.moves[target.region] = Move(target.region, fraction, reason)
        state.last_step = now
        remaining -= increase


def estimate_total_load(
    state: ShiftState, home: RegionLoad, target: RegionLoad, moved: float
) -> float:
    """Return the slots that all callers of the home region would use in the target region.

    A full home region shows only the load that it serves. Then the load of the target region gives
    a second estimate, which is too high by the target's own callers and so errs on the safe side.
    """
    load = estimate_home_load(state, home)
    if moved > 0 and home.in_use >= FULL_UTILISATION * home.slots:
        return max(load, target.in_use / moved)
    return load


def can_receive(load: RegionLoad) -> bool:
    """Return True if a region may receive more traffic: recently measured and not drained."""
    return load.age <= STALE_AFTER and not load.is_drained


def spare_slots(load: RegionLoad) -> float:
    """Return the slots that a region can use before it reaches its own target."""
    return max(TARGET_UTILISATION * load.slots - load.in_use, 0.0)


def decrease_moves(state: ShiftState, difference: float, now: timedelta) -> None:
    """Move at most one step back to the home region."""
    fraction = state.fraction
    if fraction <= 0:
        return
    scale_moves(state, max(fraction - min(difference, MAX_STEP), 0.0) / fraction)
    state.last_step = now


def scale_moves(state: ShiftState, factor: float) -> None:
    """Multiply all moves by a factor and drop those that become negligible."""
    state.moves = {
        target: attrs.evolve(move, fraction=move.fraction * factor)
        for target, move in state.moves.items()
        if move.fraction * factor > MIN_FRACTION
    }
