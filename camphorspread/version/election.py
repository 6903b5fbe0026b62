"""Elections: pre-votes, votes, bootstrap of the group and the leader lease."""

from datetime import timedelta

from camphorspread.version.changes import apply_change
from camphorspread.version.replica_events import Effect, Send
from camphorspread.version.replica_messages import (
    ChangeEntry,
    IdentityQuery,
    IdentityReply,
    Member,
    MembersEntry,
    NoOp,
    VoteRequest,
    VoteResponse,
    member_id,
)
from camphorspread.version.replica_state import (
    Candidate,
    Follower,
    Leader,
    PreCandidate,
    Progress,
    ReplicaState,
    majority_size,
)
from camphorspread.version.replication import (
    ELECTION_JITTER,
    ELECTION_TIMEOUT,
    adopt_term,
    append_as_leader,
    quorum_contact,
    stop_leading,
)

__all__ = [
    "LEADER_LEASE",
    "handle_identity_reply",
    "handle_vote_request",
    "handle_vote_response",
    "query_identities",
    "start_pre_vote",
    "step_down_without_quorum",
]

# Shorter than the time for which voters refuse other candidates, so that a partitioned leader
# steps down before another one can be elected, even if clock rates differ by up to a quarter.
LEADER_LEASE = timedelta(milliseconds=600)
LEADER_STICKINESS = timedelta(milliseconds=800)
# Longer than a pre-vote with a one-way delay of 55 ms, which takes 220 ms if a connection has to
# be opened first.
ELECTION_RETRY_DELAY = timedelta(milliseconds=300)
ELECTION_RETRY_JITTER = timedelta(milliseconds=300)
IDENTITY_INTERVAL = timedelta(milliseconds=500)


def schedule_election(state: ReplicaState, now: timedelta) -> None:
    """Set the election timeout, after which this replica starts an election."""
    state.election_due = now + ELECTION_TIMEOUT + ELECTION_JITTER * state.jitter


def schedule_election_retry(state: ReplicaState, now: timedelta) -> None:
    """Set the time of the next attempt in case this one gets no majority."""
    state.election_due = now + ELECTION_RETRY_DELAY + ELECTION_RETRY_JITTER * state.jitter


def has_majority(state: ReplicaState, granted: set[str]) -> bool:
    """Return True if these members include a majority of the voters."""
    return len(granted & set(state.voters)) >= majority_size(len(state.voters))


def start_pre_vote(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Start a pre-vote: ask the other voters whether they would vote for this replica."""
    if not state.is_voter or state.storage_fault:
        schedule_election(state, now)
        return []
    schedule_election_retry(state, now)
    state.role = PreCandidate({state.own_id})
    if has_majority(state, state.role.granted):
        return start_election(state, now)
    return request_votes(state, state.voters, state.term + 1, is_pre_vote=True)


def start_election(
    state: ReplicaState, now: timedelta, founding: tuple[Member, ...] = ()
) -> list[Effect]:
    """Become a candidate in a new term, vote for this replica and request the others' votes."""
    schedule_election_retry(state, now)
    effects = adopt_term(state, state.term + 1, state.own_id)
    state.role = Candidate({state.own_id}, founding)
    voters = tuple(member.member_id for member in founding) or state.voters
    effects += request_votes(state, voters, state.term, is_pre_vote=False)
    return effects + lead_if_elected(state, now)


def request_votes(
    state: ReplicaState, voters: tuple[str, ...], term: int, is_pre_vote: bool
) -> list[Effect]:
    """Send a vote request to the other voters."""
    request = VoteRequest(term, state.log.last_index, state.log.last_term, is_pre_vote)
    return [Send(voter, request) for voter in voters if voter != state.own_id]


def handle_vote_request(
    state: ReplicaState, source: str, request: VoteRequest, now: timedelta
) -> list[Effect]:
    """Grant or refuse a vote.

    A replica that isn't a voter according to its own log grants votes too: its log may lack the
    entry that promoted it, and the candidate counts only the voters in the candidate's log.
    """
    has_recent_leader = (
        isinstance(state.role, Leader) or now < state.leader_contact_at + LEADER_STICKINESS
    )
    if has_recent_leader or request.term < state.term or state.storage_fault:
        return [Send(source, VoteResponse(state.term, False, request.is_pre_vote))]
    own_last = (state.log.last_term, state.log.last_index)
    is_granted = (request.last_term, request.last_index) >= own_last
    if request.is_pre_vote:
        is_granted = is_granted and request.term > state.term
        is_granted = is_granted and defer_to(state, source, request, now)
        term = request.term if is_granted else state.term
        return [Send(source, VoteResponse(term, is_granted, True))]
    effects: list[Effect] = []
    if request.term > state.term:
        state.role = Follower()
        effects += adopt_term(state, request.term, source if is_granted else None)
    elif is_granted and state.vote in (None, source):
        effects += adopt_term(state, state.term, source)
    else:
        is_granted = False
    if is_granted:
        schedule_election(state, now)
    return [*effects, Send(source, VoteResponse(state.term, is_granted, False))]


def defer_to(state: ReplicaState, source: str, request: VoteRequest, now: timedelta) -> bool:
    """Postpone this replica's own attempt for another one's pre-vote, unless its own has priority.

    Two replicas that start at the same time would both get a majority of pre-votes and then split
    the votes. The more up-to-date log has priority, then the lower name. This replica defers only
    once to each other one until it hears from a leader, so that a replica that reaches too few
    voters to be elected doesn't block the others forever.

    Returns:
        False if this replica's own attempt has priority.
    """
    if source in state.deferred_to:
        return True
    own = (-state.log.last_term, -state.log.last_index, state.own_id)
    other = (-request.last_term, -request.last_index, source)
    if isinstance(state.role, PreCandidate) and own < other:
        return False
    state.deferred_to.add(source)
    if isinstance(state.role, PreCandidate):
        state.role = Follower()
    schedule_election_retry(state, now)
    return True


def handle_vote_response(
    state: ReplicaState, source: str, response: VoteResponse, now: timedelta
) -> list[Effect]:
    """Count a granted vote or pre-vote."""
    if response.term > state.term and not response.is_granted:
        return [*adopt_term(state, response.term), *stop_leading(state)]
    if not response.is_granted:
        return []
    match state.role:
        case PreCandidate(granted=granted) if response.is_pre_vote:
            if response.term == state.term + 1:
                granted.add(source)
                if has_majority(state, granted):
                    return start_election(state, now)
        case Candidate(granted=granted) if not response.is_pre_vote:
            if response.term == state.term:
                granted.add(source)
                return lead_if_elected(state, now)
    return []


def lead_if_elected(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Become the leader with a majority of votes; the bootstrap needs the votes of all replicas.

    If a majority were enough for the bootstrap, replicas whose disks were replaced meanwhile could
    elect two leaders in the same term.
    """
    match state.role:
        case Candidate(granted=granted, founding=()) if has_majority(state, granted):
            return become_leader(state, NoOp(), now)
        case Candidate(granted=granted, founding=members) if members:
            if granted >= {member.member_id for member in members}:
                return become_leader(state, MembersEntry(members), now)
    return []


def become_leader(state: ReplicaState, payload: object, now: timedelta) -> list[Effect]:
    """Become the leader and append the first entry of the new term."""
    catalogue = state.committed.catalogue
    pending: set[str] = set()
    for entry in state.log.slice(state.committed.index + 1, state.log.last_index):
        if isinstance(entry.payload, ChangeEntry):
            pending.add(entry.payload.request.change_id)
            if entry.payload.error is None:
                catalogue = apply_change(catalogue, entry.payload.request.change)
    first = state.log.last_index + 1
    leader = Leader(first, catalogue, now, now, pending_changes=pending)
    leader.progress = {member: Progress(first, now) for member in state.others}
    state.role = leader
    state.deferred_to.clear()
    _, effects = append_as_leader(state, payload, now)
    return effects


def step_down_without_quorum(state: ReplicaState, leader: Leader, now: timedelta) -> list[Effect]:
    """Step down if the lease has ended without contact to a majority."""
    contact = quorum_contact(state, leader, now)
    state.quorum_contact_at = max(state.quorum_contact_at, contact)
    if now < contact + LEADER_LEASE:
        return []
    schedule_election(state, now)
    return stop_leading(state)


def query_identities(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Query the other replicas in the settings for their identities, to bootstrap the group.

    Only the replica with the lowest name does this. If its data folder is created when the group
    already exists, the other replicas reply that they aren't blank, and it waits to be added.
    """
    state.identities_due = now + IDENTITY_INTERVAL
    if isinstance(state.role, Candidate):
        state.role = Follower()
    if not state.initial or state.own.vm != min(member.vm for member in state.initial):
        return []
    state.identities[state.own.vm] = state.own.identity
    if len(state.identities) == len(state.initial):
        return bootstrap_group(state, now)
    query = IdentityQuery()
    vms = [member.vm for member in state.initial if member.vm not in state.identities]
    return [Send(member_id(vm, ""), query) for vm in vms]


def handle_identity_reply(
    state: ReplicaState, reply: IdentityReply, now: timedelta
) -> list[Effect]:
    """Record the identity of a blank replica and bootstrap the group once all are known."""
    if not state.is_blank or not reply.is_blank:
        state.identities.pop(reply.vm, None)
        return []
    state.identities[reply.vm] = reply.identity
    is_complete = all(member.vm in state.identities for member in state.initial)
    if not is_complete or not isinstance(state.role, Follower):
        return []
    return bootstrap_group(state, now)


def bootstrap_group(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Bootstrap the group: ask all initial replicas to vote for its first leader."""
    members = tuple(
        Member(member.vm, state.identities[member.vm], member.peers, member.operators)
        for member in state.initial
    )
    # The replies may be stale by the next attempt, which queries again.
    state.identities.clear()
    return start_election(state, now, members)
