"""This VM's share of the slots of a service under scarce capacity.

Where many VMs send to the same servers, a server's load is seldom known, and its queue serves in
the order of arrival. Requests that wait there can't be overtaken by more urgent ones. A VM
therefore keeps those beyond its share in its own queue, which is ordered by priority.
"""

import math
import zlib
from datetime import timedelta
from functools import lru_cache

from camphorspread.request.placement_board import PlacementBoard, count_unseen_vms
from camphorspread.request.service_totals import find_totals

__all__ = ["estimate_vm_order_cost_s", "has_share_left", "is_share_limited"]

# Callers aren't spread evenly over the VMs, so that a VM may use more than an equal share. A factor
# of 1 left 5 percent of the slots unused at twice the capacity.
SHARE_FACTOR = 1.25
# Room for random arrivals, which vary by the square root of their mean. With 1, 3 percent of the
# requests were cut at 1.5 times the capacity of 26 VMs; with 0.25, as many were refused twice as
# with retry times that ignore the room.
VARIATION_FACTOR = 0.5
# Largest cost by which a VM prefers some servers to others that seem equal; less than that of a
# server with all slots in use.
VM_ORDER_COST_S = 0.01
MAX_ORDER_COSTS = 2048


def is_share_limited(board: PlacementBoard) -> bool:
    """Return True if this VM sends at most its share of the requests that servers can run."""
    return board.has_organisations and count_unseen_vms(board) > 0


def has_share_left(board: PlacementBoard, service: str, now: timedelta) -> bool:
    """Return True if this VM may send one more request to the servers of a service."""
    if not is_share_limited(board):
        return True
    slots = find_totals(board, service, now).slots
    equal = slots / (1 + count_unseen_vms(board))
    share = max(SHARE_FACTOR * equal + VARIATION_FACTOR * math.sqrt(equal), 1.0)
    own = sum(item.in_flight for item in board.registry.by_service.get(service, ()))
    return own < share


def estimate_vm_order_cost_s(board: PlacementBoard, server: str) -> float:
    """Return a cost that makes each VM prefer other servers, in seconds.

    While no server has reported its load, all seem equal, and without it all VMs would send to the
    same few servers.
    """
    return find_order_cost_s(board.vm, server) if is_share_limited(board) else 0.0


@lru_cache(maxsize=MAX_ORDER_COSTS)
def find_order_cost_s(vm: str, server: str) -> float:
    """Return the cost of a server for a VM; cached, as each decision goes over all servers."""
    return VM_ORDER_COST_S * zlib.crc32(f"{vm}/{server}".encode()) / 2**32
