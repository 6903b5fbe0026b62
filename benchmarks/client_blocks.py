"""Measures build, lookup and merge times of the client block table at a given size.

Usage: python benchmarks/client_blocks.py BLOCKS [SEED]
"""

import json
import random
import resource
import sys
import time
from collections.abc import Iterator

from camphorspread.process.client_blocks import (
    Block,
    build_table,
    find_site,
    merge_step,
    needs_merge,
    set_block,
)

LOOKUPS = 50_000
CHANGES = 10_000
SITES = 150
SHORTEST_PREFIX, LONGEST_PREFIX = 12, 24


def main(blocks: int, seed: int) -> None:
    """Build a table, search and change it, and print the figures as JSON."""
    rng = random.Random(seed)
    before_mb = read_resident_mb()
    started = time.process_time()
    table = build_table(generate_blocks(blocks, rng))
    built = time.process_time()
    resident_mb = read_resident_mb()
    addresses = [".".join(str(rng.randrange(256)) for _ in range(4)) for _ in range(LOOKUPS)]
    lookup_start = time.process_time()
    for address in addresses:
        find_site(table, address)
    lookup_end = time.process_time()
    steps = [step for _ in range(CHANGES) for step in change_block(table, rng)]
    result = {
        "blocks": blocks,
        "seed": seed,
        "build_cpu_s": round(built - started, 2),
        "resident_before_mb": round(before_mb, 1),
        "resident_mb": round(resident_mb, 1),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        "lookup_us": round((lookup_end - lookup_start) / LOOKUPS * 1e6, 2),
        "merge_steps": len(steps),
        "longest_merge_step_ms": round(max(steps, default=0) * 1000, 2),
    }
    print(json.dumps(result))


def generate_blocks(count: int, rng: random.Random) -> Iterator[tuple[Block, int]]:
    """Yield random IPv4 blocks, each prefix length twice as often as the next shorter one."""
    lengths = list(range(SHORTEST_PREFIX, LONGEST_PREFIX + 1))
    weights = [1 << (length - SHORTEST_PREFIX) for length in lengths]
    for _ in range(count):
        length = rng.choices(lengths, weights=weights)[0]
        yield Block(32, rng.getrandbits(length) << (32 - length), length), rng.randrange(SITES)


def change_block(table, rng: random.Random) -> list[float]:
    """Change one block and return the CPU seconds of each merge step that follows."""
    set_block(table, Block(32, rng.getrandbits(24) << 8, 24), rng.randrange(SITES))
    steps = []
    while needs_merge(table):
        start = time.process_time()
        merge_step(table)
        steps.append(time.process_time() - start)
    return steps


def read_resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1024 / 1024


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1)
