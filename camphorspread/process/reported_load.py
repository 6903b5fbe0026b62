"""Measures the load of backend servers that an entry VM reports to the others."""

import math
from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.process.entry_vms import ServiceLoad
from camphorspread.process.instances import Instance, is_usable, list_owned_instances
from camphorspread.process.summary_partners import OBSERVERS_PER_REGION
from camphorspread.request.placement_board import PlacementBoard, RunTimes
from camphorspread.request.placement_queue import PlacementQueue
from camphorspread.request.server_limit import find_usable_slots
from camphorspread.request.service_totals import find_totals

__all__ = ["RegionLoads", "measure_loads", "measure_owned_loads", "measure_region_loads"]

# A large region has hundreds of servers, and summaries to other regions follow each other closely.
REGION_LOADS_TTL = timedelta(milliseconds=200)
# Mean run time that is reported before the first run was measured.
UNKNOWN_RUN_S = 0.3


@attrs.define(eq=False)
class RegionLoads:
    """Cached loads of the servers of a large region.

    Attributes:
        by_service: This VM's part of the load by service.
        valid_until: When they are to be measured again.
        revision: Revision of the registry at the measurement.
    """

    by_service: dict[str, ServiceLoad] = attrs.field(factory=dict)
    valid_until: timedelta = timedelta(0)
    revision: int = -1


def measure_loads(
    board: PlacementBoard, queue: PlacementQueue, cache: RegionLoads, now: timedelta
) -> dict[str, ServiceLoad]:
    """Return the load that this VM reports to VMs of other regions, by service.

    It is the load of its own servers. In a large region, of which a VM of another region sees few
    VMs, it is this VM's part of the load of all servers of the region.

    Args:
        board: State of servers and VMs.
        queue: Queued requests.
        cache: Loads of the region; updated in place.
        now: Current monotonic time.
    """
    if not board.is_large_region:
        return measure_owned_loads(board, queue, now)
    if now >= cache.valid_until or cache.revision != board.registry.revision:
        cache.by_service = measure_region_loads(board, queue, now)
        cache.valid_until = now + REGION_LOADS_TTL
        cache.revision = board.registry.revision
    return cache.by_service


def measure_owned_loads(
    board: PlacementBoard, queue: PlacementQueue, now: timedelta
) -> dict[str, ServiceLoad]:
    """Return the load of the servers that announce themselves to this VM, by service."""
    return sum_loads(board, queue, list_owned_instances(board.registry), 1, now)


def measure_region_loads(
    board: PlacementBoard, queue: PlacementQueue, now: timedelta
) -> dict[str, ServiceLoad]:
    """Return this VM's part of the load of all servers of its region, by service."""
    parts = min(board.sharers, OBSERVERS_PER_REGION)
    return sum_loads(board, queue, board.registry.instances.values(), parts, now)


def sum_loads(
    board: PlacementBoard,
    queue: PlacementQueue,
    instances: Iterable[Instance],
    parts: int,
    now: timedelta,
) -> dict[str, ServiceLoad]:
    """Return the loads of some servers by service, divided into equal parts."""
    slots: dict[str, int] = {}
    used: dict[str, int] = {}
    for item in instances:
        if not is_usable(item, board.evacuated_zones, now):
            continue
        service = item.report.service
        # A cold server has no capacity for requests of other VMs.
        is_cold = item.is_cold(now)
        slots[service] = slots.get(service, 0) + (0 if is_cold else item.report.slots)
        in_use = min(item.count_busy(now) + count_withheld_slots(board, item), item.report.slots)
        used[service] = used.get(service, 0) + (0 if is_cold else in_use)
    loads = {}
    for service, total in slots.items():
        # Other regions get the estimate that this one uses, or else each takes the others for free.
        estimated = int(total * find_totals(board, service, now).busy_fraction)
        part = math.ceil(total / parts)
        busy = math.ceil(max(used[service], estimated) / parts)
        queued = queue.count(service)
        free = max(part - busy - queued, 0)
        loads[service] = ServiceLoad(free, part, queued, mean_warm_run_s(board.run_times, service))
    return loads


def count_withheld_slots(board: PlacementBoard, item: Instance) -> int:
    """Return how many slots of a server its limit on the request rate leaves unused."""
    run_s = mean_warm_run_s(board.run_times, item.report.service)
    return item.report.slots - math.ceil(find_usable_slots(item, run_s))


def mean_warm_run_s(run_times: dict[tuple[str, str], RunTimes], service: str) -> float:
    """Return the mean time of warm runs over the routes of a service, in seconds."""
    times = [item.warm_s for (name, _), item in run_times.items() if name == service]
    return sum(times) / len(times) if times else UNKNOWN_RUN_S
