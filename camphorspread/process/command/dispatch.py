"""Runs the function that belongs to each command."""

from collections.abc import Sequence
from functools import partial

from returns.result import Failure, Success

from camphorspread.process.clock import SystemClock
from camphorspread.process.command import commands
from camphorspread.process.command.output import print_faults, print_result
from camphorspread.process.command.parser import parse_command

__all__ = ["run_command"]


def run_command(arguments: Sequence[str]) -> int:
    """Run the command line.

    Args:
        arguments: Arguments without the name of the program.

    Returns:
        Exit code: 0 success, 1 failure, 2 wrong usage or settings, 3 stopped with requests cut off.
    """
    match parse_command(arguments):
        case commands.Run(settings=settings):
            from camphorspread.process.command.run import run_node

            return run_node(settings)
        case commands.PlatformNode():
            from camphorspread.platform.run import run_platform_node

            return run_platform_node(SystemClock().monotonic())
        case commands.CheckSettings(files=files):
            from camphorspread.process.command.check_settings import check_settings_files

            return check_settings_files(files)
        case commands.CheckCatalogue(file=file):
            from camphorspread.process.command.check_catalogue import check_catalogue_file

            return check_catalogue_file(file)
        case commands.Load(plan=plan, seed=seed, output=output, as_json=as_json):
            from camphorspread.process.command.load import send_load

            return send_load(plan, seed, output, as_json)
        case commands.LocalFleet(requests=requests, base_port=base_port):
            from camphorspread.process.command.local_fleet import run_local_fleet

            return run_local_fleet(requests, base_port)
        case commands.StubBackends() as command:
            from camphorspread.process.command.stub_backends import run_stub_backends

            return run_stub_backends(
                command.settings,
                command.service,
                command.count,
                command.slots,
                command.service_time,
            )
        case commands.ExplainLog() | commands.ExplainRoute() as command:
            return run_explain_command(command)
        case commands.Version(as_json=as_json):
            from camphorspread.process.command.version import show_version

            return show_version(as_json)
        case (
            commands.MembersList()
            | commands.MembersAdd()
            | commands.MembersPromote()
            | commands.MembersRemove()
            | commands.MembersReplace() as command
        ):
            return run_members_command(command)
        case commands.Status() | commands.Explain() | commands.Report() as command:
            return run_fleet_command(command)
        case command:
            return run_catalogue_command(command)


def run_explain_command(command: commands.ExplainLog | commands.ExplainRoute) -> int:
    """Explain a request from log files, or where a VM would send one."""
    match command:
        case commands.ExplainRoute():
            from camphorspread.process.command.explain_route import run_explain_route

            return run_explain_route(command)
        case commands.ExplainLog(request=request, files=files, as_json=as_json):
            from camphorspread.process.command.explain_log import explain_from_logs

            try:
                return print_result(explain_from_logs(request, files), as_json)
            except OSError as exc:
                return print_faults((f"{exc.filename}: {exc.strerror}",))


def run_fleet_command(command: commands.Status | commands.Explain | commands.Report) -> int:
    """Run a command that queries all processes of the fleet."""
    from camphorspread.process.command.explain import explain
    from camphorspread.process.command.operator import run_operator_command
    from camphorspread.process.command.report import show_report
    from camphorspread.process.command.status import show_status

    match command:
        case commands.Status():
            operation = show_status
        case commands.Explain(service=service, request=request, caller=caller):
            operation = partial(explain, service=service, request=request, caller=caller)
        case commands.Report():
            operation = show_report
    return run_operator_command(command.target, command.as_json, operation)


def run_members_command(command: commands.Command) -> int:
    """Run a command that lists or changes the members of the control group."""
    from camphorspread.process.command.members import (
        add_member,
        list_members,
        promote_member,
        remove_member,
        replace_member,
    )
    from camphorspread.process.command.operator import run_operator_command

    match command:
        case commands.MembersList():
            operation = list_members
        case commands.MembersAdd(vm=vm, limit=limit):
            operation = partial(add_member, vm=vm, limit=limit)
        case commands.MembersPromote(vm=vm, limit=limit):
            operation = partial(promote_member, vm=vm, limit=limit)
        case commands.MembersRemove(vm=vm, identity=identity, limit=limit):
            operation = partial(remove_member, vm=vm, identity=identity, limit=limit)
        case commands.MembersReplace(vm=vm, limit=limit):
            operation = partial(replace_member, vm=vm, limit=limit)
    return run_operator_command(command.target, command.as_json, operation)


def run_catalogue_command(command: commands.Command) -> int:
    """Run a command that reads or changes the catalogue."""
    from camphorspread.process.command import catalogue, catalogue_change
    from camphorspread.process.command.operator import run_operator_command

    match command:
        case commands.CatalogueList():
            operation = catalogue.list_catalogue
        case commands.CatalogueShow(kind=kind, name=name):
            operation = partial(catalogue.show_entry, kind=kind, name=name)
        case commands.CatalogueHistory(count=count):
            operation = partial(catalogue.show_history, count=count)
        case commands.CatalogueApply(file=file, options=options):
            match catalogue_change.read_change_file(file, options):
                case Failure(faults):
                    return print_faults(faults)
                case Success(requests):
                    operation = partial(
                        catalogue_change.apply_changes, requests=requests, options=options
                    )
        case commands.CatalogueDrain(kind=kind, name=name, owner=owner, options=options):
            operation = partial(
                catalogue_change.drain, kind=kind, name=name, owner=owner, options=options
            )
        case commands.CatalogueUndrain(kind=kind, name=name, options=options):
            operation = partial(catalogue_change.undrain, kind=kind, name=name, options=options)
    return run_operator_command(command.target, command.as_json, operation)
