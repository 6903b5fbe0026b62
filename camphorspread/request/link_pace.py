"""Keeps uploads to other regions within the share of the links that a VM may use."""

import asyncio

import attrs

from camphorspread.process.clock import Clock
from camphorspread.request.window import SlidingWindow, try_take
from camphorspread.version.catalogue import RegionEntry

__all__ = ["LinkPacer", "link_share", "pace_link"]


@attrs.frozen
class LinkPacer:
    """What the uploads of one VM to other regions share.

    Attributes:
        window: Bytes of the last second.
        bytes_per_second: The share of the VM.
        clock: Source of instants.
    """

    window: SlidingWindow
    bytes_per_second: int
    clock: Clock


def link_share(entry: RegionEntry) -> int:
    """Return the bytes a second that each VM of a region may send to other regions.

    The parts are fixed and equal, so that together they never pass what the links carry.
    """
    return max(entry.link_bytes_per_second // max(len(entry.vms), 1), 1)


async def pace_link(pacer: LinkPacer, size: int) -> None:
    """Wait until a part of a body fits into the share.

    Waiting here is back-pressure for the caller, as nothing more is read meanwhile.

    Args:
        pacer: The share and what was used of it.
        size: Size of the part, in bytes.
    """
    amount = min(size, pacer.bytes_per_second)
    share = pacer.bytes_per_second
    # Room comes back when a bucket of the window ends.
    while not try_take(pacer.window, pacer.clock.monotonic(), share, amount):  # noqa: ASYNC110
        await asyncio.sleep(pacer.window.width.total_seconds())
