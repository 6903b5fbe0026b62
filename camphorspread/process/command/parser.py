"""The argument parser and the choice of a subcommand."""

import argparse
from collections.abc import Sequence
from pathlib import Path

import attrs

from camphorspread import __version__

__all__ = ["CatalogueApply", "Command", "LocalFleet", "Run", "Version", "run_command"]


@attrs.frozen
class Run:
    """Run a node from a settings file."""

    settings: Path


@attrs.frozen
class CatalogueApply:
    """Send a change to the control processes."""

    settings: Path
    change: Path


@attrs.frozen
class LocalFleet:
    """Run a small fleet in one process on loopback."""

    requests: int
    base_port: int


@attrs.frozen
class Version:
    """Print the version of the program."""


Command = Run | CatalogueApply | LocalFleet | Version


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(prog="camphorspread", description="Global traffic steering.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run a node from a settings file")
    run.add_argument("settings", type=Path)
    catalogue = commands.add_parser("catalogue", help="read and change the catalogue")
    actions = catalogue.add_subparsers(dest="action", required=True)
    apply = actions.add_parser("apply", help="send a change from a JSON file")
    apply.add_argument("--settings", type=Path, required=True)
    apply.add_argument("change", type=Path)
    fleet = commands.add_parser("local-fleet", help="run a small fleet on loopback")
    fleet.add_argument("--requests", type=int, default=200, help="requests to send (default: 200)")
    fleet.add_argument("--base-port", type=int, default=17400, help="first port (default: 17400)")
    commands.add_parser("version", help="print the version")
    return parser


def parse_command(arguments: Sequence[str]) -> Command:
    """Return the command that the arguments name."""
    args = make_parser().parse_args(arguments)
    match args.command:
        case "run":
            return Run(args.settings)
        case "catalogue":
            return CatalogueApply(args.settings, args.change)
        case "local-fleet":
            return LocalFleet(args.requests, args.base_port)
        case _:
            return Version()


def run_command(arguments: Sequence[str]) -> int:
    """Run the command line.

    Args:
        arguments: Arguments without the name of the program.

    Returns:
        Exit code: 0 success, 1 failure, 2 wrong usage or settings.
    """
    match parse_command(arguments):
        case Run(settings=settings):
            from camphorspread.process.command.run import run_node

            return run_node(settings)
        case CatalogueApply(settings=settings, change=change):
            from camphorspread.process.command.catalogue import apply_change_file

            return apply_change_file(settings, change)
        case LocalFleet(requests=requests, base_port=base_port):
            from camphorspread.process.command.local_fleet import run_local_fleet

            return run_local_fleet(requests, base_port)
        case Version():
            print(__version__)
            return 0
