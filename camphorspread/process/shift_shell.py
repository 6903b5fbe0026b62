"""Runs the shift controllers of an entry process, one for each service and home region."""

import asyncio
from datetime import timedelta

from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.region_load import add_delays, group_live_vms, sum_region_loads
from camphorspread.process.shift import RegionLoad, ShiftState, step_shift
from camphorspread.version.catalogue import Catalogue, ServiceEntry

__all__ = ["run_shifts", "step_all_shifts"]

STEP_INTERVAL = timedelta(seconds=1)


async def run_shifts(state: EntryState) -> None:
    """Step the shift controllers once a second until cancelled."""
    while True:
        await asyncio.sleep(STEP_INTERVAL.total_seconds())
        if state.catalogue is not None:
            step_all_shifts(state, state.catalogue)


def step_all_shifts(state: EntryState, catalogue: Catalogue) -> None:
    """Decide the next step of each service and home region."""
    now = state.clock.monotonic()
    live_vms = group_live_vms(catalogue, state.fleet)
    for versioned in catalogue.services.values():
        loads = sum_region_loads(catalogue, live_vms, versioned.entry.name, now)
        for home in catalogue.regions:
            step_one_shift(state, versioned.entry, home, add_delays(catalogue, loads, home), now)


def step_one_shift(
    state: EntryState,
    entry: ServiceEntry,
    home: str,
    loads: dict[str, RegionLoad],
    now: timedelta,
) -> None:
    """Decide the next step of one service and home region, and log changed moves."""
    shift = state.shift_plan.states.setdefault((entry.name, home), ShiftState())
    before = dict(shift.moves)
    others = [load for region, load in loads.items() if region != home]
    is_lease_valid = now < state.catalogue_lease_end
    step_shift(shift, entry, loads[home], others, now, is_lease_valid)
    if shift.moves != before:
        moves = {target: round(move.fraction, 3) for target, move in sorted(shift.moves.items())}
        state.log.write(Event.SHIFT_CHANGED, service=entry.name, region=home, moves=moves)
