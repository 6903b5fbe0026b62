"""Measures the processor time and the bytes of a quota renewal at the leader, without HTTP.

Usage: python -m benchmarks.quota_allocation VMS ORGANISATIONS PER_VM LOAD

PER_VM is the number of organisations in the renewal of a VM, LOAD the demand as a fraction of the
limits. All VMs renew three times; the last round is measured.
"""

import json
import random
import sys
import time
from datetime import timedelta

from camphorspread.process.quota_allocator import (
    QuotaAllocator,
    begin_term,
    observe_limits,
    renew_quotas,
)
from camphorspread.process.quota_codec import (
    decode_quota_request,
    encode_grants,
    encode_quota_request,
)
from camphorspread.process.quota_renewal import find_interval
from camphorspread.process.quota_shares import QuotaNeed, QuotaRequest
from camphorspread.version.organisations import Organisation, OrganisationTable
from camphorspread.version.quota_total import QuotaRules

ROUNDS = 3
RATE = 100.0


def measure(vms: int, organisations: int, per_vm: int, load: float) -> None:
    """Print the time of a renewal, its bytes, and the load of the leader by all VMs."""
    rng = random.Random(1)
    names = [f"organisation-{number}" for number in range(organisations)]
    table = OrganisationTable(tuple(Organisation(name, rate=RATE) for name in names))
    allocator = QuotaAllocator(QuotaRules())
    observe_limits(allocator, table, 1)
    chosen = [rng.sample(names, per_vm) for _ in range(vms)]
    holders = vms * per_vm / organisations
    demand = max(round(load * RATE * 5 / holders), 1)
    held: list[dict[str, int]] = [{} for _ in range(vms)]
    interval = find_interval(vms)
    now = timedelta(seconds=1)
    begin_term(allocator, 1, {f"vm-{number}": now for number in range(vms)}, now)
    request_bytes = response_bytes = 0
    spent = 0.0
    for turn in range(1, ROUNDS + 1):
        for vm in range(vms):
            now += interval / vms
            needs = {
                name: QuotaNeed(demand, demand, demand // 2, held[vm].get(name, 0))
                for name in chosen[vm]
            }
            request = QuotaRequest(f"front-region-{vm}", vm, turn, now, needs)
            text = json.dumps(encode_quota_request(request, 1), separators=(",", ":"))
            started = time.process_time()
            grants = renew_quotas(allocator, decode_quota_request(json.loads(text)), now)
            answer = json.dumps(encode_grants(turn, 1, grants), separators=(",", ":"))
            if turn == ROUNDS:
                spent += time.process_time() - started
                request_bytes += len(text)
                response_bytes += len(answer)
            held[vm] = {name: grant.share for name, grant in grants.items()}
    renewal_s = spent / vms
    per_s = vms / interval.total_seconds()
    print(
        f"{vms} VMs, {organisations} organisations, {per_vm} at a VM, load {load:g}: "
        f"{renewal_s * 1e6:.0f} us a renewal, request {request_bytes // vms} and response "
        f"{response_bytes // vms} bytes, {per_s:.0f} renewals a second, "
        f"{renewal_s * per_s:.3f} of a core, {len(grants)} grants",
        flush=True,
    )


if __name__ == "__main__":
    measure(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
