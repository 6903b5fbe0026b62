"""An entry VM that may hold shares, as the leader of the control VMs sees it."""

from datetime import timedelta

import attrs

__all__ = ["Holder"]


@attrs.define(eq=False)
class Holder:
    """An entry VM, as the leader sees it.

    Attributes:
        incarnation: Random number of its process.
        started_at: When that process started, as its first renewal stated.
        number: Number of its newest renewal.
        heard_at: When that renewal arrived.
        reserved: Reservation by organisation, `former` included.
        demanded: Organisations that it has demand for.
        former: What a process that has ended may have sent in its last window, by organisation.
        former_at: When that process ended at the latest; `former` decreases from then on.
        is_silent: True if it hasn't renewed for `SILENCE_LIMIT`.
        is_lapsed: True if the lease of its grants has ended and it keeps a part of them.
        is_returned: True once it has returned its shares.
    """

    incarnation: int
    started_at: timedelta
    number: int = 0
    heard_at: timedelta = timedelta(0)
    reserved: dict[str, int] = attrs.field(factory=dict)
    demanded: set[str] = attrs.field(factory=set)
    former: dict[str, int] = attrs.field(factory=dict)
    former_at: timedelta = timedelta(0)
    is_silent: bool = False
    is_lapsed: bool = False
    is_returned: bool = False
