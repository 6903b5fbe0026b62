"""Sends one request on one connection and reads its response, up to a size whole.

A response is held back until it has arrived whole, so that a truncated one can be told from a
complete one and an idempotent request can be sent again. Larger ones are handed on as a stream.
"""

from collections.abc import Awaitable, Callable

import attrs

from camphorspread.connection.client import (
    ClientConnection,
    NotSentError,
    ResponseBrokenError,
)
from camphorspread.connection.messages import Headers, RequestHead, ResponseHead
from camphorspread.connection.network import Address
from camphorspread.connection.pool import ConnectionPool

__all__ = [
    "Broken",
    "NotSent",
    "Reply",
    "RequestBody",
    "SendResult",
    "StreamedReply",
    "send_request",
]

# Bodies up to this size are held whole, so that they can be sent again.
HELD_BYTES = 64 * 1024
# Responses to earlier requests that may come first on a connection.
STRAY_RESPONSES = 2


@attrs.define(eq=False)
class RequestBody:
    """The body of a caller's request.

    Attributes:
        framing: Headers that tell its length; empty without a body.
        held: Its first part.
        is_whole: True if `held` is all of it.
        read_rest: Returns the next part, `b""` at the end.
        is_consumed: True once a part after `held` was read, so that it can't be sent again.
    """

    framing: Headers = ()
    held: bytes = b""
    is_whole: bool = True
    read_rest: Callable[[], Awaitable[bytes]] | None = None
    is_consumed: bool = False


@attrs.frozen
class Reply:
    """A whole response."""

    head: ResponseHead
    body: bytes


@attrs.frozen(eq=False)
class StreamedReply:
    """A response that is too large to hold.

    Attributes:
        head: Its head.
        held: What has arrived of its body.
        conn: Connection that the rest arrives on.
        pool: Where the receiver releases it.
    """

    head: ResponseHead
    held: bytes
    conn: ClientConnection
    pool: ConnectionPool


@attrs.frozen
class NotSent:
    """No byte of the request has left."""

    detail: str


@attrs.frozen
class Broken:
    """The request may have arrived, and no whole response came."""

    detail: str


SendResult = Reply | StreamedReply | NotSent | Broken


async def send_request(
    pool: ConnectionPool,
    address: Address,
    head: RequestHead,
    body: RequestBody,
    is_answer: Callable[[ResponseHead], bool],
    on_sent: Callable[[], None],
) -> SendResult:
    """Send a request and read the response.

    Cancelling this coroutine resets the connection, which ends the work at the other end.

    Args:
        pool: Idle connections.
        address: Where to send it.
        head: Its head, without the headers that frame the body.
        body: Its body.
        is_answer: Tells whether a response belongs to this request.
        on_sent: Called once, before the first byte may leave.
    """
    full_head = attrs.evolve(head, headers=(*head.headers, *body.framing))
    conn: ClientConnection | None = None
    is_done = False
    try:
        try:
            conn = await acquire_quiet(pool, address)
        except (OSError, TimeoutError) as exc:
            return NotSent(str(exc) or "no connection in time")
        on_sent()
        try:
            result = await exchange(pool, conn, full_head, body, is_answer)
        except NotSentError as exc:
            return NotSent(str(exc))
        except (ResponseBrokenError, ConnectionError) as exc:
            return Broken(str(exc) or type(exc).__name__)
        is_done = True
        return result
    finally:
        if conn is not None:
            settle(pool, conn, is_done, result if is_done else None)


def settle(
    pool: ConnectionPool, conn: ClientConnection, is_done: bool, result: SendResult | None
) -> None:
    """Keep a connection on which nothing is owed, reset any other one."""
    match result:
        case StreamedReply():
            return
        case _ if is_done:
            pool.release(conn)
        case _:
            conn.abort()


async def acquire_quiet(pool: ConnectionPool, address: Address) -> ClientConnection:
    """Return a connection on which nothing has arrived unasked."""
    while True:
        conn = await pool.acquire(address)
        if conn.is_quiet:
            return conn
        conn.close()


async def exchange(
    pool: ConnectionPool,
    conn: ClientConnection,
    head: RequestHead,
    body: RequestBody,
    is_answer: Callable[[ResponseHead], bool],
) -> SendResult:
    """Send the request and read its response; responses to other requests are passed over."""
    await conn.send_head(head)
    if body.held:
        await conn.send_body(body.held)
    if not body.is_whole:
        body.is_consumed = True
        while part := await body.read_rest():
            await conn.send_body(part)
    await conn.finish_request()
    for _ in range(STRAY_RESPONSES + 1):
        response = await conn.read_final_head()
        if is_answer(response):
            return await read_reply(pool, conn, response)
        while await conn.read_body():
            pass
        conn.expect_next_response(head)
    raise ResponseBrokenError("the responses belong to other requests")


async def read_reply(
    pool: ConnectionPool, conn: ClientConnection, head: ResponseHead
) -> Reply | StreamedReply:
    """Read the body of a response, whole unless it is too large."""
    parts: list[bytes] = []
    size = 0
    while part := await conn.read_body():
        parts.append(part)
        size += len(part)
        if size > HELD_BYTES:
            return StreamedReply(head, b"".join(parts), conn, pool)
    return Reply(head, b"".join(parts))
