"""Results of commands, as exit code, JSON and text, and their output."""

import json
import sys

import attrs

__all__ = [
    "FAILURE",
    "REQUESTS_CUT_OFF",
    "SUCCESS",
    "WRONG_USAGE",
    "CommandResult",
    "format_table",
    "print_faults",
    "print_result",
]

SUCCESS, FAILURE, WRONG_USAGE, REQUESTS_CUT_OFF = 0, 1, 2, 3


@attrs.frozen
class CommandResult:
    """Result of a command.

    Attributes:
        value: The result as a JSON value.
        text: The result as text for the terminal.
        code: Exit code.
    """

    value: object
    text: str
    code: int = SUCCESS


def print_result(result: CommandResult, as_json: bool) -> int:
    """Print the result and return its exit code."""
    print(json.dumps(result.value, indent=2) if as_json else result.text)
    return result.code


def print_faults(faults: tuple[str, ...]) -> int:
    """Print faults of settings or usage to standard error and return the exit code."""
    print("\n".join(faults), file=sys.stderr)
    return WRONG_USAGE


def format_table(titles: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Return left-aligned columns under their titles.

    Examples:
        >>> print(format_table(("vm", "version"), [("sofia-a-1", 4)]))
        vm         version
        sofia-a-1  4
    """
    cells = [titles, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)
