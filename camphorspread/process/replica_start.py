"""Start of a replica from its data folder."""

from datetime import timedelta
from pathlib import Path

from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event
from camphorspread.process.replica_shell import ReplicaShell
from camphorspread.process.replica_transport import ReplicaTransport
from camphorspread.version.format import FORMAT, FormatError
from camphorspread.version.log_file import LogCorruptedError
from camphorspread.version.replica import StoredState, make_replica
from camphorspread.version.replica_messages import Member
from camphorspread.version.replica_storage import MemoryStorage, ReplicaStorage, open_folder
from camphorspread.version.share_allocator import observe_catalogue

__all__ = ["start_replica"]


def start_replica(
    control: ControlState, min_copies: int = 1, started: timedelta | None = None
) -> ReplicaShell:
    """Start the replica of a control process from its data folder.

    Args:
        control: State of the control process.
        min_copies: Disks on which an entry must be synced before it is committed.
        started: When the process started, if this is its first replica; None means now.

    Raises:
        FormatError: A file in the data folder has another major format version.
        LogCorruptedError: A file in the data folder is damaged.
        OSError: The data folder can't be used.
    """
    settings = control.settings
    identity = f"{control.rng.getrandbits(64):016x}"
    storage: ReplicaStorage = MemoryStorage()
    stored = StoredState(identity)
    if settings.data_folder:
        try:
            storage, stored = open_folder(Path(settings.data_folder), identity, control.file_calls)
        except FormatError as exc:
            folder = settings.data_folder
            control.log.write(Event.FORMAT_REFUSED, source=folder, given=exc.given, read=FORMAT)
            raise
        except (LogCorruptedError, OSError) as exc:
            control.log.write(Event.STORAGE_FAILED, cause=str(exc))
            raise
    own = Member(settings.place.vm, stored.identity, settings.peers, settings.operators)
    initial = tuple(Member(item.vm, "", item.peers, item.operators) for item in settings.replicas)
    now = control.clock.monotonic()
    jitter, incarnation = control.rng.random(), control.rng.getrandbits(32)
    state = make_replica(
        own,
        initial,
        stored,
        jitter,
        now,
        incarnation,
        min_copies,
        now if started is None else started,
    )
    if state.log.base_index != stored.base_index:
        storage.compact(state.log.base_index, state.log.base_term, tuple(state.log.entries))
    control.catalogue = state.committed.catalogue
    observe_catalogue(control.allocator, control.catalogue, now)
    shell = ReplicaShell(control, state, storage, ReplicaTransport(control.link))
    shell.wake()
    return shell
