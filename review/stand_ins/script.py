"""Runs a script with its fleet, and ends everything that it started."""

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.fleet import Fleet
from stand_ins.http import Connection
from stand_ins.record import Record

__all__ = ["BROKEN", "HELD", "NOT_RUN", "Client", "has_trouble", "run_script"]

HELD, BROKEN, NOT_RUN = range(3)
# The script ends before it is stopped from outside.
LIMIT_S = 110.0


def has_trouble() -> bool:
    """Return False if the disruption is to be left out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_script(folder: Path, work: Callable[[Fleet, Record], Awaitable[int]]) -> None:
    """Run the work of a script and exit with its result.

    Args:
        folder: Folder of the script, which gets `record.txt`.
        work: Returns `HELD`, `BROKEN` or `NOT_RUN`.
    """
    record = Record(folder / "record.txt")
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(Path(temporary), record)
        try:
            result = asyncio.run(limit(work(fleet, record)))
        except (OSError, TimeoutError) as exc:
            record.write(f"the case couldn't run: {exc!r}")
        finally:
            fleet.stop_all()
    record.write(f"result: {('the rule held', 'the rule was broken', 'not run')[result]}")
    record.close()
    sys.exit(result)


async def limit(work: Awaitable[int]) -> int:
    """Return the result of the work.

    Raises:
        TimeoutError: It takes too long.
    """
    async with asyncio.timeout(LIMIT_S):
        return await work


class Client:
    """Sends requests to one entry process, each on a connection of its own.

    Attributes:
        fleet: The processes.
        record: Record of the script.
    """

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Store the fleet and the record."""
        self.fleet = fleet
        self.record = record
        self.count = 0

    async def request(
        self, name: str, method: str, target: str, deadline_ms: int, key: str = ""
    ) -> tuple[str, str]:
        """Send one request; return its identifier and the status, or how it ended without one."""
        self.count += 1
        identifier = f"{self.count:016x}"
        headers = {
            "Host": "garters.example",
            "Request-Id": identifier,
            "Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Cookie"] = f"Affinity-Key={key}"
        conn = Connection(*self.fleet.front(name))
        self.record.write(f"client sends {identifier} {method} {target} to {name}")
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await conn.open()
                await conn.send(method, target, headers)
                answer = await conn.read()
            ending = "closed" if answer is None else str(answer.status)
        except TimeoutError:
            ending = "deadline"
        except (OSError, asyncio.IncompleteReadError) as exc:
            ending = f"closed ({type(exc).__name__})"
        finally:
            conn.close()
        self.record.write(f"client has {ending} for {identifier}")
        return identifier, ending
