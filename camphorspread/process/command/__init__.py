"""The command line: one module for each subcommand."""

from camphorspread.process.command.parser import run_command

__all__ = ["run_command"]
