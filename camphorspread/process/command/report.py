"""`camphorspread report`: the accounting report of all entry VMs."""

from camphorspread.process.command.operator import Operator, UnreachableError
from camphorspread.process.command.output import CommandResult
from camphorspread.process.report import format_report, merge_reports

__all__ = ["show_report"]


async def show_report(operator: Operator) -> CommandResult:
    """Merge the reports of all entry VMs.

    Raises:
        UnreachableError: No entry VM responds.
    """
    responses = await operator.fetch_all(operator.fleet.entry_vms, "/v1/report")
    if not responses:
        raise UnreachableError("no entry VM responds")
    missing = [item.vm for item in operator.fleet.entry_vms if item.vm not in responses]
    report = merge_reports(list(responses.values()), missing)
    return CommandResult(report, format_report(report))
