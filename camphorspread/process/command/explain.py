"""`camphorspread explain`: why lookups and requests were routed as they were."""

from urllib.parse import urlencode

from camphorspread.process.command.operator import Operator
from camphorspread.process.command.output import FAILURE, SUCCESS, CommandResult

__all__ = ["explain"]


async def explain(
    operator: Operator, service: str, request: str, caller: str = ""
) -> CommandResult:
    """Query all entry VMs for their decisions about a service or one request.

    Args:
        operator: Connection to the fleet.
        service: Name of a service; empty for all.
        request: Identifier of a request, which is its trace identifier; empty for all.
        caller: IP address of a caller; empty for all.
    """
    query = urlencode({"service": service, "request": request, "address": caller})
    responses = await operator.fetch_all(operator.fleet.entry_vms, f"/v1/explain?{query}")
    lines = []
    for vm, value in sorted(responses.items()):
        if value["lookup"] is not None:
            lines += describe_lookup(vm, value["lookup"])
        lines += [describe_decision(vm, record) for record in value["decisions"]]
    found = any(value["decisions"] or value["lookup"] for value in responses.values())
    text = "\n".join(lines) if found else "no VM has recorded a matching decision"
    return CommandResult(responses, text, SUCCESS if found else FAILURE)


def describe_lookup(vm: str, lookup: dict) -> list[str]:
    """Return one line for each target of the lookup response."""
    if "error" in lookup:
        return [f"{vm}: lookups of {lookup['service']} are refused: {lookup['message']}"]
    return [
        f"{vm}: lookups of {lookup['service']} from {lookup['caller_availability_zone']} name "
        f"{item['vm']} because of {item['reason']}"
        for item in lookup["targets"]
    ]


def describe_decision(vm: str, record: dict) -> str:
    """Return one sentence about a decision record."""
    destination = f"to {record['endpoint']} on behalf of {record['chosen_vm'] or vm}"
    route = destination if record["endpoint"] else "to no endpoint"
    end = f"refused with {record['error']}" if record["error"] else f"status {record['status']}"
    return (
        f"{record['at']} {vm}: request {record['request_id']} for {record['service']} from "
        f"{record['caller_availability_zone']} went {route}, reason {record['reason']}, "
        f"{end}, {record['time_spent_ms']:g} ms"
    )
