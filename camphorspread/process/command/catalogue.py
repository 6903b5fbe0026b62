"""`camphorspread catalogue`: read and change the catalogue."""

import asyncio
import json
import sys
from datetime import timedelta
from pathlib import Path

from returns.result import Failure, Success

from camphorspread.connection.access_key import read_access_key
from camphorspread.connection.link import JsonLink, JsonResponse, LinkError
from camphorspread.connection.network import TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import SystemClock
from camphorspread.process.settings import Settings, read_settings

__all__ = ["apply_change_file"]

CHANGE_LIMIT = timedelta(seconds=5)


def apply_change_file(settings_path: Path, change_path: Path) -> int:
    """Send the change in a JSON file; return the exit code."""
    match read_settings(settings_path):
        case Failure(faults):
            print("\n".join(faults), file=sys.stderr)
            return 2
        case Success(settings):
            pass
    try:
        change = json.loads(change_path.read_bytes())
    except (OSError, ValueError) as exc:
        print(f"{change_path}: {exc}", file=sys.stderr)
        return 2
    response = asyncio.run(send_change(settings, change))
    if response is None:
        print("no control process responds", file=sys.stderr)
        return 1
    print(json.dumps(response.value, indent=2))
    return 0 if response.status == 200 else 1


async def send_change(settings: Settings, change: object) -> JsonResponse | None:
    """Send a change to the control processes in turn; return the first response."""
    key = read_access_key(Path(settings.access_key_file))
    link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), key)
    for replica in settings.replicas:
        try:
            return await link.call(
                replica.operators, "POST", "/v1/catalogue/changes", change, CHANGE_LIMIT
            )
        except LinkError as exc:
            print(exc, file=sys.stderr)
    return None
