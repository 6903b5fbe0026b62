"""Executes operators' changes of the replicated catalogue, and linearizable reads of it."""

import asyncio
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.events import Event
from camphorspread.process.steering_control import SteeringControl, wait_until_in_force
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import (
    ANY_VERSION,
    Change,
    ChangeError,
    ChangeErrorKind,
    ChangeRequest,
)
from camphorspread.version.replica_messages import ChangeOutcome
from camphorspread.version.replica_state import Leader
from camphorspread.version.replication import quorum_contact

__all__ = [
    "OperationDone",
    "OperationOutcomeUnknown",
    "OperationRedirected",
    "OperationResult",
    "execute_operation",
    "read_newest",
]

OPERATOR = "operator"
# An accepted change is normally in force everywhere after a round trip between regions and
# NEAREST_WAIT of the entry VMs. The operator waits a second for the response.
IN_FORCE_TIMEOUT = timedelta(milliseconds=500)
# Entry VMs that a log line names.
MAX_LOGGED_VMS = 10
# An operator waits a second and then asks another VM.
READ_TIMEOUT = timedelta(milliseconds=900)
READ_CHECK_INTERVAL = timedelta(milliseconds=10)


@attrs.frozen
class OperationDone:
    """The change is accepted and stored, or the catalogue that was read is the newest."""


@attrs.frozen
class OperationRedirected:
    """Only the leader can execute the operation.

    Attributes:
        address: Where the leader listens for operators.
    """

    address: Address


@attrs.frozen
class OperationOutcomeUnknown:
    """The outcome of the operation is unknown; it may be sent again."""

    cause: str


OperationResult = OperationDone | OperationRedirected | OperationOutcomeUnknown


async def execute_operation(
    steering: SteeringControl, change: Change, operation_id: str
) -> OperationResult:
    """Propose a change to the group and wait until it is accepted and in force.

    Control VMs may be lost just after the response. An entry VM that hasn't received the change by
    then would have to wait until a majority of them is back. An entry VM that doesn't respond
    delays the response by `IN_FORCE_TIMEOUT` at most.

    Args:
        steering: State of the control VM.
        change: The change.
        operation_id: Identifier of the operation; a repeat with the same one gets the first
            outcome.
    """
    request = ChangeRequest(operation_id, ANY_VERSION, OPERATOR, change)
    match await steering.shell.propose(request):
        case ChangeOutcome(error=None, version=version):
            lagging = await wait_until_in_force(steering, version, IN_FORCE_TIMEOUT)
            if lagging:
                steering.control.log.write(
                    Event.CHANGE_UNCONFIRMED,
                    version=version,
                    count=len(lagging),
                    vms=lagging[:MAX_LOGGED_VMS],
                )
            return OperationDone()
        case ChangeOutcome(error=ChangeError(kind=ChangeErrorKind.NOT_FOUND)):
            # An entry that is to be removed and doesn't exist was removed before.
            return OperationDone()
        case ChangeError(kind=ChangeErrorKind.NOT_LEADER):
            return redirect_to_leader(steering)
        case ChangeOutcome(error=error) | error:
            steering.control.log.write(
                Event.ORDER_UNANSWERED, order=operation_id, cause=error.message
            )
            return OperationOutcomeUnknown(error.message)


def redirect_to_leader(steering: SteeringControl) -> OperationResult:
    """Return a redirect to the leader, if one is known."""
    leader = steering.control.view.leader
    for member in steering.shell.state.members:
        if member.vm == leader and member.vm != steering.shell.state.own.vm:
            return OperationRedirected(member.operators)
    return OperationOutcomeUnknown("no leader is known")


async def read_newest(steering: SteeringControl) -> tuple[OperationResult, Catalogue]:
    """Return the catalogue once a quorum has confirmed that it was the newest at the call.

    The leader waits until a majority has responded to messages that it sent after the call arrived.
    This doesn't depend on clocks, so a leader that was suspended can't return stale state.
    """
    clock = steering.control.clock
    state = steering.shell.state
    called_at = clock.monotonic()
    term = state.term
    while clock.monotonic() - called_at < READ_TIMEOUT:
        leader = state.role
        if not isinstance(leader, Leader) or state.term != term:
            return redirect_to_leader(steering), steering.control.catalogue
        now = clock.monotonic()
        is_ready = state.committed.index >= leader.first_index
        if is_ready and quorum_contact(state, leader, now) > called_at:
            return OperationDone(), state.committed.catalogue
        await asyncio.sleep(READ_CHECK_INTERVAL.total_seconds())
    return OperationOutcomeUnknown("no majority has responded"), steering.control.catalogue
