"""Measures the CPU time of one share renewal at the leader, without its HTTP exchange.

Usage: python -m benchmarks.share_allocation SERVICES VMS...
"""

import json
import sys
import time
from datetime import timedelta

from benchmarks.control_load import REGION_COUNT, make_region, make_renewal, make_service
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import apply_change
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.share_allocator import (
    Allocator,
    observe_catalogue,
    observe_leadership,
    renew_shares,
)
from camphorspread.version.share_codec import decode_renewal, encode_amounts

RENEWALS = 60
INTERVAL = timedelta(seconds=0.5)


def measure(services: int, vms: int) -> None:
    """Let all VMs renew once, then measure some renewals of the second round."""
    catalogue = Catalogue()
    changes = [make_region(number) for number in range(REGION_COUNT)]
    for change in changes + [make_service(number) for number in range(services)]:
        catalogue = apply_change(catalogue, change)
    allocator, now = Allocator(), timedelta(seconds=1)
    view = ReplicaView(is_leader=True, term=1, lease_end=timedelta(hours=1))
    observe_catalogue(allocator, catalogue, now)
    observe_leadership(allocator, view, now)
    for vm in range(vms):
        # The first round runs before the leader may grant shares, which makes it cheap.
        renew_shares(allocator, decode_renewal(make_renewal(vm, 1, vm % REGION_COUNT)), now)
    now = allocator.ready
    for vm in range(vms):
        renew = decode_renewal(make_renewal(vm, 2, vm % REGION_COUNT))
        allocator.holders[renew.incarnation].last_request_at = now
    count = min(RENEWALS, vms)
    size = 0
    started = time.process_time()
    for vm in range(count):
        request = decode_renewal(make_renewal(vm, 2, vm % REGION_COUNT))
        amounts = renew_shares(allocator, request, now)
        size += len(json.dumps(encode_amounts(amounts or {}), separators=(",", ":")))
    cpu_s = (time.process_time() - started) / count
    print(
        f"{services:4d} services {vms:4d} VMs: {cpu_s * 1000:8.2f} ms CPU per renewal, "
        f"{2 * vms * cpu_s:8.2f} cores at 2 renewals/s per VM, grants {size // count} bytes",
        flush=True,
    )


if __name__ == "__main__":
    for number in map(int, sys.argv[2:]):
        measure(int(sys.argv[1]), number)
