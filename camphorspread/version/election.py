"""Elections: pre-votes, votes, the founding of the group and the leader's lease."""

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
    quorum,
)
from camphorspread.version.replication import (
    ELECTION_SPREAD,
    ELECTION_WAIT,
    adopt_term,
    append_as_leader,
    quorum_contact,
    stop_leading,
)

__all__ = [
    "LEADER_LEASE",
    "answer_vote",
    "count_vote",
    "query_identities",
    "start_pre_vote",
    "step_down_if_alone",
    "take_identity",
]

# Shorter than the time for which voters refuse other candidates, so that a leader that is cut
# off steps down before another one can be chosen, with clocks that differ by up to a quarter.
LEADER_LEASE = timedelta(milliseconds=600)
QUIET_TIME = timedelta(milliseconds=800)
# Longer than a pre-vote at 55 ms one way, 220 ms over a connection that has to be opened first.
RETRY_WAIT = timedelta(milliseconds=300)
RETRY_SPREAD = timedelta(milliseconds=300)
IDENTITY_INTERVAL = timedelta(milliseconds=500)


def schedule_election(state: ReplicaState, now: timedelta) -> None:
    """Set the time of the next election unless a leader is heard before."""
    state.election_due = now + ELECTION_WAIT + ELECTION_SPREAD * state.jitter


def schedule_retry(state: ReplicaState, now: timedelta) -> None:
    """Set the time of the next attempt in case this one finds no majority."""
    state.election_due = now + RETRY_WAIT + RETRY_SPREAD * state.jitter


def has_majority(state: ReplicaState, granted: set[str]) -> bool:
    """Return True if these members are a majority of the voters."""
    return len(granted & set(state.voters)) >= quorum(len(state.voters))


def start_pre_vote(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Ask the other voters whether they would vote for this replica."""
    if not state.is_voter or state.storage_fault:
        schedule_election(state, now)
        return []
    schedule_retry(state, now)
    state.role = PreCandidate({state.own_id})
    if has_majority(state, state.role.granted):
        return start_election(state, now)
    return request_votes(state, state.voters, state.term + 1, is_pre_vote=True)


def start_election(
    state: ReplicaState, now: timedelta, founding: tuple[Member, ...] = ()
) -> list[Effect]:
    """Vote for this replica in a new term and ask the others to."""
    schedule_retry(state, now)
    effects = adopt_term(state, state.term + 1, state.own_id)
    state.role = Candidate({state.own_id}, founding)
    voters = tuple(member.member_id for member in founding) or state.voters
    effects += request_votes(state, voters, state.term, is_pre_vote=False)
    return effects + lead_if_elected(state, now)


def request_votes(
    state: ReplicaState, voters: tuple[str, ...], term: int, is_pre_vote: bool
) -> list[Effect]:
    """Ask the other voters for their votes."""
    request = VoteRequest(term, state.log.last_index, state.log.last_term, is_pre_vote)
    return [Send(voter, request) for voter in voters if voter != state.own_id]


def answer_vote(
    state: ReplicaState, source: str, request: VoteRequest, now: timedelta
) -> list[Effect]:
    """Grant or refuse a vote.

    A replica that isn't a voter in its own log grants votes as well: its log may lack the
    entry that promoted it, and the candidate counts only those whom its log lists.
    """
    is_quiet = isinstance(state.role, Leader) or now < state.leader_heard + QUIET_TIME
    if is_quiet or request.term < state.term or state.storage_fault:
        return [Send(source, VoteResponse(state.term, False, request.is_pre_vote))]
    own_last = (state.log.last_term, state.log.last_index)
    is_granted = (request.last_term, request.last_index) >= own_last
    if request.is_pre_vote:
        is_granted = is_granted and request.term > state.term
        is_granted = is_granted and give_way(state, source, request, now)
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


def give_way(state: ReplicaState, source: str, request: VoteRequest, now: timedelta) -> bool:
    """Return False if this replica's own attempt goes before another one's; else put it off.

    Two replicas that ask at the same time would both find a majority for their pre-votes and
    then split the votes. The longer log goes first, then the lower name. Each other replica is
    given way to once until a leader is heard, so that one that can't be elected, because
    it reaches too few voters, doesn't hold up the others for ever.
    """
    if source in state.given_way:
        return True
    own = (-state.log.last_term, -state.log.last_index, state.own_id)
    other = (-request.last_term, -request.last_index, source)
    if isinstance(state.role, PreCandidate) and own < other:
        return False
    state.given_way.add(source)
    if isinstance(state.role, PreCandidate):
        state.role = Follower()
    schedule_retry(state, now)
    return True


def count_vote(
    state: ReplicaState, source: str, response: VoteResponse, now: timedelta
) -> list[Effect]:
    """Count a vote or pre-vote."""
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
    """Become the leader with enough votes; the founder needs all of them.

    With a majority only, two founders whose disks were replaced in between could each find
    votes in the same term.
    """
    match state.role:
        case Candidate(granted=granted, founding=()) if has_majority(state, granted):
            return become_leader(state, NoOp(), now)
        case Candidate(granted=granted, founding=members) if members:
            if granted >= {member.member_id for member in members}:
                return become_leader(state, MembersEntry(members), now)
    return []


def become_leader(state: ReplicaState, payload: object, now: timedelta) -> list[Effect]:
    """Lead, and append a first entry of the new term."""
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
    state.given_way.clear()
    _, effects = append_as_leader(state, payload, now)
    return effects


def step_down_if_alone(state: ReplicaState, leader: Leader, now: timedelta) -> list[Effect]:
    """Stop leading if a majority hasn't been heard within the lease."""
    contact = quorum_contact(state, leader, now)
    state.quorum_heard = max(state.quorum_heard, contact)
    if now < contact + LEADER_LEASE:
        return []
    schedule_election(state, now)
    return stop_leading(state)


def query_identities(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Look for the other blank replicas of the settings, to form the group at the first start.

    The one with the lowest name does so. A replica whose folder is created when the group
    already exists gets no reply that is blank from the others and waits to be added.
    """
    state.identities_due = now + IDENTITY_INTERVAL
    if isinstance(state.role, Candidate):
        state.role = Follower()
    if not state.initial or state.own.vm != min(member.vm for member in state.initial):
        return []
    state.identities[state.own.vm] = state.own.identity
    if len(state.identities) == len(state.initial):
        return found_group(state, now)
    query = IdentityQuery()
    vms = [member.vm for member in state.initial if member.vm not in state.identities]
    return [Send(member_id(vm, ""), query) for vm in vms]


def take_identity(state: ReplicaState, reply: IdentityReply, now: timedelta) -> list[Effect]:
    """Take the identity of a blank replica."""
    if not state.is_blank or not reply.is_blank:
        state.identities.pop(reply.vm, None)
        return []
    state.identities[reply.vm] = reply.identity
    is_complete = all(member.vm in state.identities for member in state.initial)
    if not is_complete or not isinstance(state.role, Follower):
        return []
    return found_group(state, now)


def found_group(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Ask all initial replicas to vote for the first leader of the group."""
    members = tuple(
        Member(member.vm, state.identities[member.vm], member.peers, member.operators)
        for member in state.initial
    )
    # The replies may be outdated by the next attempt, which asks again.
    state.identities.clear()
    return start_election(state, now, members)
