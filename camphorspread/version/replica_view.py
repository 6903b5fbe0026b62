"""Leadership as one replica sees it, for code that depends on a current catalogue."""

from datetime import timedelta

import attrs

__all__ = ["ReplicaView"]


@attrs.frozen
class ReplicaView:
    """Leadership as one replica sees it.

    Attributes:
        leader: Name of the leader's VM, None while no leader is known.
        is_leader: True if this replica is the leader.
        lease_end: End of the leader lease, which contact to a majority extends.
        has_own_term_entry: True once the leader has committed an entry of its own term, so that
            its catalogue holds every change that was ever accepted.
        current_as_of: Newest instant at which this replica is known to have held everything that
            was committed by then; None if there is none.
        term: Term of the leader; it grows with each change of leader.
    """

    leader: str | None = None
    is_leader: bool = False
    lease_end: timedelta = timedelta(0)
    has_own_term_entry: bool = False
    current_as_of: timedelta | None = None
    term: int = 0
