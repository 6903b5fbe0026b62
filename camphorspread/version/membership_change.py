"""Membership changes of the group, one at a time."""

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

# With more voters each commit waits for more disks, for a fault tolerance beyond what is required.
MAX_VOTERS = 9


def make_refusal(field: str, value: str, limit: str) -> Result[tuple[Member, ...], ChangeError]:
    """Return the refusal of a membership change."""
    return Failure(ChangeError(ChangeErrorKind.INVALID, field, value, limit))


def check_membership(
    state: ReplicaState, leader: Leader, change: MembershipChange, now: timedelta
) -> Result[tuple[Member, ...], ChangeError]:
    """Validate a membership change.

    Args:
        state: Replica state of the leader.
        leader: Leader role of the state.
        change: The change.
        now: Current instant.

    Returns:
        The members after the change, or why the change isn't possible now.
    """
    if state.committed.index < leader.first_index:
        return make_refusal(
            "leader", state.own.vm, "a leader that has committed an entry of its term"
        )
    if leader.pending_members:
        return make_refusal("members", "another change", "one change at a time")
    match change:
        case AddLearner(member=member):
            return check_addition(state, member)
        case PromoteLearner(vm=vm, identity=identity):
            return check_promotion(state, leader, member_id(vm, identity), now)
        case RemoveMember(vm=vm, identity=identity):
            return check_removal(state, member_id(vm, identity))


def check_addition(state: ReplicaState, member: Member) -> Result[tuple[Member, ...], ChangeError]:
    """Check that a new learner has both VM and identity and isn't a member yet."""
    if not member.vm or not member.identity:
        return make_refusal("member", repr(member.member_id), "a VM and its disk identity")
    if member.member_id in (known.member_id for known in state.members):
        return make_refusal("member", member.member_id, "a replica that isn't a member yet")
    return Success((*state.members, attrs.evolve(member, is_voter=False)))


def check_promotion(
    state: ReplicaState, leader: Leader, target_id: str, now: timedelta
) -> Result[tuple[Member, ...], ChangeError]:
    """Check that a learner has synced everything that is committed and is in contact.

    If a lagging learner were promoted, the loss of one more disk could lose accepted changes.
    """
    learners = {item.member_id for item in state.members if not item.is_voter}
    if target_id not in learners:
        return make_refusal("member", target_id, f"a learner, one of {sorted(learners)}")
    if len(state.voters) > MAX_VOTERS:
        return make_refusal(
            "voters", str(len(state.voters) + 1), f"up to {MAX_VOTERS + 1} temporarily"
        )
    progress = leader.progress[target_id]
    if progress.match_index < state.committed.index:
        limit = f"{state.committed.index}, the last committed entry"
        return make_refusal("synced_entry", str(progress.match_index), limit)
    if now - progress.contact > LEADER_LEASE:
        return make_refusal("last_contact", str(now - progress.contact), f"up to {LEADER_LEASE}")
    return Success(
        tuple(
            attrs.evolve(item, is_voter=True) if item.member_id == target_id else item
            for item in state.members
        )
    )


def check_removal(state: ReplicaState, target_id: str) -> Result[tuple[Member, ...], ChangeError]:
    """Check that a member is known and isn't the leader itself."""
    if target_id not in (item.member_id for item in state.members):
        return make_refusal("member", target_id, "a member of the group")
    if target_id == state.own_id:
        # The lease of a leader would outlive its membership.
        return make_refusal(
            "member", target_id, "a replica that doesn't lead; stop its process first"
        )
    return Success(tuple(item for item in state.members if item.member_id != target_id))


def propose_membership(
    state: ReplicaState, change: MembershipChange, now: timedelta
) -> list[Effect]:
    """Append a membership change to the log, or answer why it isn't possible."""
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
