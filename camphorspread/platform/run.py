"""Runs the process that the platform's settings file describes."""

import asyncio
import os
import random
import signal
import sys
from datetime import timedelta
from pathlib import Path

from returns.result import Failure, Success

from camphorspread.connection.network import TcpNetwork
from camphorspread.platform.settings_file import SETTINGS_PATH_VARIABLE, decode_settings
from camphorspread.process.clock import SystemClock
from camphorspread.process.events import Event, EventLog, make_event_log
from camphorspread.process.garbage_collection import reduce_collections
from camphorspread.process.log_output import LogBudget, PipeOutput
from camphorspread.process.steering_settings import (
    ControlVmSettings,
    EntryVmSettings,
    SteeringSettings,
)

__all__ = ["run_platform_node"]

DEFAULT_SETTINGS_PATH = "/etc/camphorspread/node.conf"


def run_platform_node(started: timedelta) -> int:
    """Run one process until it is stopped; return the exit code.

    Args:
        started: When the process started, by `SystemClock`.
    """
    path = Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))
    try:
        text = path.read_text()
    except OSError as exc:
        print(f"{path}: {exc.strerror}", file=sys.stderr)
        return 2
    match decode_settings(text):
        case Failure(faults):
            for fault in faults:
                print(f"{path}: {fault}", file=sys.stderr)
            return 2
        case Success(settings):
            pass
    output = PipeOutput(sys.stdout.fileno())
    log = make_event_log(settings.place.vm, SystemClock(), output, LogBudget())
    try:
        asyncio.run(run_role(settings, log, started))
    except OSError as exc:
        log.write(Event.PROCESS_STOPPED, role="failed", cause=str(exc))
        return 1
    return 0


async def run_role(settings: SteeringSettings, log: EventLog, started: timedelta) -> None:
    """Run an entry VM or a control VM until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # SIGHUP only writes a log line: no setting that a running process uses can change, and seeds
    # are needed only until the members of the group are known.
    loop.add_signal_handler(signal.SIGHUP, lambda: log.write(Event.SETTINGS_RELOADED))
    match settings.role:
        case EntryVmSettings():
            await run_entry(settings, log, stopped)
        case ControlVmSettings() as role:
            await run_control(settings, role, log, stopped, started)


async def run_entry(settings: SteeringSettings, log: EventLog, stopped: asyncio.Event) -> None:
    """Run an entry VM until it is stopped."""
    from camphorspread.platform.dialect import PlatformDialect
    from camphorspread.platform.entry_calls import serve_endpoint_call, serve_readiness
    from camphorspread.platform.routing_codec import decode_table
    from camphorspread.process.steering_node import start_steering_node, stop_gracefully
    from camphorspread.process.steering_state import make_steering_state

    state = make_steering_state(
        settings, SystemClock(), TcpNetwork(), log, random.Random(), PlatformDialect()
    )
    node = await start_steering_node(state, decode_table, serve_readiness, serve_endpoint_call)
    reduce_collections()
    await stopped.wait()
    await stop_gracefully(node)


async def run_control(
    settings: SteeringSettings,
    role: ControlVmSettings,
    log: EventLog,
    stopped: asyncio.Event,
    started: timedelta,
) -> None:
    """Run a control VM until it is stopped."""
    from camphorspread.platform.control_calls import serve_control, serve_resolve
    from camphorspread.platform.routing_codec import decode_table
    from camphorspread.process.steering_control_node import start_control_vm

    node = await start_control_vm(
        settings,
        role,
        SystemClock(),
        TcpNetwork(),
        log,
        random.Random(),
        serve_control,
        serve_resolve,
        started=started,
        decode_table=decode_table,
    )
    reduce_collections()
    await stopped.wait()
    await node.stop()
    log.write(Event.PROCESS_STOPPED, role="control")
