"""Runs work for a client until it is done, the client disconnects or a time limit passes."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta

import attrs

from camphorspread.connection.network import Stream

__all__ = ["Disconnected", "Finished", "TimedOut", "run_while_connected"]


@attrs.frozen
class Finished:
    """The work is done.

    Attributes:
        value: Its result.
    """

    value: object


@attrs.frozen
class Disconnected:
    """The client closed or reset its connection; the work has been cancelled."""


@attrs.frozen
class TimedOut:
    """The time limit passed; the work has been cancelled."""


async def run_while_connected(
    work: Coroutine, stream: Stream | None, limit: timedelta
) -> Finished | Disconnected | TimedOut:
    """Run a coroutine until it ends, the client disconnects or the limit passes.

    It needs one task and one timer. Bytes that the client sends meanwhile stay unread.

    Args:
        work: The coroutine.
        stream: Stream of the client; None if its end isn't to be watched.
        limit: Longest time to wait.

    Raises:
        Exception: The coroutine raised it.
    """
    loop = asyncio.get_running_loop()
    ended = loop.create_future()

    def end(*_: object) -> None:
        if not ended.done():
            ended.set_result(None)

    task = asyncio.create_task(work)
    task.add_done_callback(end)
    timer = loop.call_later(max(limit.total_seconds(), 0), end)
    if stream is not None:
        stream.on_ended = end
    try:
        if stream is None or not stream.is_ended:
            await ended
        if task.done():
            return Finished(task.result())
        return Disconnected() if stream is not None and stream.is_ended else TimedOut()
    finally:
        timer.cancel()
        if stream is not None:
            stream.on_ended = None
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        elif not task.cancelled():
            # If this function is cancelled as the work fails, the loop would log its exception as
            # never retrieved.
            task.exception()
