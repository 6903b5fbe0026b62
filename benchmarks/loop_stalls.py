"""Measures the longest tasks that block the event loop of an entry process.

Each task is repeated at the given size, without any network, in a process that does nothing else.
The figures are the median and the longest wall-clock time of one call.

    python benchmarks/loop_stalls.py [--services 300] [--blocks 50000] [--repeats 10]
"""

import argparse
import gc
import json
import random
import statistics
import sys
import time
from collections.abc import Callable, Iterator
from datetime import timedelta
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.client_blocks import generate_blocks
from camphorspread.process.client_blocks import (
    Block,
    build_table,
    merge_step,
    needs_merge,
    set_block,
)
from camphorspread.process.endpoints import EndpointRegistry
from camphorspread.process.metrics import (
    Metrics,
    RequestKind,
    ServedRequest,
    format_metrics,
    record_attempt,
    record_request,
)
from camphorspread.process.report import make_report
from camphorspread.version.catalogue import (
    Catalogue,
    ServiceClass,
    ServiceEntry,
    Versioned,
)
from camphorspread.version.codec import decode_catalogue, encode

LIMIT_MS = 5
REQUESTS_PER_SERVICE = 200
BLOCK_CHANGES = 2000


def make_catalogue(services: int) -> Catalogue:
    """Return a catalogue with a number of services."""
    entries = (
        ServiceEntry(
            f"service-{number}", "bench", ServiceClass.INTERACTIVE, 10, 100, ("POST /orders",)
        )
        for number in range(services)
    )
    return Catalogue(
        version=services, services={entry.name: Versioned(entry, 1) for entry in entries}
    )


def make_metrics(catalogue: Catalogue, rng: random.Random) -> Metrics:
    """Return metrics with histograms of reads and of other requests for each service."""
    metrics = Metrics()
    for name in catalogue.services:
        for number in range(REQUESTS_PER_SERVICE):
            kind = RequestKind.READ if number % 2 else RequestKind.OTHER
            spent = timedelta(milliseconds=rng.lognormvariate(3, 1))
            promised = timedelta(seconds=1)
            metrics.start_request(name)
            served = ServedRequest(name, kind, spent, promised, True, "", "same_region", 0, 9000)
            record_request(metrics, served)
            record_attempt(metrics, name, kind, spent)
    return metrics


def time_calls(function: Callable[[], object], repeats: int) -> Iterator[float]:
    """Call a function repeatedly and yield the milliseconds of each call."""
    for _ in range(repeats):
        started = time.perf_counter()
        function()
        yield (time.perf_counter() - started) * 1000


def time_merges(blocks: int, rng: random.Random) -> Iterator[float]:
    """Yield the milliseconds of each step that merges changed client blocks."""
    table = build_table(generate_blocks(blocks, rng))
    for _ in range(BLOCK_CHANGES):
        set_block(table, Block(32, rng.getrandbits(24) << 8, 24), 1)
        while needs_merge(table):
            yield from time_calls(lambda: merge_step(table), 1)


def measure(services: int, blocks: int, repeats: int) -> None:
    """Time each task and print its figures."""
    rng = random.Random(1)
    catalogue = make_catalogue(services)
    body = json.dumps({"catalogue": encode(catalogue)})
    metrics = make_metrics(catalogue, rng)
    registry = EndpointRegistry()
    now = timedelta(hours=1)

    def report() -> str:
        made = make_report("vm", "zone", now, catalogue, metrics, registry, None, now)
        return json.dumps(made)

    tasks = {
        "parse JSON of a catalogue": time_calls(lambda: json.loads(body), repeats),
        "decode a catalogue": time_calls(
            lambda: decode_catalogue(json.loads(body)["catalogue"]), repeats
        ),
        "make the report": time_calls(report, repeats),
        "format the metrics page": time_calls(lambda: format_metrics(metrics, {}), repeats),
        "full garbage collection": time_calls(gc.collect, repeats),
        "merge step of client blocks": time_merges(blocks, rng),
    }
    for title, durations_ms in tasks.items():
        times = list(durations_ms)
        if not times:
            print(f"{title:28} did not run at this size")
            continue
        mark = "over the limit" if statistics.median(times) > LIMIT_MS else ""
        print(
            f"{title:28} median {statistics.median(times):8.2f} ms  longest {max(times):8.2f} ms",
            mark,
        )


def main() -> None:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--services", type=int, default=300)
    parser.add_argument("--blocks", type=int, default=50000)
    parser.add_argument("--repeats", type=int, default=10)
    arguments = parser.parse_args()
    measure(arguments.services, arguments.blocks, arguments.repeats)


if __name__ == "__main__":
    main()
