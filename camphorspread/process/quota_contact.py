"""State of an entry VM's renewals of its shares."""

import asyncio
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address

__all__ = ["QuotaContact"]


@attrs.define(eq=False)
class QuotaContact:
    """Contact to the leader of the control VMs.

    Attributes:
        started_at: When this process started.
        leader: Address of the leader, None while it isn't known.
        position: Position of the control VM to ask for the leader, in the order of addresses.
        number: Number of the newest renewal.
        is_returned: True once the shares are being returned, after which none are renewed.
        failures: Renewals without a response since the last one with a response.
        has_limits: Set while the configuration limits an organisation.
        is_urgent: Set when a request waits for a renewal.
        ended: Set, and replaced by a new one, when a renewal has ended.
    """

    started_at: timedelta
    leader: Address | None = None
    position: int = 0
    number: int = 0
    is_returned: bool = False
    failures: int = 0
    has_limits: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_urgent: asyncio.Event = attrs.field(factory=asyncio.Event)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    def notify_ended(self) -> None:
        """Wake the requests that wait for a renewal."""
        self.ended.set()
        self.ended = asyncio.Event()
