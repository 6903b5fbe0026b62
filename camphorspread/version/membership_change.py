"""Changes of the members of the group, one at a time."""

from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.version.changes import ChangeError, ChangeErrorKind
from camphorspread.version.election import LEADER_LEASE
from camphorspread.version.replica_events import AnswerMembership, Effect
from camphorspread.version.replica_messages import (
    AddLearner,
    Member,
    MembersEntry,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
    member_id,
)
from camphorspread.version.replica_state import Leader, ReplicaState
from camphorspread.version.replication import append_as_leader

__all__ = ["check_membership", "propose_membership"]

# More voters make each commit wait for more disks and tolerate losses that nobody asked for.
MAX_VOTERS = 9


def refuse(field: str, value: str, limit: str) -> Result[tuple[Member, ...], ChangeError]:
    """Return a refusal."""
    return Failure(ChangeError(ChangeErrorKind.INVALID, field, value, limit))


def check_membership(
    state: ReplicaState, leader: Leader, change: MembershipChange, now: timedelta
) -> Result[tuple[Member, ...], ChangeError]:
    """Check a change of the members.

    Args:
        state: The leader's state.
        leader: Its role.
        change: The change.
        now: The present instant.

    Returns:
        The members after the change, or why it isn't possible now.
    """
    if state.committed.index < leader.first_index:
        return refuse("leader", state.own.vm, "a leader that has committed an entry of its term")
    if leader.pending_members:
        return refuse("members", "another change", "one change at a time")
    match change:
        case AddLearner(member=member):
            return check_addition(state, member)
        case PromoteLearner(vm=vm, identity=identity):
            return check_promotion(state, leader, member_id(vm, identity), now)
        case RemoveMember(vm=vm, identity=identity):
            return check_removal(state, member_id(vm, identity))


def check_addition(state: ReplicaState, member: Member) -> Result[tuple[Member, ...], ChangeError]:
    """Check that a new learner is named whole and isn't a member yet."""
    if not member.vm or not member.identity:
        return refuse("member", repr(member.member_id), "a VM and its disk identity")
    if member.member_id in (known.member_id for known in state.members):
        return refuse("member", member.member_id, "a replica that isn't a member yet")
    return Success((*state.members, attrs.evolve(member, is_voter=False)))


def check_promotion(
    state: ReplicaState, leader: Leader, wanted: str, now: timedelta
) -> Result[tuple[Member, ...], ChangeError]:
    """Check that a learner holds everything that is committed, synced, and is in contact.

    With a learner that lags, the loss of one more disk could lose accepted changes.
    """
    learners = {item.member_id for item in state.members if not item.is_voter}
    if wanted not in learners:
        return refuse("member", wanted, f"a learner, one of {sorted(learners)}")
    if len(state.voters) > MAX_VOTERS:
        return refuse("voters", str(len(state.voters) + 1), f"up to {MAX_VOTERS + 1} for a while")
    progress = leader.progress[wanted]
    if progress.match_index < state.committed.index:
        limit = f"{state.committed.index}, the last committed entry"
        return refuse("synced_entry", str(progress.match_index), limit)
    if now - progress.contact > LEADER_LEASE:
        return refuse("last_contact", str(now - progress.contact), f"up to {LEADER_LEASE}")
    return Success(
        tuple(
            attrs.evolve(item, is_voter=True) if item.member_id == wanted else item
            for item in state.members
        )
    )


def check_removal(state: ReplicaState, wanted: str) -> Result[tuple[Member, ...], ChangeError]:
    """Check that a member is known and isn't the leader itself."""
    if wanted not in (item.member_id for item in state.members):
        return refuse("member", wanted, "a member of the group")
    if wanted == state.own_id:
        # Its lease would outlive its membership.
        return refuse("member", wanted, "a replica that doesn't lead; stop its process first")
    return Success(tuple(item for item in state.members if item.member_id != wanted))


def propose_membership(
    state: ReplicaState, change: MembershipChange, now: timedelta
) -> list[Effect]:
    """Append a change of the members, or answer why it isn't possible."""
    leader = state.role
    if not isinstance(leader, Leader):
        return [AnswerMembership(ChangeError(ChangeErrorKind.NOT_LEADER, limit="ask the leader"))]
    match check_membership(state, leader, change, now):
        case Success(members):
            leader.pending_members = state.log.last_index + 1
            _, effects = append_as_leader(state, MembersEntry(members), now)
            return effects
        case Failure(error):
            return [AnswerMembership(error)]
