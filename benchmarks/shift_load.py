"""Measures a step of an entry process's shift controllers.

They decide once per second, for each service and home region, how much traffic is shifted to other
regions.

Usage: python -m benchmarks.shift_load SERVICES VMS...
"""

import io
import random
import sys
import time

import attrs

from benchmarks.control_load import REGION_COUNT, make_region, make_service, vm_name
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.process.clock import SystemClock
from camphorspread.process.entry_state import make_entry_state
from camphorspread.process.events import make_event_log
from camphorspread.process.fleet import FleetView, VmRecord
from camphorspread.process.settings import EntrySettings, EntryVmSettings, PlaceSettings
from camphorspread.process.shift_shell import step_all_shifts
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import apply_change

STEPS = 3
ADDRESS = Address("127.0.0.1", 1)


def measure(services: int, vms: int) -> None:
    """Run a few steps of the controllers and print the CPU time per step."""
    catalogue = Catalogue()
    changes = [make_region(number) for number in range(REGION_COUNT)]
    for change in changes + [make_service(number) for number in range(services)]:
        catalogue = apply_change(catalogue, change)
    place = PlaceSettings(vm_name(0), "zone-0-0", "region-0")
    own = EntryVmSettings(**attrs.asdict(place), callers=ADDRESS, peers=ADDRESS)
    settings = EntrySettings(place, *[ADDRESS] * 4, (), (own,), "", "")
    clock = SystemClock()
    log = make_event_log(place.vm, clock, io.StringIO())
    state = make_entry_state(settings, clock, TcpNetwork(), log, random.Random(1), b"")
    names = [item.entry.name for item in catalogue.services.values()]
    slots = dict.fromkeys(names[:4], 6)
    records = {
        name: VmRecord(
            name,
            f"zone-{vm % 21}",
            f"region-{vm % REGION_COUNT}",
            ADDRESS,
            ADDRESS,
            f"{vm:016x}",
            free_slots=slots,
            total_slots=slots,
            offered_per_second=dict.fromkeys(slots, 20),
            measured=clock.monotonic(),
        )
        for vm, name in ((number, vm_name(number)) for number in range(vms))
    }
    state.fleet = FleetView(place.vm, records)
    started = time.process_time()
    for _ in range(STEPS):
        step_all_shifts(state, catalogue)
    cpu_s = (time.process_time() - started) / STEPS
    print(f"{services:5d} services {vms:4d} VMs: {cpu_s * 1000:8.1f} ms CPU per step", flush=True)


if __name__ == "__main__":
    for number in map(int, sys.argv[2:]):
        measure(int(sys.argv[1]), number)
