"""Since when a follower is known to hold everything that was committed."""

from datetime import timedelta

from camphorspread.version.replica_events import Send
from camphorspread.version.replica_messages import AnswerTime, AppendRequest, AppendResponse
from camphorspread.version.replica_state import ReplicaState

__all__ = ["answer_append", "count_as_current"]


def answer_append(
    state: ReplicaState,
    leader: str,
    is_matching: bool,
    index: int,
    sent_at: timedelta,
    now: timedelta,
) -> Send:
    """Return the response to entries or a heartbeat, with the time that the leader echoes."""
    answered = AnswerTime(state.incarnation, now)
    return Send(leader, AppendResponse(state.term, is_matching, index, sent_at, answered))


def count_as_current(state: ReplicaState, request: AppendRequest) -> None:
    """Take the catalogue for current as of the time that the leader echoes.

    The arrival of a message doesn't show when it was sent: a partition may have held it. The
    leader had the echoed response before it sent the commit index, so that index is newer than
    the echoed time. A leader that hasn't committed an entry of its own term may not know
    of everything that was committed before it.
    """
    answered = request.answered
    if answered is None or answered.incarnation != state.incarnation:
        return
    committed = state.committed
    if committed.index >= request.commit_index and committed.term == state.term:
        state.current_at = max(state.current_at or answered.sent_at, answered.sent_at)
