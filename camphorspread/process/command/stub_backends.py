"""`camphorspread stub-backends`: run stub backend servers for tests, next to an entry VM."""

import asyncio
import sys
from datetime import timedelta
from pathlib import Path

from returns.result import Failure, Success

from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import SystemClock
from camphorspread.process.endpoints import Announcement
from camphorspread.process.settings import EntrySettings, read_settings
from camphorspread.process.stub_backend_server import StubBackendServer, start_stub_backend_server

__all__ = ["run_stub_backends"]


def run_stub_backends(
    path: Path, service: str, count: int, slots: int, service_time: timedelta
) -> int:
    """Run stub backend servers until interrupted; return the exit code.

    Args:
        path: Settings file of the entry process to which they announce themselves.
        service: Service that they serve.
        count: Number of endpoints.
        slots: Slots of each endpoint.
        service_time: How long a request takes.
    """
    match read_settings(path):
        case Failure(faults):
            print("\n".join(faults), file=sys.stderr)
            return 2
        case Success(EntrySettings() as settings):
            pass
        case _:
            print(f"{path}: role must be 'entry'", file=sys.stderr)
            return 2
    try:
        asyncio.run(serve(settings, service, count, slots, service_time))
    except KeyboardInterrupt:
        return 0
    except OSError as exc:
        print(exc, file=sys.stderr)
        return 1
    return 0


async def serve(
    settings: EntrySettings, service: str, count: int, slots: int, service_time: timedelta
) -> None:
    """Start the backend servers on free ports of the entry VM's IP address and run them."""
    network, clock = TcpNetwork(), SystemClock()
    zone = settings.place.availability_zone
    for number in range(1, count + 1):
        announcement = Announcement(
            service,
            f"{service}-{settings.place.vm}-{number}",
            zone,
            Address(settings.callers.host, 0),
            slots,
        )
        link = JsonLink(ConnectionPool(network, clock))
        backend = StubBackendServer(announcement, settings.backend_servers, link, service_time)
        await start_stub_backend_server(network, backend)
        print(f"{announcement.endpoint} at {backend.announcement.address}", flush=True)
    await asyncio.Event().wait()
