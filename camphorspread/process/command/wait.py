"""Waits until a catalogue version is in effect on every VM that can move traffic."""

import asyncio
from datetime import timedelta

from camphorspread.process.command.operator import Operator
from camphorspread.process.command.output import FAILURE, SUCCESS, CommandResult

__all__ = ["find_lagging", "wait_until_in_effect"]

ASK_INTERVAL = timedelta(milliseconds=250)
ISOLATED = "isolated"
# After this time a VM that has not received a change has lost its catalogue lease (design, 12).
EFFECT_BOUND = timedelta(seconds=3)


def find_lagging(
    responses: list[list[dict]], version: int, fleet: tuple[str, ...]
) -> tuple[list[str], list[str]]:
    """Return the VMs that lag and the VMs that are isolated.

    Args:
        responses: Acknowledgements as each control process lists them.
        version: Version that should be in effect.
        fleet: Names of all entry VMs; one that no control process lists is isolated.
    """
    newest: dict[str, dict] = {}
    for record in (record for response in responses for record in response):
        known = newest.get(record["vm"])
        if known is None or record["age_ms"] < known["age_ms"]:
            newest[record["vm"]] = record
    isolated = [
        vm
        for vm in sorted({*fleet, *newest})
        if vm not in newest or newest[vm]["state"] == ISOLATED
    ]
    lagging = [
        vm
        for vm, record in sorted(newest.items())
        if vm not in isolated and record["version"] < version
    ]
    return lagging, isolated


async def wait_until_in_effect(operator: Operator, version: int, limit: timedelta) -> CommandResult:
    """Ask all control processes for acknowledgements until no VM lags or the time is up."""
    fleet = tuple(item.vm for item in operator.fleet.entry_vms)
    start = operator.clock.monotonic()
    while True:
        responses = await operator.ask_all(operator.fleet.replicas, "/v1/acknowledgements")
        lists = [value["acknowledgements"] for value in responses.values()]
        lagging, isolated = find_lagging(lists, version, fleet)
        waited = operator.clock.monotonic() - start
        if len(responses) < len(operator.fleet.replicas) and waited < EFFECT_BOUND:
            # The silent control process may still extend the lease of a VM that looks isolated.
            lagging, isolated = sorted({*lagging, *isolated}), []
        is_done = bool(responses) and not lagging
        if is_done or waited >= limit:
            break
        await asyncio.sleep(ASK_INTERVAL.total_seconds())
    value = {"version": version, "in_effect": is_done, "lagging": lagging, "isolated": isolated}
    lines = [f"version {version} is {'' if is_done else 'not '}in effect everywhere"]
    lines += [f"lags: {vm}" for vm in lagging]
    lines += [f"isolated, moves no traffic: {vm}" for vm in isolated]
    return CommandResult(value, "\n".join(lines), SUCCESS if is_done else FAILURE)
