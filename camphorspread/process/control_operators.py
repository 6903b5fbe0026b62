"""Operator API of a control process."""

from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import LinkError
from camphorspread.connection.messages import ResponseHead
from camphorspread.connection.network import Address
from camphorspread.process.control_metrics import format_control_metrics
from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event
from camphorspread.process.metrics import METRICS_TYPE
from camphorspread.process.poll_listener import serve_acknowledgements
from camphorspread.process.replica_shell import CHANGE_TIMEOUT, ReplicaShell
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.changes import ChangeError, ChangeErrorKind
from camphorspread.version.codec import decode_change_request, encode
from camphorspread.version.replica_codec import decode_membership_change
from camphorspread.version.replica_messages import ChangeEntry, ChangeOutcome
from camphorspread.version.replica_state import Leader

__all__ = ["serve_operator"]

HISTORY_LENGTH = 200
FORWARDED_QUERY = b"?forwarded=1"
RETRIABLE_KINDS = frozenset(
    {ChangeErrorKind.NOT_LEADER, ChangeErrorKind.NO_QUORUM, ChangeErrorKind.DISK_FULL}
)


async def serve_operator(control: ControlState, shell: ReplicaShell, exchange: Exchange) -> None:
    """Handle a request to the operator listener after its access key was checked."""
    match exchange.head.method, exchange.head.target.removesuffix(FORWARDED_QUERY):
        case b"GET", b"/v1/catalogue":
            await exchange.respond_json(200, encode(control.catalogue))
        case b"GET", b"/v1/catalogue/history":
            await exchange.respond_json(200, list_history(shell))
        case b"GET", b"/v1/acknowledgements":
            await serve_acknowledgements(control, exchange)
        case b"GET", b"/v1/status":
            await exchange.respond_json(200, describe_status(control, shell))
        case b"GET", b"/metrics":
            await serve_metrics(control, shell, exchange)
        case b"POST", b"/v1/catalogue/changes":
            await serve_change(control, shell, exchange)
        case b"POST", b"/v1/members":
            await serve_membership(control, shell, exchange)
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def serve_metrics(control: ControlState, shell: ReplicaShell, exchange: Exchange) -> None:
    """Serve `GET /metrics`."""
    text = format_control_metrics(
        control.metrics,
        shell.state,
        control.delivery,
        shell.storage.log_bytes,
        control.clock.monotonic(),
    )
    head = ResponseHead(200, ((b"content-type", METRICS_TYPE),))
    await exchange.respond(head, text.encode())


async def serve_change(control: ControlState, shell: ReplicaShell, exchange: Exchange) -> None:
    """Serve `POST /v1/catalogue/changes`: propose a change, or forward it to the leader."""
    value = await exchange.read_json()
    match decode_change_request(value):
        case Success(request):
            outcome = await shell.propose(request)
        case Failure(error):
            outcome = error
    match outcome:
        case ChangeOutcome(error=None, version=version):
            await exchange.respond_json(200, {"version": version})
        case ChangeOutcome(error=error):
            await respond_error(control, exchange, error)
        case ChangeError(kind=ChangeErrorKind.NOT_LEADER):
            await forward(control, shell, exchange, value)
        case error:
            await respond_error(control, exchange, error)


async def serve_membership(control: ControlState, shell: ReplicaShell, exchange: Exchange) -> None:
    """Serve `POST /v1/members`: propose a membership change, or forward it to the leader."""
    value = await exchange.read_json()
    match decode_membership_change(value):
        case Success(change):
            error = await shell.propose_membership(change)
        case Failure(fault):
            error = fault
    match error:
        case None:
            members = encode(shell.state.members)
            await exchange.respond_json(200, {"members": members})
        case ChangeError(kind=ChangeErrorKind.NOT_LEADER):
            await forward(control, shell, exchange, value)
        case _:
            await respond_error(control, exchange, error)


def find_leader_address(control: ControlState, shell: ReplicaShell) -> Address | None:
    """Return the leader's address for operators, None if no leader is known."""
    leader = control.view.leader
    return next((item.operators for item in shell.state.members if item.vm == leader), None)


async def forward(
    control: ControlState, shell: ReplicaShell, exchange: Exchange, value: object
) -> None:
    """Forward a change to the leader, at most once, and relay the response."""
    address = find_leader_address(control, shell)
    target = exchange.head.target
    if address is None or target.endswith(FORWARDED_QUERY):
        limit = f"the leader at {address}" if address else "no leader is known"
        error = ChangeError(ChangeErrorKind.NOT_LEADER, "leader", str(address or ""), limit)
        await respond_error(control, exchange, error)
        return
    try:
        response = await control.link.call(
            address, "POST", (target + FORWARDED_QUERY).decode(), value, CHANGE_TIMEOUT
        )
    except LinkError as exc:
        limit = f"the outcome is unknown; resend the same change ({exc})"
        error = ChangeError(ChangeErrorKind.NO_QUORUM, "leader", str(address), limit)
        await respond_error(control, exchange, error)
        return
    await exchange.respond_json(response.status, response.value)


async def respond_error(control: ControlState, exchange: Exchange, error: ChangeError) -> None:
    """Log a refused change and respond with the error."""
    control.log.write(Event.CHANGE_REFUSED, kind=error.kind.value, field=error.field)
    value = {"error": error.kind.value, "message": error.message, **encode(error)}
    await exchange.respond_json(503 if error.kind in RETRIABLE_KINDS else 409, value)


def list_history(shell: ReplicaShell) -> list[dict[str, object]]:
    """Return the newest accepted changes, newest first.

    A change is listed in full while it is in the log; after that only its description is known.
    """
    payloads = (entry.payload for entry in shell.state.log.entries)
    requests = {
        item.request.change_id: encode(item.request)
        for item in payloads
        if isinstance(item, ChangeEntry)
    }
    outcomes = reversed(shell.state.committed.outcomes.values())
    accepted = (outcome for outcome in outcomes if outcome.error is None)
    return [
        {
            "version": outcome.version,
            "time": outcome.time,
            "operator": outcome.operator,
            "change_id": outcome.change_id,
            "description": outcome.description,
            **requests.get(outcome.change_id, {}),
        }
        for outcome, _ in zip(accepted, range(HISTORY_LENGTH), strict=False)
    ]


def describe_status(control: ControlState, shell: ReplicaShell) -> dict[str, object]:
    """Return the status of this replica and the group, for operators."""
    state, now = shell.state, control.clock.monotonic()
    view = control.view
    members = []
    for member in state.members:
        described = {"vm": member.vm, "identity": member.identity, "is_voter": member.is_voter}
        if isinstance(state.role, Leader) and member.member_id in state.role.progress:
            progress = state.role.progress[member.member_id]
            described["synced_entry"] = progress.match_index
            described["last_contact_ms"] = int((now - progress.contact).total_seconds() * 1000)
        elif member.member_id == state.own_id:
            described["synced_entry"] = state.synced_index
        members.append(described)
    return {
        "vm": state.own.vm,
        "identity": state.own.identity,
        "role": type(state.role).__name__.lower(),
        "term": state.term,
        "leader": view.leader,
        "leader_operators": str(find_leader_address(control, shell) or ""),
        "is_ready": view.is_leader and view.has_own_term_entry and view.lease_end > now,
        "version": control.catalogue.version,
        "committed_entry": state.committed.index,
        "last_contact_ms": int((now - state.quorum_contact_at).total_seconds() * 1000),
        "is_isolated": shell.is_isolated,
        "storage_fault": state.storage_fault,
        "members": members,
    }
