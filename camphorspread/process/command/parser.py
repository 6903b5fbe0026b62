"""Parses the arguments into a command."""

import argparse
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path

from camphorspread.process.command.argument_types import (
    bounded_float,
    bounded_int,
    convert_address,
    convert_ip_address,
    convert_template,
)
from camphorspread.process.command.commands import (
    CheckCatalogue,
    CheckSettings,
    Command,
    LocalFleet,
    PlatformNode,
    Run,
    StubBackends,
    Version,
)
from camphorspread.process.command.from_arguments import (
    make_catalogue_command,
    make_explain_command,
    make_fleet_command,
    make_load_command,
    make_members_command,
)

__all__ = ["make_parser", "parse_command"]

EXIT_CODES = """exit codes:
  0  success
  1  failure
  2  wrong usage, settings or catalogue file
  3  stopped with requests cut off"""
ENTRY_KINDS = ("service", "region", "drain")
DRAIN_KINDS = ("vm", "availability_zone", "region", "backend_servers")
MAX_LOAD_COUNT = 1_000_000
MAX_LOAD_SECONDS = 600


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="camphorspread",
        description="Steers traffic across availability zones and regions.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    run = commands.add_parser("run", help="run a process from a settings file")
    run.add_argument("settings", type=Path, help="settings file")
    commands.add_parser(
        "platform-node", help="run the process that the platform's settings file describes"
    )
    check = commands.add_parser("check-settings", help="validate settings files")
    check.add_argument("files", type=Path, nargs="+", help="settings files")
    check = commands.add_parser("check-catalogue", help="validate a catalogue file")
    check.add_argument("file", type=Path, help="catalogue file")
    add_catalogue_commands(commands)
    add_fleet_command(commands, "status", "show versions, leader and the state of all VMs")
    explain = add_fleet_command(commands, "explain", "explain how lookups and requests were routed")
    explain.add_argument("--service", default="", help="name of a service")
    explain.add_argument("--request", default="", help="trace identifier of a request")
    explain.add_argument("--caller", type=convert_ip_address, help="IP address of a caller")
    logs = commands.add_parser("explain-log", help="explain one request from log files")
    logs.add_argument("request", help="identifier of the request")
    logs.add_argument("files", type=Path, nargs="+", help="logs of any number of VMs")
    logs.add_argument("--json", action="store_true", help="print JSON")
    add_explain_route_command(commands)
    add_fleet_command(commands, "report", "print the accounting report")
    add_members_commands(commands)
    add_load_command(commands)
    fleet = commands.add_parser("local-fleet", help="run a small fleet on loopback")
    fleet.add_argument(
        "--requests", type=bounded_int(1, MAX_LOAD_COUNT), default=200, help="default: 200"
    )
    fleet.add_argument(
        "--base-port", type=bounded_int(1024, 65000), default=17400, help="default: 17400"
    )
    stub = commands.add_parser("stub-backends", help="run stub backend servers for tests")
    stub.add_argument("--settings", type=Path, required=True, help="settings of an entry process")
    stub.add_argument("service", help="service that they serve")
    stub.add_argument("--count", type=bounded_int(1, 100), default=2, help="default: 2")
    stub.add_argument("--slots", type=bounded_int(1, 1000), default=6, help="default: 6")
    stub.add_argument(
        "--service-ms",
        type=bounded_int(1, 60000),
        default=20,
        help="service time of a request; default: 20",
    )
    version = commands.add_parser("version", help="print the version")
    version.add_argument("--json", action="store_true", help="print JSON")
    return parser


def add_fleet_command(commands, name: str, help_text: str) -> argparse.ArgumentParser:
    """Add a command that queries processes of the fleet."""
    parser = commands.add_parser(name, help=help_text, description=help_text)
    fleet_source = parser.add_mutually_exclusive_group(required=True)
    fleet_source.add_argument("--settings", type=Path, help="settings file of any process")
    fleet_source.add_argument("--fleet", type=Path, help="fleet file with addresses and access key")
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def add_explain_route_command(commands) -> None:
    """Add `explain-route`."""
    text = "explain where an entry VM would send a request now, without sending it"
    route = commands.add_parser("explain-route", help=text, description=text)
    route.add_argument(
        "--metrics",
        type=convert_address,
        required=True,
        metavar="IP:PORT",
        help="metrics listener of the entry VM",
    )
    route.add_argument("--host", required=True, help="host of the request")
    route.add_argument("--path", required=True, help="path of the request")
    route.add_argument("--object", default="", help="affinity key of the request")
    route.add_argument(
        "--organisation", default="", metavar="NAME", help="name of its organisation, not a key"
    )
    route.add_argument("--json", action="store_true", help="print JSON")


def add_catalogue_commands(commands) -> None:
    """Add `catalogue` and its actions."""
    catalogue = commands.add_parser("catalogue", help="read and change the catalogue")
    actions = catalogue.add_subparsers(dest="action", required=True, metavar="ACTION")
    add_fleet_command(actions, "list", "list all entries")
    show = add_fleet_command(actions, "show", "show one entry")
    show.add_argument("kind", choices=ENTRY_KINDS)
    show.add_argument("name", help="name of the entry; for a drain KIND/NAME")
    history = add_fleet_command(actions, "history", "list accepted changes, newest first")
    history.add_argument("--count", type=bounded_int(1, 1000), default=20, help="default: 20")
    apply = add_fleet_command(actions, "apply", "send a change or a whole catalogue file")
    apply.add_argument("file", type=Path, help="change request, change or catalogue file")
    apply.add_argument("--expected-version", type=bounded_int(0, 2**53), default=None)
    drain = add_fleet_command(actions, "drain", "drain a VM, availability zone or region")
    undrain = add_fleet_command(actions, "undrain", "remove a drain")
    for parser in (drain, undrain):
        parser.add_argument("kind", choices=DRAIN_KINDS)
        parser.add_argument("name")
    drain.add_argument("--owner", default=None, help="owner of the entry; default: the operator")
    for parser in (apply, drain, undrain):
        parser.add_argument("--operator", default=None, help="your name; default: the login name")
        parser.add_argument("--change-id", default=None, help="default: generated")
        parser.add_argument(
            "--wait", action="store_true", help="wait until the change is in effect everywhere"
        )
        parser.add_argument(
            "--wait-seconds", type=bounded_float(600), default=10.0, help="default: 10"
        )


def add_members_commands(commands) -> None:
    """Add `members` and its actions."""
    members = commands.add_parser("members", help="list and change the control processes")
    actions = members.add_subparsers(dest="action", required=True, metavar="ACTION")
    add_fleet_command(actions, "list", "list the control processes and their disk identities")
    for name, text in (
        ("add", "add a running control process as a learner, which has no vote"),
        ("promote", "promote a learner that has caught up to voter"),
        ("remove", "remove a disk identity from the group"),
        ("replace", "replace the identity of a control process that runs on a new disk"),
    ):
        action = add_fleet_command(actions, name, text)
        action.add_argument("vm", help="VM of the control process")
        if name == "remove":
            action.add_argument("identity", help="disk identity, as listed by members list")
        action.add_argument(
            "--wait-seconds",
            type=bounded_float(600),
            default=30.0,
            help="longest wait for each step; default: 30",
        )


def add_load_command(commands) -> None:
    """Add `load`."""
    load = commands.add_parser("load", help="send generated load at a fixed rate")
    load.add_argument("service", help="name of the service")
    load.add_argument(
        "--lookup",
        type=convert_address,
        action="append",
        required=True,
        help="callers' listener of an entry VM, IP:PORT; may be repeated",
    )
    load.add_argument(
        "--request",
        type=convert_template,
        action="append",
        help="'WEIGHT METHOD /PATH [BODY_BYTES]'; may be repeated for a mix; default: '1 GET /'",
    )
    load.add_argument("--rate", type=bounded_float(100_000), default=100.0, help="default: 100")
    load.add_argument("--count", type=bounded_int(1, MAX_LOAD_COUNT), default=1000)
    load.add_argument("--seconds", type=bounded_float(MAX_LOAD_SECONDS), default=10.0)
    load.add_argument("--max-in-flight", type=bounded_int(1, 10_000), default=256)
    load.add_argument("--seed", type=int, default=1, help="seed of the request order; default: 1")
    load.add_argument("--output", type=Path, default=None, help="write the results as JSON")
    load.add_argument("--json", action="store_true", help="print JSON")


def parse_command(arguments: Sequence[str]) -> Command:
    """Return the command that the arguments name; wrong usage exits with code 2."""
    parser = make_parser()
    args = parser.parse_args(arguments)
    match args.command:
        case "run":
            return Run(args.settings)
        case "check-settings":
            return CheckSettings(tuple(args.files))
        case "check-catalogue":
            return CheckCatalogue(args.file)
        case "catalogue":
            return make_catalogue_command(args)
        case "status" | "explain" | "report":
            return make_fleet_command(parser, args)
        case "explain-log" | "explain-route":
            return make_explain_command(args)
        case "members":
            return make_members_command(args)
        case "load":
            return make_load_command(args)
        case "local-fleet":
            return LocalFleet(args.requests, args.base_port)
        case "stub-backends":
            service_time = timedelta(milliseconds=args.service_ms)
            return StubBackends(args.settings, args.service, args.count, args.slots, service_time)
        case "platform-node":
            return PlatformNode()
        case _:
            return Version(args.json)
