"""`camphorspread catalogue list`, `show` and `history`: read the catalogue."""

from camphorspread.process.command.operator import Operator, UnreachableError
from camphorspread.process.command.output import FAILURE, CommandResult, format_table

__all__ = ["list_catalogue", "show_entry", "show_history"]

CATALOGUE_FIELDS = {"service": "services", "region": "regions", "drain": "drains"}


async def list_catalogue(operator: Operator) -> CommandResult:
    """List all entries with owner and version."""
    catalogue = await operator.fetch_newest("/v1/catalogue")
    rows = [
        (kind, name, item["entry"]["owner"], item["version"])
        for kind, field in CATALOGUE_FIELDS.items()
        for name, item in sorted(catalogue[field].items())
    ]
    table = format_table(("kind", "name", "owner", "version"), rows)
    return CommandResult(catalogue, f"catalogue version {catalogue['version']}\n{table}")


async def show_entry(operator: Operator, kind: str, name: str) -> CommandResult:
    """Show one entry with all its fields."""
    catalogue = await operator.fetch_newest("/v1/catalogue")
    item = catalogue[CATALOGUE_FIELDS[kind]].get(name)
    if item is None:
        message = f"the catalogue has no {kind} named {name!r}"
        return CommandResult({"message": message}, message, FAILURE)
    rows = [("version", item["version"]), *item["entry"].items()]
    return CommandResult(item, format_table(("field", "value"), rows))


async def show_history(operator: Operator, count: int) -> CommandResult:
    """List the latest accepted changes, newest first."""
    responses = await operator.fetch_all(operator.fleet.replicas, "/v1/catalogue/history")
    if not responses:
        raise UnreachableError("no control process responds")
    # A lagging replica lists fewer changes.
    newest = max(responses.values(), key=lambda items: items[0]["version"] if items else 0)
    changes = newest[:count]
    rows = [
        (
            item["version"],
            item["time"],
            item["operator"],
            item["change_id"],
            item["description"] or "-",
        )
        for item in changes
    ]
    table = format_table(("version", "time", "operator", "change", "what"), rows)
    return CommandResult(changes, table)
