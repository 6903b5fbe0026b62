"""A control process: listeners and request dispatch."""

import asyncio

from returns.result import Failure

from camphorspread.connection.access_key import check_access_key
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.network import Listener
from camphorspread.connection.server import HttpServer
from camphorspread.process.control_operators import serve_operator
from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event
from camphorspread.process.message_format import check_message_format
from camphorspread.process.poll_listener import serve_poll
from camphorspread.process.replica_shell import ReplicaShell
from camphorspread.process.replica_start import start_replica
from camphorspread.process.shares_listener import serve_renewal
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.replica_codec import encode_replica_value
from camphorspread.version.replica_messages import Envelope

__all__ = ["run_control_node", "start_control_node"]


async def start_control_node(state: ControlState, shell: ReplicaShell) -> tuple[Listener, ...]:
    """Open the listeners of a control process."""

    def log_failure(exc: Exception) -> None:
        state.log.write(Event.HANDLER_FAILED, cause=repr(exc))

    limits = state.settings.limits.connection_limits()
    peers = HttpServer(
        lambda exchange: handle_peer(state, shell, exchange), limits, on_failed=log_failure
    )
    operators = HttpServer(
        lambda exchange: handle_operator(state, shell, exchange), limits, on_failed=log_failure
    )
    return (
        await state.network.listen(state.settings.peers, peers.serve),
        await state.network.listen(state.settings.operators, operators.serve),
    )


async def run_control_node(state: ControlState) -> None:
    """Run a control process until cancelled."""
    shell = start_replica(state)
    listeners: tuple[Listener, ...] = ()
    try:
        listeners = await start_control_node(state, shell)
        state.log.write(Event.PROCESS_STARTED, role="control")
        await asyncio.Event().wait()
    finally:
        for listener in listeners:
            await listener.shutdown()
        await shell.stop()


async def handle_peer(state: ControlState, shell: ReplicaShell, exchange: Exchange) -> None:
    """Handle a request to the peer listener."""
    match check_access_key(exchange.head.headers, state.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    match check_message_format(exchange, state.log, state.refused_formats):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    match exchange.head.method, exchange.head.target:
        case b"POST", b"/v1/catalogue/poll":
            await serve_poll(state, exchange)
        case b"POST", b"/v1/replica/message":
            await serve_message(shell, exchange)
        case b"POST", b"/v1/shares/renew":
            await serve_renewal(state, exchange)
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def serve_message(shell: ReplicaShell, exchange: Exchange) -> None:
    """Handle a message from another replica; the response contains the replies."""
    replies: list[Envelope] = []
    try:
        shell.handle_message(await exchange.read_json(), replies)
    except ValueError as exc:
        refusal = Refusal(ErrorKind.MALFORMED_REQUEST, f"the body isn't a replica message: {exc}")
        await exchange.refuse(refusal)
        return
    await exchange.respond_json(200, [encode_replica_value(reply) for reply in replies])


async def handle_operator(state: ControlState, shell: ReplicaShell, exchange: Exchange) -> None:
    """Handle a request to the operator listener."""
    match check_access_key(exchange.head.headers, state.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    await serve_operator(state, shell, exchange)
