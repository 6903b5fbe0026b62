"""The command line, with one module for each subcommand."""

from camphorspread.process.command.dispatch import run_command

__all__ = ["run_command"]
