"""What a leader changes about its group without an operator: who joins, votes and leaves."""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from camphorspread.version.replica_messages import (
    AddLearner,
    Member,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from camphorspread.version.replica_state import Leader, ReplicaState, quorum

__all__ = ["Joining", "plan_upkeep"]

# A replica repeats its wish to join every half second; an older one may have ended since.
JOIN_TTL = timedelta(seconds=3)
# Longer than a restart, a freeze or a stalled disk usually lasts; a replica that comes back later
# joins again with the log that it has.
SILENCE_LIMIT = timedelta(seconds=8)
# A learner that was heard within this time takes part in the next commits.
CONTACT_LIMIT = timedelta(milliseconds=600)


@attrs.frozen
class Joining:
    """A replica that asked to join.

    Attributes:
        member: Its record.
        asked_at: When it last asked.
    """

    member: Member
    asked_at: timedelta


def plan_upkeep(
    state: ReplicaState, joining: Mapping[str, Joining], now: timedelta
) -> MembershipChange | None:
    """Return the next change of the members, None if nothing has to change.

    One change at a time is made, each one safe by itself: a learner votes only once it holds
    everything that is committed, and a voter leaves only while enough others are in contact.

    Args:
        state: State of the leader.
        joining: Replicas that asked to join, by member identifier.
        now: The present instant.
    """
    leader = state.role
    if not isinstance(leader, Leader) or leader.pending_members:
        return None
    if state.committed.index < leader.first_index:
        return None
    return (
        plan_promotion(state, leader, now)
        or plan_addition(state, leader, joining, now)
        or plan_removal(state, leader, now)
    )


def plan_promotion(state: ReplicaState, leader: Leader, now: timedelta) -> MembershipChange | None:
    """Give a vote to a learner that holds everything committed and is in contact."""
    for member in state.members:
        progress = leader.progress.get(member.member_id)
        if member.is_voter or progress is None:
            continue
        if progress.match_index < state.committed.index:
            continue
        if now - progress.contact <= CONTACT_LIMIT:
            return PromoteLearner(member.vm, member.identity)
    return None


def plan_addition(
    state: ReplicaState, leader: Leader, joining: Mapping[str, Joining], now: timedelta
) -> MembershipChange | None:
    """Add a replica that asked, after taking out the one whose disk it replaces."""
    known = {member.member_id for member in state.members}
    for name in sorted(joining):
        request = joining[name]
        if name in known or now - request.asked_at > JOIN_TTL:
            continue
        replaced = find_replaced(state, request.member)
        if replaced is None:
            return AddLearner(request.member)
        if may_remove(state, leader, replaced, now):
            return RemoveMember(replaced.vm, replaced.identity)
    return None


def find_replaced(state: ReplicaState, newcomer: Member) -> Member | None:
    """Return the member on the newcomer's VM whose disk was lost."""
    for member in state.members:
        if member.vm == newcomer.vm and member.member_id != state.own_id:
            return member
    return None


def plan_removal(state: ReplicaState, leader: Leader, now: timedelta) -> MembershipChange | None:
    """Take out a replica that was silent for long, so that it doesn't count in majorities.

    The group keeps enough voters to bear the stated losses at the same time.
    """
    for member in state.members:
        progress = leader.progress.get(member.member_id)
        if progress is None or now - progress.contact < SILENCE_LIMIT:
            continue
        if not member.is_voter:
            return RemoveMember(member.vm, member.identity)
        fewest = 2 * (state.min_copies - 1) + 1
        if len(state.voters) > fewest and may_remove(state, leader, member, now):
            return RemoveMember(member.vm, member.identity)
    return None


def may_remove(state: ReplicaState, leader: Leader, leaving: Member, now: timedelta) -> bool:
    """Return True if the voters that stay are a working group that holds enough copies."""
    staying = [name for name in state.voters if name != leaving.member_id]
    in_contact = [
        name
        for name in staying
        if name == state.own_id or now - leader.progress[name].contact <= CONTACT_LIMIT
    ]
    return len(in_contact) >= max(quorum(len(staying)), min(state.min_copies, len(staying)))
