"""`camphorspread run`: run one node from its settings file."""

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from returns.result import Failure, Success

from camphorspread.connection.access_key import read_access_key
from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import SystemClock
from camphorspread.process.command.output import FAILURE, SUCCESS, print_faults
from camphorspread.process.control_node import run_control_node
from camphorspread.process.control_state import ControlState
from camphorspread.process.entry_node import run_entry_node
from camphorspread.process.entry_state import make_entry_state
from camphorspread.process.events import make_event_log
from camphorspread.process.settings import ControlSettings, EntrySettings, Settings, read_settings
from camphorspread.version.format import FormatError
from camphorspread.version.log_file import LogCorruptedError

__all__ = ["run_node"]


def run_node(path: Path) -> int:
    """Run the node that a settings file describes; return the exit code."""
    match read_settings(path):
        case Failure(faults):
            return print_faults(faults)
        case Success(settings):
            pass
    try:
        return asyncio.run(run_until_signal(settings))
    except (OSError, FormatError, LogCorruptedError) as exc:
        print(f"the process stops: {exc}", file=sys.stderr)
        return FAILURE


async def run_until_signal(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT has stopped it; return the exit code.

    Raises:
        OSError: A listener can't be opened, or the data folder can't be used.
        FormatError: A file in the data folder has another major version of the format.
        LogCorruptedError: A file in the data folder is damaged.
    """
    clock, network, rng = SystemClock(), TcpNetwork(), random.Random()
    log = make_event_log(settings.place.vm, clock)
    access_key = read_access_key(Path(settings.access_key_file))
    match settings:
        case EntrySettings():
            state = make_entry_state(settings, clock, network, log, rng, access_key)
            return await run_entry_node(state, handle_signals)
        case ControlSettings():
            link = JsonLink(ConnectionPool(network, clock), access_key)
            control = ControlState(settings, clock, network, log, rng, link, access_key)
            node = asyncio.create_task(run_control_node(control))
    handle_signals(node.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await node
    return SUCCESS


def handle_signals(handle: Callable[[], object]) -> None:
    """Call a function on each SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, handle)
