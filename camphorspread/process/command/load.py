"""`camphorspread load`: send generated load at a fixed rate."""

import asyncio
import json
import random
from pathlib import Path

from camphorspread.connection.network import TcpNetwork
from camphorspread.process.clock import SystemClock
from camphorspread.process.command.output import (
    FAILURE,
    SUCCESS,
    CommandResult,
    format_table,
    print_result,
)
from camphorspread.process.load import LoadPlan, run_load

__all__ = ["send_load"]


def send_load(plan: LoadPlan, seed: int, output: Path | None, as_json: bool) -> int:
    """Send the load, print its outcomes and latencies, and return the exit code."""
    result = asyncio.run(run_load(plan, TcpNetwork(), SystemClock(), random.Random(seed)))
    value = {"service": plan.service, "rate": plan.rate, "seed": seed, **result.describe()}
    if output is not None:
        output.write_text(json.dumps(value, indent=2) + "\n")
    rows = [
        (
            item["request"],
            item["count"],
            f"{item['p50_ms']:.2f}",
            f"{item['p99_ms']:.2f}",
            f"{item['max_ms']:.2f}",
            " ".join(f"{name}:{count}" for name, count in item["outcomes"].items()),
        )
        for item in value["requests"]
    ]
    text = format_table(("request", "count", "p50 ms", "p99 ms", "max ms", "outcomes"), rows)
    is_served = any(outcome == "200" for _, outcome in result.outcomes)
    return print_result(CommandResult(value, text, SUCCESS if is_served else FAILURE), as_json)
