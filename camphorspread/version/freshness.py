"""Up to which instant a follower is known to hold everything that was committed."""

from datetime import timedelta

from camphorspread.version.replica_events import Send
from camphorspread.version.replica_messages import AnswerTime, AppendRequest, AppendResponse
from camphorspread.version.replica_state import ReplicaState

__all__ = ["make_append_response", "record_freshness"]


def make_append_response(
    state: ReplicaState,
    leader: str,
    is_matching: bool,
    index: int,
    sent_at: timedelta,
    now: timedelta,
) -> Send:
    """Return the response to an append request, with a timestamp that the leader echoes."""
    answered = AnswerTime(state.incarnation, now)
    return Send(leader, AppendResponse(state.term, is_matching, index, sent_at, answered))


def record_freshness(state: ReplicaState, request: AppendRequest) -> None:
    """Record that the catalogue is current as of the timestamp that the leader echoes.

    The arrival time of a message doesn't show when it was sent, because a partition may have
    delayed it. The leader had received the echoed response before it sent the commit index, so
    that index is newer than the echoed timestamp. A leader that hasn't committed an entry of its
    own term may not know of everything that was committed before.
    """
    answered = request.answered
    if answered is None or answered.incarnation != state.incarnation:
        return
    committed = state.committed
    if committed.index >= request.commit_index and committed.term == state.term:
        state.current_as_of = max(state.current_as_of or answered.sent_at, answered.sent_at)
