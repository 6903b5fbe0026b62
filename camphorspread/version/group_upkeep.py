"""Automatic membership changes by the leader: additions, promotions and removals."""

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
from camphorspread.version.replica_state import Leader, ReplicaState, majority_size

__all__ = ["JoinRequest", "plan_membership_change"]

# A replica repeats its join request every half second; the sender of an older one may have ended.
JOIN_REQUEST_TTL = timedelta(seconds=3)
# Longer than a restart, a pause or a stalled disk usually lasts; a replica that returns later joins
# again with the log that it has.
REMOVAL_TIMEOUT = timedelta(seconds=8)
# A replica with contact within this time is expected to take part in the next commits.
CONTACT_LIMIT = timedelta(milliseconds=600)


@attrs.frozen
class JoinRequest:
    """A request of a replica to join the group.

    Attributes:
        member: Member record of the replica.
        asked_at: When the newest request arrived.
    """

    member: Member
    asked_at: timedelta


def plan_membership_change(
    state: ReplicaState, joining: Mapping[str, JoinRequest], now: timedelta
) -> MembershipChange | None:
    """Return the next membership change, None if no change is needed.

    There is one change at a time, and each one is safe by itself: a learner is promoted only once
    it holds everything that is committed, and a voter is removed only while enough others are in
    contact.

    Args:
        state: State of the leader.
        joining: Join requests by member identifier.
        now: Current instant.
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
    """Promote a learner that holds everything committed and is in contact."""
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
    state: ReplicaState, leader: Leader, joining: Mapping[str, JoinRequest], now: timedelta
) -> MembershipChange | None:
    """Add a replica that requested to join, after removing the member that it replaces."""
    known = {member.member_id for member in state.members}
    for name in sorted(joining):
        request = joining[name]
        if name in known or now - request.asked_at > JOIN_REQUEST_TTL:
            continue
        replaced = find_replaced_member(state, request.member)
        if replaced is None:
            return AddLearner(request.member)
        if is_removal_safe(state, leader, replaced, now):
            return RemoveMember(replaced.vm, replaced.identity)
    return None


def find_replaced_member(state: ReplicaState, new_member: Member) -> Member | None:
    """Return the former member on the same VM, whose disk was replaced."""
    for member in state.members:
        if member.vm == new_member.vm and member.member_id != state.own_id:
            return member
    return None


def plan_removal(state: ReplicaState, leader: Leader, now: timedelta) -> MembershipChange | None:
    """Remove a replica that has been unreachable for long, so that it doesn't count in majorities.

    The group keeps enough voters to tolerate the configured number of simultaneous losses.
    """
    for member in state.members:
        progress = leader.progress.get(member.member_id)
        if progress is None or now - progress.contact < REMOVAL_TIMEOUT:
            continue
        if not member.is_voter:
            return RemoveMember(member.vm, member.identity)
        min_voters = 2 * (state.min_copies - 1) + 1
        if len(state.voters) > min_voters and is_removal_safe(state, leader, member, now):
            return RemoveMember(member.vm, member.identity)
    return None


def is_removal_safe(state: ReplicaState, leader: Leader, removed: Member, now: timedelta) -> bool:
    """Return True if the remaining voters in contact can commit and hold enough copies."""
    remaining = [name for name in state.voters if name != removed.member_id]
    in_contact = [
        name
        for name in remaining
        if name == state.own_id or now - leader.progress[name].contact <= CONTACT_LIMIT
    ]
    return len(in_contact) >= max(
        majority_size(len(remaining)), min(state.min_copies, len(remaining))
    )
