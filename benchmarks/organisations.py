"""Measures the time and memory of decoding a configuration with organisations.

Usage: python -m benchmarks.organisations ORGANISATIONS KEYS
"""

import gc
import json
import sys
import time
import tracemalloc

from camphorspread.platform.routing_codec import decode_table
from camphorspread.version.organisations import OrganisationTable

REPEATS = 20
LOOKUPS = 100_000
ROUTE_COUNT, SERVICE_COUNT = 40, 8


def make_configuration(organisations: int, keys: int) -> str:
    """Return a configuration whose keys are divided evenly among its organisations."""
    services = [{"name": f"service-{number}"} for number in range(SERVICE_COUNT)]
    routes = [
        {
            "name": f"route-{number}",
            "host": f"host-{number}.example",
            "pathPrefix": "/",
            "kind": "safe",
            "timeoutMs": 2000,
            "service": f"service-{number % SERVICE_COUNT}",
        }
        for number in range(ROUTE_COUNT)
    ]
    tenants = [
        {
            "name": f"organisation-{number}",
            "apiKeys": [f"k{key:040x}" for key in range(number, keys, organisations)],
            "priority": number % 3,
            "ratePerS": 20.0,
            "burst": 10,
            "allowedRegions": [],
        }
        for number in range(organisations)
    ]
    return json.dumps({"version": "r1", "routes": routes, "services": services, "tenants": tenants})


def measure(organisations: int, keys: int) -> None:
    """Print the time and memory of decoding, and the time to find a key."""
    text = make_configuration(organisations, keys)
    spent = []
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        build(text)
        spent.append(time.process_time() - started)
    gc.collect()
    tracemalloc.start()
    table = build(text)
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    wanted = [f"k{number * 7919 % max(keys, 1):040x}" for number in range(LOOKUPS)]
    started = time.process_time()
    for key in wanted:
        table.find_by_key(key)
    lookup_s = (time.process_time() - started) / LOOKUPS
    spent.sort()
    print(
        f"{organisations} organisations {keys} keys: document {len(text) / 1e6:.2f} MB, build "
        f"{spent[REPEATS // 2] * 1000:.1f} ms median, {spent[-1] * 1000:.1f} ms longest of "
        f"{REPEATS}, holds {held / 1e6:.2f} MB, peak {peak / 1e6:.2f} MB, finds a key in "
        f"{lookup_s * 1e6:.2f} us",
        flush=True,
    )


def build(text: str) -> OrganisationTable:
    """Decode a configuration and build the index of keys."""
    table = decode_table(text).unwrap().organisations
    table.find_by_key("")
    return table


if __name__ == "__main__":
    measure(int(sys.argv[1]), int(sys.argv[2]))
