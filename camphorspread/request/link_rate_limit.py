"""Rate limit of uploads to other regions: the share of the links that a VM may use."""

import asyncio

import attrs

from camphorspread.process.clock import Clock
from camphorspread.request.window import SlidingWindow, try_acquire
from camphorspread.version.catalogue import RegionEntry

__all__ = ["LinkRateLimiter", "acquire_link_bytes", "link_share"]


@attrs.frozen
class LinkRateLimiter:
    """Rate limiter shared by all uploads of one VM to other regions.

    Attributes:
        window: Bytes sent in the last second.
        bytes_per_second: Share of the VM.
        clock: Monotonic clock.
    """

    window: SlidingWindow
    bytes_per_second: int
    clock: Clock


def link_share(entry: RegionEntry) -> int:
    """Return the bytes per second that each VM of a region may send to other regions.

    The shares are fixed and equal, so together they never exceed the capacity of the links.
    """
    return max(entry.link_bytes_per_second // max(len(entry.vms), 1), 1)


async def acquire_link_bytes(rate_limiter: LinkRateLimiter, size: int) -> None:
    """Wait until a chunk of a body fits into the share.

    The wait applies back-pressure to the caller, as nothing more is read meanwhile.

    Args:
        rate_limiter: Rate limiter of the VM.
        size: Size of the chunk, in bytes.
    """
    amount = min(size, rate_limiter.bytes_per_second)
    share = rate_limiter.bytes_per_second
    # Capacity is regained when a bucket leaves the window.
    while not try_acquire(rate_limiter.window, rate_limiter.clock.monotonic(), share, amount):  # noqa: ASYNC110
        await asyncio.sleep(rate_limiter.window.width.total_seconds())
