"""Keeps the background tasks of a process running."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

from camphorspread.process.events import Event, EventLog

__all__ = ["start_supervised"]

# A task that fails at once, again and again, must not keep the loop busy.
RESTART_DELAY = timedelta(seconds=1)


def start_supervised(
    work: Callable[[], Coroutine[None, None, None]], name: str, log: EventLog
) -> asyncio.Task:
    """Start a background task; after an unexpected error it is logged and started again.

    A task that ended unnoticed would leave a process that looks alive but, for example, no longer
    polls. The task ends when its work returns or it is cancelled.

    Args:
        work: Returns the coroutine of the task.
        name: Name of the task in the log.
        log: Log of the process.
    """
    return asyncio.create_task(run_supervised(work, name, log))


async def run_supervised(
    work: Callable[[], Coroutine[None, None, None]], name: str, log: EventLog
) -> None:
    """Run the work until it returns, and again after each unexpected error."""
    while True:
        try:
            await work()
        except Exception as exc:
            log.write(Event.TASK_FAILED, task=name, cause=repr(exc))
        else:
            return
        await asyncio.sleep(RESTART_DELAY.total_seconds())
