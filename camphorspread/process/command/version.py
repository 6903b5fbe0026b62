"""`camphorspread version`: print the version."""

import platform

from camphorspread import __version__
from camphorspread.process.command.output import CommandResult, print_result

__all__ = ["show_version"]


def show_version(as_json: bool) -> int:
    """Print the version of the program and of the interpreter."""
    value = {"version": __version__, "python": platform.python_version()}
    return print_result(CommandResult(value, __version__), as_json)
