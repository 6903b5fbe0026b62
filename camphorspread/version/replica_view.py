"""What a replica knows about the leader, for everything that depends on a current catalogue."""

from datetime import timedelta

import attrs

__all__ = ["ReplicaView"]


@attrs.frozen
class ReplicaView:
    """The state of leadership as one replica sees it.

    Attributes:
        leader: Name of the VM of the leader, or None while there is none.
        is_leader: True if this replica leads.
        lease_end: Until when a leader that has heard from a majority may act as one.
        has_own_term_entry: True once the leader has committed an entry of its own term, so that
            its catalogue holds every change that was ever accepted.
        leader_heard: Newest instant of which this replica knows, from its leader, that it held
            everything that was committed by then; None if there is none.
        term: Term of the leader; it grows with each change of leader.
    """

    leader: str | None = None
    is_leader: bool = False
    lease_end: timedelta = timedelta(0)
    has_own_term_entry: bool = False
    leader_heard: timedelta | None = None
    term: int = 0
