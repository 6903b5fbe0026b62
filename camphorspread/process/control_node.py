"""A control process: its listeners and their handlers."""

import asyncio

from returns.result import Failure, Success

from camphorspread.connection.access_key import check_access_key
from camphorspread.connection.network import Listener
from camphorspread.connection.server import Exchange, HttpServer
from camphorspread.process.control_records import describe_history
from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event
from camphorspread.process.poll_listener import serve_acknowledgements, serve_poll
from camphorspread.process.shares_listener import serve_renewal
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.changes import ChangeError, apply_change, check_change
from camphorspread.version.codec import decode_change_request, encode
from camphorspread.version.delivery import record_change
from camphorspread.version.share_allocator import observe_catalogue

__all__ = ["run_control_node", "start_control_node"]


async def start_control_node(state: ControlState) -> tuple[Listener, ...]:
    """Open the listeners of a control process."""

    def log_failure(exc: Exception) -> None:
        state.log.write(Event.HANDLER_FAILED, cause=repr(exc))

    peers = HttpServer(lambda exchange: handle_peer(state, exchange), on_failed=log_failure)
    operators = HttpServer(lambda exchange: handle_operator(state, exchange), on_failed=log_failure)
    return (
        await state.network.listen(state.settings.peers, peers.serve),
        await state.network.listen(state.settings.operators, operators.serve),
    )


async def run_control_node(state: ControlState) -> None:
    """Run a control process until cancelled."""
    listeners = await start_control_node(state)
    state.log.write(Event.PROCESS_STARTED, role="control")
    try:
        await asyncio.Event().wait()
    finally:
        for listener in listeners:
            await listener.end()


async def handle_peer(state: ControlState, exchange: Exchange) -> None:
    """Serve one exchange of the peers' listener."""
    match check_access_key(exchange.head.headers, state.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    match exchange.head.method, exchange.head.target:
        case b"POST", b"/v1/catalogue/poll":
            await serve_poll(state, exchange)
        case b"POST", b"/v1/shares/renew":
            await serve_renewal(state, exchange)
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def handle_operator(state: ControlState, exchange: Exchange) -> None:
    """Serve one exchange of the operators' listener."""
    match check_access_key(exchange.head.headers, state.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    match exchange.head.method, exchange.head.target:
        case b"GET", b"/v1/catalogue":
            await exchange.respond_json(200, encode(state.catalogue))
        case b"GET", b"/v1/catalogue/history":
            await exchange.respond_json(200, describe_history(state.records))
        case b"GET", b"/v1/acknowledgements":
            await serve_acknowledgements(state, exchange)
        case b"GET", b"/v1/status":
            await exchange.respond_json(200, describe_status(state))
        case b"POST", b"/v1/catalogue/changes":
            await serve_change(state, exchange)
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


def describe_status(state: ControlState) -> dict[str, object]:
    """Return the status of this control process."""
    return {
        "vm": state.settings.place.vm,
        "role": "leader" if state.view.is_leader else "follower",
        "version": state.catalogue.version,
        "leader": state.view.leader,
    }


async def serve_change(state: ControlState, exchange: Exchange) -> None:
    """Accept or refuse a change."""
    decoded = decode_change_request(await exchange.read_json())
    match decoded:
        case Success(request):
            checked = check_change(state.catalogue, request)
        case failure:
            checked = failure
    match checked:
        case Failure(error):
            await respond_error(state, exchange, error)
            return
    request = decoded.unwrap()
    state.catalogue = apply_change(state.catalogue, request.change)
    record_change(state.delivery, state.catalogue.version, request.change)
    observe_catalogue(state.allocator, state.catalogue, state.clock.monotonic())
    state.records.accept(state.catalogue.version, request)
    state.log.write(Event.CHANGE_ACCEPTED, version=state.catalogue.version)
    state.changed.set()
    state.changed = asyncio.Event()
    await exchange.respond_json(200, {"version": state.catalogue.version})


async def respond_error(state: ControlState, exchange: Exchange, error: ChangeError) -> None:
    """Tell the operator why a change isn't accepted."""
    state.log.write(Event.CHANGE_REFUSED, kind=error.kind.value, field=error.field)
    value = {"error": error.kind.value, "message": error.message, **encode(error)}
    await exchange.respond_json(409, value)
