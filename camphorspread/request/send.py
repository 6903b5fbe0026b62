"""Sends one request on one connection and reads its response.

A response of up to `HELD_BYTES` is buffered until it is complete, so that an idempotent request can
be retried after a truncated response. Larger responses are streamed.
"""

from collections.abc import Awaitable, Callable

import attrs

from camphorspread.connection.client import (
    ClientConnection,
    InvalidResponseError,
    RequestNotSentError,
)
from camphorspread.connection.messages import Headers, RequestHead, ResponseHead
from camphorspread.connection.network import Address
from camphorspread.connection.pool import ConnectionPool
from camphorspread.request.resend import BodyProgress, WholeBuffered, may_resend, note_read

__all__ = [
    "AnswerRule",
    "NotSent",
    "Reply",
    "RequestBody",
    "ResponseLost",
    "SendResult",
    "StreamedReply",
    "Withheld",
    "send_request",
]

# Bodies up to this size are buffered completely: requests so that they can be resent, and responses
# so that truncation is detected before any part is forwarded.
HELD_BYTES = 64 * 1024
# Maximum responses to earlier requests that are skipped on a connection.
MAX_STRAY_RESPONSES = 2


@attrs.define(eq=False)
class RequestBody:
    """The body of a caller's request.

    Attributes:
        framing: Headers that frame the body, empty without a body.
        held: Buffered first part of the body; empty once bytes after it have been read, since it
            can't be sent again then.
        progress: How much of the body has been read from the caller.
        receive: Receives the next chunk after `held`, `b""` at the end; None if `held` is the whole
            body.
    """

    framing: Headers = ()
    held: bytes = b""
    progress: BodyProgress = attrs.field(factory=WholeBuffered)
    receive: Callable[[], Awaitable[bytes]] | None = None

    async def read_rest(self) -> bytes:
        """Return the next chunk after `held`, `b""` at the end of the body."""
        if self.receive is None:
            return b""
        chunk = await self.receive()
        self.progress = note_read(self.progress, len(chunk))
        if not may_resend(self.progress):
            self.held = b""
        return chunk


@attrs.frozen
class Reply:
    """A complete, buffered response."""

    head: ResponseHead
    body: bytes


@attrs.frozen(eq=False)
class StreamedReply:
    """A response that is too large to buffer.

    Attributes:
        head: Head of the response.
        held: Part of the body that has arrived.
        conn: Connection on which the remainder arrives.
        pool: Pool to which the receiver releases the connection.
    """

    head: ResponseHead
    held: bytes
    conn: ClientConnection
    pool: ConnectionPool


@attrs.frozen
class NotSent:
    """No byte of the request was sent."""

    detail: str


@attrs.frozen
class Withheld:
    """The request wasn't sent: it was no longer allowed once a connection was open."""


@attrs.frozen
class ResponseLost:
    """The request may have arrived, but no complete response was received."""

    detail: str


SendResult = Reply | StreamedReply | NotSent | Withheld | ResponseLost


@attrs.frozen
class AnswerRule:
    """Which responses belong to a request.

    Attributes:
        is_answer: Returns True if a response names this request.
        is_refusal: Returns True if a response states that its request didn't run.
        request_id: Identifier that responses name, empty if they name none.
        needs_new_connection: True if the response can only be recognised on a connection that has
            carried no other request.
    """

    is_answer: Callable[[ResponseHead], bool]
    is_refusal: Callable[[ResponseHead], bool] = lambda _response: False
    request_id: str = ""
    needs_new_connection: bool = False


async def send_request(
    pool: ConnectionPool,
    address: Address,
    prepare: Callable[[], RequestHead | None],
    body: RequestBody,
    rule: AnswerRule,
    note_held: Callable[[int], None] = lambda _size: None,
) -> SendResult:
    """Send a request and read the response.

    Cancelling this coroutine resets the connection, which cancels the work at the other end.

    Args:
        pool: Connection pool.
        address: Address of the next hop.
        prepare: Called once, when a connection is open and before the first byte is sent. It
            returns the head without the headers that frame the body, or None if the request may no
            longer be sent. Opening a connection takes time, and the process may have been suspended
            meanwhile.
        body: Body of the request.
        rule: Which responses belong to this request.
        note_held: Called with the number of bytes of the response that are buffered.

    Raises:
        RuntimeError: An earlier attempt has read bytes of the body that aren't buffered.
    """
    if not may_resend(body.progress):
        raise RuntimeError("the body was consumed by an earlier attempt")
    conn: ClientConnection | None = None
    is_complete = False
    try:
        try:
            conn = await acquire_clean(pool, address, rule)
        except (OSError, TimeoutError) as exc:
            return NotSent(str(exc) or "connection timed out")
        head = prepare()
        if head is None:
            pool.release_unused(conn)
            conn = None
            return Withheld()
        full_head = attrs.evolve(head, headers=(*head.headers, *body.framing))
        try:
            result = await exchange(pool, conn, full_head, body, rule, note_held)
        except RequestNotSentError as exc:
            return NotSent(str(exc))
        except (InvalidResponseError, ConnectionError) as exc:
            return ResponseLost(str(exc) or type(exc).__name__)
        is_complete = True
        return result
    finally:
        if conn is not None:
            release_or_reset(pool, conn, is_complete, result if is_complete else None)


def release_or_reset(
    pool: ConnectionPool, conn: ClientConnection, is_complete: bool, result: SendResult | None
) -> None:
    """Release a connection without pending data to the pool, reset any other one."""
    match result:
        case StreamedReply():
            return
        case _ if is_complete:
            pool.release(conn)
        case _:
            conn.abort()


async def acquire_clean(
    pool: ConnectionPool, address: Address, rule: AnswerRule
) -> ClientConnection:
    """Acquire a connection on which no response to another request can be taken for the answer.

    No unexpected data has arrived on it. It hasn't carried a refusal of a request with the same
    identifier either: a caller may send a refused request again, and a late second copy of the
    refusal would assure that the new one didn't run.
    """
    while True:
        conn = await (pool.open(address) if rule.needs_new_connection else pool.acquire(address))
        if conn.is_idle and rule.request_id not in conn.refused_requests:
            return conn
        conn.close()


async def exchange(
    pool: ConnectionPool,
    conn: ClientConnection,
    head: RequestHead,
    body: RequestBody,
    rule: AnswerRule,
    note_held: Callable[[int], None],
) -> SendResult:
    """Send the request and read its response; responses to other requests are skipped."""
    if body.receive is None:
        await conn.send_whole(head, body.held)
    else:
        await conn.send_head(head)
        await conn.send_body(body.held)
        while chunk := await body.read_rest():
            await conn.send_body(chunk)
        await conn.finish_request()
    for _ in range(MAX_STRAY_RESPONSES + 1):
        response = await conn.read_final_head()
        if rule.is_answer(response):
            if rule.request_id and rule.is_refusal(response):
                conn.refused_requests.add(rule.request_id)
            return await read_reply(pool, conn, response, note_held)
        await discard_body(conn)
        conn.prepare_next_response(head)
    raise InvalidResponseError("the received responses belong to other requests")


async def discard_body(conn: ClientConnection) -> None:
    """Discard the body of a response to another request.

    Raises:
        InvalidResponseError: The body is incomplete or exceeds `HELD_BYTES`.
    """
    size = 0
    while chunk := await conn.read_body():
        size += len(chunk)
        if size > HELD_BYTES:
            raise InvalidResponseError("the response to another request exceeds the size limit")


async def read_reply(
    pool: ConnectionPool,
    conn: ClientConnection,
    head: ResponseHead,
    note_held: Callable[[int], None],
) -> Reply | StreamedReply:
    """Read the body of a response completely, unless it is too large to buffer."""
    chunks: list[bytes] = []
    size = 0
    while chunk := await conn.read_body():
        chunks.append(chunk)
        size += len(chunk)
        note_held(size)
        if size > HELD_BYTES:
            return StreamedReply(head, b"".join(chunks), conn, pool)
    return Reply(head, b"".join(chunks))
