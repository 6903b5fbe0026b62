"""Measures CPU time and memory of an entry process by catalogue size, without the HTTP exchange.

Usage: python -m benchmarks.catalogue_size ENTRIES

Each run measures one size, so that the resident memory belongs to that size.
"""

import gc
import json
import sys
import time
from datetime import timedelta

from benchmarks.client_blocks import read_resident_mb
from benchmarks.control_load import REGION_COUNT, make_region, make_service, vm_name
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import apply_change
from camphorspread.version.codec import (
    decode_catalogue,
    decode_deltas,
    encode,
    encode_deltas,
)
from camphorspread.version.delivery import Delta, apply_deltas
from camphorspread.version.shares import HeldShares, record_permanent_parts

ROUNDS = 20


def make_catalogue_text(entries: int) -> tuple[str, float]:
    """Return the JSON of a catalogue and the CPU seconds of its encoding."""
    catalogue = Catalogue()
    for change in [make_region(number) for number in range(REGION_COUNT)]:
        catalogue = apply_change(catalogue, change)
    for number in range(entries):
        catalogue = apply_change(catalogue, make_service(number))
    started = time.process_time()
    text = json.dumps(encode(catalogue), separators=(",", ":"))
    return text, time.process_time() - started


def main(entries: int) -> None:
    """Decode a catalogue, apply changes and print the figures as JSON."""
    text, encoded_s = make_catalogue_text(entries)
    gc.collect()
    before = read_resident_mb()
    started = time.process_time()
    catalogue = decode_catalogue(json.loads(text))
    decoded_s = time.process_time() - started
    held, now = HeldShares(), timedelta(seconds=1)
    record_permanent_parts(held, catalogue, "region-0", vm_name(0), now)
    gc.collect()
    resident = read_resident_mb()
    times = []
    size = 0
    for number in range(ROUNDS):
        delta = Delta(catalogue.version + 1, make_service(0, f"owner {number}"))
        delta_text = json.dumps(encode_deltas((delta,)), separators=(",", ":"))
        size = len(delta_text)
        started = time.process_time()
        catalogue = apply_deltas(catalogue, decode_deltas(json.loads(delta_text)))
        applied = time.process_time()
        now += timedelta(seconds=1)
        record_permanent_parts(held, catalogue, "region-0", vm_name(0), now)
        times.append((applied - started, time.process_time() - applied))
    result = {
        "entries": entries,
        "whole_bytes": len(text),
        "encode_ms": round(encoded_s * 1000, 2),
        "decode_ms": round(decoded_s * 1000, 2),
        "held_mb": round(resident - before, 1),
        "resident_mb": round(resident, 1),
        "change_bytes": size,
        "change_decode_apply_ms": round(sum(item[0] for item in times) / ROUNDS * 1000, 3),
        "change_permanent_parts_ms": round(sum(item[1] for item in times) / ROUNDS * 1000, 3),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main(int(sys.argv[1]))
