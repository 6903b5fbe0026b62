"""Snapshots: taking, sending in chunks, and installing."""

from datetime import timedelta

from camphorspread.version.replica_events import (
    CatalogueCommitted,
    CompactLog,
    Effect,
    InstallSnapshot,
    Send,
)
from camphorspread.version.replica_messages import (
    AppendResponse,
    Snapshot,
    SnapshotChunk,
    SnapshotResponse,
)
from camphorspread.version.replica_state import Leader, Progress, ReplicaState, restore_committed

__all__ = [
    "handle_snapshot_chunk",
    "handle_snapshot_response",
    "install_snapshot",
    "load_snapshot",
    "record_snapshot",
    "send_chunk",
]

# A chunk is sent again if there is no response within this time.
CHUNK_RETRY = timedelta(milliseconds=600)


def send_chunk(
    state: ReplicaState, member: str, progress: Progress, now: timedelta
) -> list[Effect]:
    """Send the next chunk of the newest snapshot, unless one awaits its response."""
    if progress.chunk_offset is not None and now - progress.chunk_sent < CHUNK_RETRY:
        return []
    offset = progress.chunk_offset or 0
    progress.chunk_offset = offset
    progress.chunk_sent = now
    chunk = SnapshotChunk(
        state.term,
        state.snapshot_index,
        offset,
        len(state.snapshot_data),
        state.snapshot_data[offset : offset + state.limits.chunk_bytes],
        now,
    )
    return [Send(member, chunk)]


def handle_snapshot_chunk(state: ReplicaState, source: str, chunk: SnapshotChunk) -> list[Effect]:
    """Handle a snapshot chunk from the current leader."""
    if state.storage_fault:
        return []
    if chunk.index <= state.committed.index:
        state.verified_index = max(state.verified_index, chunk.index)
        index = min(state.verified_index, state.synced_index)
        return [Send(source, AppendResponse(state.term, True, index, chunk.sent_at))]
    if chunk.index != state.incoming_index:
        state.incoming_index = chunk.index
        state.incoming.clear()
    if chunk.offset == len(state.incoming):
        state.incoming += chunk.data
    if len(state.incoming) == chunk.total:
        data = bytes(state.incoming)
        state.incoming.clear()
        state.incoming_index = 0
        return [InstallSnapshot(data)]
    response = SnapshotResponse(state.term, chunk.index, len(state.incoming), chunk.sent_at)
    return [Send(source, response)]


def handle_snapshot_response(
    state: ReplicaState, source: str, response: SnapshotResponse, now: timedelta
) -> list[Effect]:
    """Handle a snapshot response: send the chunk after what the replica has received."""
    leader = state.role
    if not isinstance(leader, Leader) or response.term != state.term:
        return []
    progress = leader.progress.get(source)
    if progress is None or progress.chunk_offset is None:
        return []
    progress.contact = max(progress.contact, response.sent_at)
    is_current = response.index == state.snapshot_index
    offset = response.received if is_current else 0
    if offset == progress.chunk_offset and is_current:
        return []
    progress.chunk_offset = offset
    progress.chunk_sent = now - CHUNK_RETRY
    return send_chunk(state, source, progress, now)


def load_snapshot(state: ReplicaState, snapshot: Snapshot, data: bytes) -> None:
    """Replace the committed state by that of a snapshot."""
    state.committed = restore_committed(snapshot)
    state.snapshot_index, state.snapshot_term = snapshot.index, snapshot.term
    state.snapshot_data = data
    state.size_since_snapshot = 0


def install_snapshot(state: ReplicaState, snapshot: Snapshot, data: bytes) -> list[Effect]:
    """Replace the committed state by a received snapshot, and drop the log entries it covers."""
    if snapshot.index <= state.committed.index:
        return []
    load_snapshot(state, snapshot, data)
    log = state.log
    if log.term_at(snapshot.index) != snapshot.term:
        log.entries.clear()
        log.base_index, log.base_term = snapshot.index, snapshot.term
    # The leader gets the acknowledgement when the remaining log is synced.
    state.verified_index = max(state.verified_index, snapshot.index)
    return [CatalogueCommitted(), *compact_log(state, snapshot.index)]


def record_snapshot(state: ReplicaState, snapshot: Snapshot, data: bytes) -> list[Effect]:
    """Compact the log after a snapshot was stored, but retain the newest entries."""
    state.snapshot_index, state.snapshot_term = snapshot.index, snapshot.term
    state.snapshot_data = data
    state.size_since_snapshot = 0
    limits = state.limits
    first = state.log.find_retained(snapshot.index, limits.retained, limits.retained_size)
    return compact_log(state, max(first, state.log.base_index))


def compact_log(state: ReplicaState, index: int) -> list[Effect]:
    """Drop the entries up to `index`; rewriting the log makes the remaining ones durable."""
    state.log.compact(index)
    state.members = state.find_members()
    state.synced_index = min(state.synced_index, state.log.last_index)
    state.written += 1
    state.unsynced.clear()
    state.unsynced.append([state.written, state.log.last_index])
    entries = tuple(state.log.entries)
    return [CompactLog(state.log.base_index, state.log.base_term, entries, state.written)]
