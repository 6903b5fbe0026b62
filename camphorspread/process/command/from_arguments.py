"""Builds commands from parsed arguments."""

import argparse
import getpass
from datetime import timedelta

from camphorspread.process.command.catalogue_change import ChangeOptions
from camphorspread.process.command.commands import (
    CatalogueApply,
    CatalogueDrain,
    CatalogueHistory,
    CatalogueList,
    CatalogueShow,
    CatalogueUndrain,
    Command,
    Explain,
    ExplainLog,
    ExplainRoute,
    Load,
    MembersAdd,
    MembersList,
    MembersPromote,
    MembersRemove,
    MembersReplace,
    Report,
    Status,
)
from camphorspread.process.command.operator import Target
from camphorspread.process.load import LoadPlan, parse_template

__all__ = [
    "make_catalogue_command",
    "make_explain_command",
    "make_fleet_command",
    "make_load_command",
    "make_members_command",
]


def make_target(args: argparse.Namespace) -> Target:
    """Return the settings file or fleet file of a command."""
    return Target(args.settings, args.fleet)


def make_fleet_command(parser: argparse.ArgumentParser, args: argparse.Namespace) -> Command:
    """Return a command that queries all processes of the fleet."""
    target = make_target(args)
    match args.command:
        case "status":
            return Status(target, args.json)
        case "report":
            return Report(target, args.json)
    if not (args.service or args.request or args.caller):
        parser.error("explain needs --service, --request or --caller")
    return Explain(target, args.json, args.service, args.request, args.caller or "")


def make_explain_command(args: argparse.Namespace) -> Command:
    """Return a command that explains a request from log files, or at one VM."""
    if args.command == "explain-log":
        return ExplainLog(args.request, tuple(args.files), args.json)
    return ExplainRoute(
        args.metrics, args.host, args.path, args.object, args.organisation, args.json
    )


def make_members_command(args: argparse.Namespace) -> Command:
    """Return the command of a `members` action."""
    target = make_target(args)
    if args.action == "list":
        return MembersList(target, args.json)
    limit = timedelta(seconds=args.wait_seconds)
    if args.action == "remove":
        return MembersRemove(target, args.json, args.vm, args.identity, limit)
    command_types = {"add": MembersAdd, "promote": MembersPromote, "replace": MembersReplace}
    return command_types[args.action](target, args.json, args.vm, limit)


def make_catalogue_command(args: argparse.Namespace) -> Command:
    """Return the command of a `catalogue` action."""
    target = make_target(args)
    match args.action:
        case "list":
            return CatalogueList(target, args.json)
        case "show":
            return CatalogueShow(target, args.json, args.kind, args.name)
        case "history":
            return CatalogueHistory(target, args.json, args.count)
    wait = timedelta(seconds=args.wait_seconds) if args.wait else None
    name = args.operator or getpass.getuser()
    expected = args.expected_version if args.action == "apply" else None
    options = ChangeOptions(name, args.change_id, expected, wait)
    match args.action:
        case "apply":
            return CatalogueApply(target, args.json, options, args.file)
        case "drain":
            owner = args.owner or name
            return CatalogueDrain(target, args.json, options, args.kind, args.name, owner)
        case _:
            return CatalogueUndrain(target, args.json, options, args.kind, args.name)


def make_load_command(args: argparse.Namespace) -> Load:
    """Return the command of `load`."""
    templates = tuple(args.request or (parse_template("1 GET /"),))
    plan = LoadPlan(
        args.service,
        tuple(args.lookup),
        templates,
        args.rate,
        args.count,
        timedelta(seconds=args.seconds),
        args.max_in_flight,
    )
    return Load(plan, args.seed, args.output, args.json)
