"""Measures the size of updates of the routes and the processor time that they take.

Usage: python -m benchmarks.routing_updates ROUTES...
"""

import json
import random
import string
import sys
import time
from collections.abc import Callable

from camphorspread.platform.routing_codec import decode_table
from camphorspread.version.catalogue_update import CatalogueUpdate, decode_update, encode_update
from camphorspread.version.routing_changes import apply_routing_changes, diff_tables

ROUNDS = 5
NAME_LENGTH = 7


def make_document(revision: int, routes: int, weight: int) -> str:
    """Return a document with random names, in which one route has two services."""
    rng = random.Random(1)

    def name() -> str:
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=NAME_LENGTH))

    values = [
        {
            "name": f"r-{name()}",
            "host": f"{name()}.example",
            "pathPrefix": f"/{name()}/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": "first",
            "maxAttempts": 2,
            "sessionAffinity": True,
            "allowedRegions": [],
        }
        for _ in range(routes)
    ]
    parts = [{"service": "first", "weight": weight}, {"service": "second", "weight": 10}]
    values[0]["trafficSplit"] = parts
    services = [{"name": item, "maxConnections": 360} for item in ("first", "second")]
    return json.dumps({"version": f"r{revision}", "routes": values, "services": services})


def measure(work: Callable[[], object]) -> tuple[object, float]:
    """Return a result and the median processor time for it, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        result = work()
        times.append(time.process_time() - started)
    return result, sorted(times)[ROUNDS // 2] * 1000


def measure_routes(routes: int) -> None:
    """Print the figures for one number of routes."""
    first = make_document(1, routes, 90)
    base, decode_ms = measure(lambda: decode_table(first).unwrap())
    table = decode_table(make_document(2, routes, 50)).unwrap()
    whole, whole_ms = measure(lambda: diff_tables(None, base, "", "1.x"))
    changes, changes_ms = measure(lambda: diff_tables(base, table, "1.x", "2.x"))
    encoded, encode_ms = measure(lambda: encode_update(CatalogueUpdate(1, (), whole)))
    small, small_ms = measure(lambda: encode_update(CatalogueUpdate(2, (), changes)))
    _, apply_ms = measure(lambda: apply_routing_changes(None, decode_update(encoded.data).routing))
    _, apply_small_ms = measure(
        lambda: apply_routing_changes(base, decode_update(small.data).routing)
    )
    print(f"{routes} routes, {len(first)} characters, decoded in {decode_ms:.1f} ms")
    print(
        f"  whole table: {len(encoded.data)} bytes, compared in {whole_ms:.1f} ms, encoded in"
        f" {encode_ms:.1f} ms, decoded and applied in {apply_ms:.1f} ms"
    )
    print(
        f"  one weight: {len(small.data)} bytes, compared in {changes_ms:.1f} ms, encoded in"
        f" {small_ms:.1f} ms, decoded and applied in {apply_small_ms:.1f} ms"
    )


def main() -> None:
    """Run the benchmark."""
    for text in sys.argv[1:]:
        measure_routes(int(text))


if __name__ == "__main__":
    main()
