"""The listener for the project's own processes: passed requests and handovers."""

from urllib.parse import urlsplit

from returns.result import Failure

from camphorspread.connection.access_key import check_access_key
from camphorspread.connection.messages import find_header
from camphorspread.connection.server import Exchange
from camphorspread.process.entry_state import EntryState
from camphorspread.process.handover import HANDOVER_PATH, serve_handover
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.once import serve_at_home
from camphorspread.request.once_key import ONCE_KEY_HEADER
from camphorspread.request.passing import PASS_PREFIX
from camphorspread.request.steer import steer_attempt

__all__ = ["handle_peer"]


async def handle_peer(state: EntryState, exchange: Exchange) -> None:
    """Serve one exchange of the peers' listener."""
    match check_access_key(exchange.head.headers, state.link.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    target = exchange.head.target.decode("ascii", "replace")
    path = urlsplit(target).path
    has_key = find_header(exchange.head.headers, ONCE_KEY_HEADER) is not None
    if path == HANDOVER_PATH and exchange.head.method == b"POST":
        await serve_handover(state, exchange)
    elif path.startswith(PASS_PREFIX) and has_key:
        service, _, _ = path.removeprefix(PASS_PREFIX).partition("/")
        rest = target.removeprefix(PASS_PREFIX + service) or "/"
        await serve_at_home(state, exchange, service, rest.encode(), steer_attempt)
    else:
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
