"""Waits until a catalogue version is in effect on every VM that can shift traffic."""

import asyncio
from datetime import timedelta

from camphorspread.process.command.operator import Operator
from camphorspread.process.command.output import FAILURE, SUCCESS, CommandResult

__all__ = ["find_lagging_and_isolated", "wait_until_in_effect"]

POLL_INTERVAL = timedelta(milliseconds=250)
ISOLATED = "isolated"
# By this time a VM that hasn't received a change has lost its catalogue lease (design, 12).
LEASE_EXPIRY_TIME = timedelta(seconds=3)


def find_lagging_and_isolated(
    responses: list[list[dict]], version: int, fleet: tuple[str, ...]
) -> tuple[list[str], list[str]]:
    """Return the lagging and the isolated VMs.

    Args:
        responses: Acknowledgements, as listed by each control process.
        version: Version that should be in effect.
        fleet: Names of all entry VMs; one that no control process lists is isolated.
    """
    newest: dict[str, dict] = {}
    for record in (record for response in responses for record in response):
        previous = newest.get(record["vm"])
        if previous is None or record["age_ms"] < previous["age_ms"]:
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
    """Poll all control processes until no VM lags or the time limit has passed."""
    fleet = tuple(item.vm for item in operator.fleet.entry_vms)
    start = operator.clock.monotonic()
    while True:
        responses = await operator.fetch_all(operator.fleet.replicas, "/v1/acknowledgements")
        lists = [value["acknowledgements"] for value in responses.values()]
        lagging, isolated = find_lagging_and_isolated(lists, version, fleet)
        waited = operator.clock.monotonic() - start
        if len(responses) < len(operator.fleet.replicas) and waited < LEASE_EXPIRY_TIME:
            # A silent control process may still renew the lease of a VM that looks isolated.
            lagging, isolated = sorted({*lagging, *isolated}), []
        is_done = bool(responses) and not lagging
        if is_done or waited >= limit:
            break
        await asyncio.sleep(POLL_INTERVAL.total_seconds())
    value = {"version": version, "in_effect": is_done, "lagging": lagging, "isolated": isolated}
    lines = [f"version {version} is {'' if is_done else 'not '}in effect everywhere"]
    lines += [f"lags: {vm}" for vm in lagging]
    lines += [f"isolated, shifts no further traffic: {vm}" for vm in isolated]
    return CommandResult(value, "\n".join(lines), SUCCESS if is_done else FAILURE)
