"""`camphorspread status`: show versions, the leader, and lagging, lost and leaving VMs."""

from camphorspread.process.command.operator import Operator
from camphorspread.process.command.output import FAILURE, SUCCESS, CommandResult, format_table

__all__ = ["show_status", "summarize_status"]


async def show_status(operator: Operator) -> CommandResult:
    """Query the status of all processes."""
    control = await operator.fetch_all(operator.fleet.replicas, "/v1/status")
    entry = await operator.fetch_all(operator.fleet.entry_vms, "/v1/status")
    names = [item.vm for item in operator.fleet.entry_vms]
    return summarize_status(control, entry, names)


def summarize_status(
    control: dict[str, dict], entry: dict[str, dict], entry_vms: list[str]
) -> CommandResult:
    """Merge the status of all processes.

    Args:
        control: Status of control processes by VM.
        entry: Status of entry processes by VM.
        entry_vms: Names of all entry VMs; one without status is unreachable.
    """
    leaders = [vm for vm, value in sorted(control.items()) if value["role"] == "leader"]
    newest = max((value["version"] for value in control.values()), default=None)
    lagging = [
        vm
        for vm, value in sorted(entry.items())
        if newest is not None and (value["version"] or 0) < newest
    ]
    states = {vm: classify_vm(vm, entry) for vm in entry_vms}
    value = {
        "version": newest,
        "leader": leaders[0] if len(leaders) == 1 else None,
        "leaders": leaders,
        "lagging": lagging,
        "lost": [vm for vm, state in states.items() if state == "lost"],
        "unreachable": [vm for vm, state in states.items() if state == "unreachable"],
        "leaving": [vm for vm, state in states.items() if state == "leaving"],
        "isolated": [vm for vm, item in sorted(entry.items()) if item["is_isolated"]],
        "control": control,
        "entry": entry,
    }
    rows = [
        (vm, "control", "leader" if vm in leaders else "follower", control[vm]["version"])
        for vm in sorted(control)
    ]
    rows += [
        (vm, "entry", states[vm], entry[vm]["version"] if vm in entry else "-") for vm in entry_vms
    ]
    heading = f"catalogue version {newest}, leader {value['leader'] or 'unknown'}"
    lines = [heading, format_table(("vm", "role", "state", "version"), rows)]
    for name in ("lagging", "isolated"):
        if value[name]:
            lines.append(f"{name}: {', '.join(value[name])}")
    is_complete = bool(control) and len(entry) == len(entry_vms)
    return CommandResult(value, "\n".join(lines), SUCCESS if is_complete else FAILURE)


def classify_vm(vm: str, entry: dict[str, dict]) -> str:
    """Return the state of an entry VM: its own report, or else what the other VMs report."""
    if vm in entry:
        return "leaving" if entry[vm]["is_leaving"] else "alive"
    reported = {
        record["state"]
        for status in entry.values()
        for record in status["fleet"]
        if record["vm"] == vm
    }
    return "lost" if "lost" in reported else "unreachable"
