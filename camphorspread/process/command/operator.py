"""Access of the operators' commands to the processes of a fleet."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.access_key import read_access_key
from camphorspread.connection.link import JsonLink, JsonResponse, LinkError
from camphorspread.connection.network import TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import Clock, SystemClock
from camphorspread.process.command.output import (
    FAILURE,
    CommandResult,
    print_faults,
    print_result,
)
from camphorspread.process.settings import (
    FleetSettings,
    FleetVmSettings,
    read_fleet,
    read_settings,
)

__all__ = ["Operator", "Target", "UnreachableError", "read_target", "run_operator_command"]

CALL_TIMEOUT = timedelta(seconds=2)


class UnreachableError(Exception):
    """No process that could serve the command responds."""


@attrs.frozen
class Target:
    """The settings file or the fleet file that lists the fleet; one of them is set."""

    settings: Path | None = None
    fleet: Path | None = None


@attrs.define(eq=False)
class Operator:
    """Queries processes of the fleet and reports those that can't be reached.

    Attributes:
        fleet: Addresses of the fleet.
        link: Sends requests with the operators' access key.
        clock: Source of the current time.
        write_message: Called with a message for each process that is skipped.
        reported_vms: VMs that have been reported.
    """

    fleet: FleetSettings
    link: JsonLink
    clock: Clock
    write_message: Callable[[str], None]
    reported_vms: set[str] = attrs.field(factory=set)

    def report_skipped(self, vm: str, cause: object) -> None:
        """Report a process that is skipped, once for each VM."""
        if vm not in self.reported_vms:
            self.reported_vms.add(vm)
            self.write_message(f"{vm} skipped: {cause}")

    async def fetch(self, vm: FleetVmSettings, target: str) -> JsonResponse | None:
        """Return the response of one process; report the process and return None on failure."""
        try:
            response = await self.link.call(vm.operators, "GET", target, limit=CALL_TIMEOUT)
        except LinkError as exc:
            self.report_skipped(vm.vm, exc)
            return None
        if response.status != 200:
            self.report_skipped(vm.vm, describe_refusal(response))
            return None
        return response

    async def fetch_all(
        self, vms: tuple[FleetVmSettings, ...], target: str
    ) -> dict[str, dict[str, object]]:
        """Return the responses of all reachable processes by VM."""
        responses = await asyncio.gather(*(self.fetch(vm, target) for vm in vms))
        return {
            vm.vm: response.value
            for vm, response in zip(vms, responses, strict=True)
            if response is not None
        }

    async def fetch_newest(self, target: str) -> dict:
        """Return the response of the control process with the newest catalogue.

        Raises:
            UnreachableError: No control process responds.
        """
        responses = await self.fetch_all(self.fleet.replicas, target)
        if not responses:
            raise UnreachableError("no control process responds")
        return max(responses.values(), key=lambda value: value.get("version", 0))


def describe_refusal(response: JsonResponse) -> str:
    """Return the status and the message of an error response."""
    value = response.value if isinstance(response.value, dict) else {}
    return f"status {response.status} {value.get('message', '')}".rstrip()


def read_target(target: Target) -> Result[FleetSettings, tuple[str, ...]]:
    """Read the addresses of the fleet from a settings file or a fleet file."""
    if target.fleet is not None:
        return read_fleet(target.fleet)
    match read_settings(target.settings):
        case Success(settings):
            replicas = tuple(
                FleetVmSettings(it.vm, it.operators, it.peers) for it in settings.replicas
            )
            entry_vms = tuple(
                FleetVmSettings(it.vm, it.operators)
                for it in getattr(settings, "entry_vms", ())
                if it.operators is not None
            )
            return Success(FleetSettings(replicas, entry_vms, settings.access_key_file))
        case failure:
            return failure


def run_operator_command(
    target: Target, as_json: bool, operation: Callable[[Operator], Awaitable[CommandResult]]
) -> int:
    """Run an operator's command; return its exit code."""
    match read_target(target):
        case Failure(faults):
            return print_faults(faults)
        case Success(fleet):
            pass
    try:
        key = read_access_key(Path(fleet.access_key_file))
    except OSError as exc:
        return print_faults((f"{fleet.access_key_file}: {exc.strerror}",))
    clock = SystemClock()
    link = JsonLink(ConnectionPool(TcpNetwork(), clock), key)
    operator = Operator(fleet, link, clock, lambda line: print(line, file=sys.stderr))
    try:
        return print_result(asyncio.run(operation(operator)), as_json)
    except UnreachableError as exc:
        print(exc, file=sys.stderr)
        return FAILURE
