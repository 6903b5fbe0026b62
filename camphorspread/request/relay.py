"""Relays one request and its response between two connections."""

import asyncio
from collections.abc import Awaitable

import attrs

from camphorspread.connection.client import (
    ClientConnection,
    InvalidResponseError,
    RequestNotSentError,
)
from camphorspread.connection.exchange import (
    CallerDisconnectedError,
    Exchange,
    ProgressTimeoutError,
    RequestRefusedError,
)
from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.request.errors import Refusal
from camphorspread.request.forwarding import is_framed, make_response_head, read_refusal
from camphorspread.request.link_rate_limit import LinkRateLimiter, acquire_link_bytes
from camphorspread.request.recorder import ResponseRecorder

__all__ = [
    "BodyLimitPassed",
    "CallerDisconnected",
    "NoResponse",
    "NotSent",
    "OwnerRefused",
    "RelayResult",
    "Relayed",
    "ResponseCut",
    "UploadStalled",
    "relay",
]

CONTINUE_STATUS = 100


@attrs.frozen
class Relayed:
    """The complete response was sent to the caller."""

    status: int


@attrs.frozen
class NotSent:
    """The connection was closed before any byte of the request was sent.

    Attributes:
        detail: What the connection reported.
    """

    detail: str


@attrs.frozen
class OwnerRefused:
    """The entry VM that owns the endpoints refused the request, which was not run."""

    refusal: Refusal


@attrs.frozen
class NoResponse:
    """The request was sent, at least in part, and no response was received.

    Attributes:
        detail: What the connection reported.
    """

    detail: str


@attrs.frozen
class ResponseCut:
    """The response was truncated, so the caller's connection was reset.

    Attributes:
        detail: What the connection reported.
    """

    detail: str


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection or violated the framing, which cancels the request."""


@attrs.frozen
class UploadStalled:
    """The caller's body made no progress."""


@attrs.frozen
class BodyLimitPassed:
    """The request body exceeded the limit of the catalogue entry."""


RelayResult = (
    Relayed
    | NotSent
    | OwnerRefused
    | NoResponse
    | ResponseCut
    | CallerDisconnected
    | UploadStalled
    | BodyLimitPassed
)


class BodyLimitError(Exception):
    """The body exceeded the limit while it was streamed."""


async def relay(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    body_limit: int,
    is_forward: bool = False,
    recorder: ResponseRecorder | None = None,
    rate_limiter: LinkRateLimiter | None = None,
) -> RelayResult:
    """Send the request on `conn` and stream its response to the caller.

    The connection is reset unless both the request and the response ended cleanly. Cancelling this
    coroutine resets it too, so that the next hop cancels its work.

    Args:
        exchange: The caller's request.
        conn: An idle connection.
        head: Head to send.
        body_limit: Maximum size of the body, in bytes.
        is_forward: True if the next hop is an entry VM: the body is held until that VM requests it,
            and the response may be a refusal.
        recorder: Receives a copy of the response. With a recorder, a caller that disconnects after
            its complete body has arrived doesn't cancel the request, so that a repeated request
            finds the response.
        rate_limiter: Rate limiter for a body sent to another region, None within a region.

    Returns:
        How the relay ended.
    """
    try:
        failure = await send_request_head(conn, head)
        if failure is not None:
            return failure
        return await relay_bodies(
            exchange, conn, head, body_limit, is_forward, recorder, rate_limiter
        )
    finally:
        if not conn.is_reusable:
            conn.abort()


async def send_request_head(conn: ClientConnection, head: RequestHead) -> RelayResult | None:
    """Send the head of the request; return the failure, or None.

    It is sent before any task is created, which saves one iteration of the event loop.
    """
    try:
        await conn.send_head(head)
    except RequestNotSentError as exc:
        return NotSent(str(exc))
    except ConnectionError as exc:
        return NoResponse(str(exc))
    return None


async def relay_bodies(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    body_limit: int,
    is_forward: bool,
    recorder: ResponseRecorder | None,
    rate_limiter: LinkRateLimiter | None,
) -> RelayResult:
    """Stream the request body and the response concurrently, until either ends the request."""
    body_requested = asyncio.Event()
    if (b"expect", b"100-continue") not in head.headers:
        body_requested.set()
    is_cancellable = recorder is None
    upload = asyncio.create_task(
        upload_body(exchange, conn, body_limit, body_requested, is_cancellable, rate_limiter)
    )
    download = asyncio.create_task(
        download_response(exchange, conn, head, is_forward, body_requested, recorder)
    )
    try:
        await asyncio.wait({upload, download}, return_when=asyncio.FIRST_COMPLETED)
        if not download.done():
            result = find_upload_failure(upload)
            is_uploaded = upload.exception() is None
            if result is not None and (is_cancellable or not is_uploaded):
                return result
        return await download
    finally:
        await cancel_tasks(upload, download)


async def cancel_tasks(*tasks: asyncio.Task) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def find_upload_failure(upload: asyncio.Task) -> RelayResult | None:
    """Return how a finished upload ended the request, or None if the response determines it."""
    match upload.exception():
        case ProgressTimeoutError():
            return UploadStalled()
        case BodyLimitError():
            return BodyLimitPassed()
        case ConnectionError():
            return None
        # A refusal would state "not run", but a part of the body may have been sent.
        case None | CallerDisconnectedError() | RequestRefusedError():
            return CallerDisconnected()
        case exc:
            raise exc


async def upload_body(
    exchange: Exchange,
    conn: ClientConnection,
    body_limit: int,
    body_requested: asyncio.Event,
    is_cancellable: bool,
    rate_limiter: LinkRateLimiter | None,
) -> None:
    """Stream the request body, then detect a disconnect if that cancels the request."""
    size = 0
    await body_requested.wait()
    while data := await exchange.read_body():
        size += len(data)
        if size > body_limit:
            raise BodyLimitError
        if rate_limiter is not None:
            await acquire_link_bytes(rate_limiter, len(data))
        await conn.send_body(data)
    await conn.finish_request()
    if is_cancellable:
        await exchange.wait_for_disconnect()


async def download_response(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    is_forward: bool,
    body_requested: asyncio.Event,
    recorder: ResponseRecorder | None,
) -> RelayResult:
    """Receive the response and stream it to the caller."""
    try:
        response = await read_final_head(conn, body_requested)
        refusal = read_refusal(response) if is_forward else None
        if refusal is not None:
            while await conn.read_body():
                pass
            return OwnerRefused(refusal)
    except (InvalidResponseError, ConnectionError) as exc:
        return NoResponse(str(exc))
    if not is_framed(head.method, response):
        return NoResponse("the response has neither a content length nor chunked encoding")
    forwarded = make_response_head(response, is_forward)
    if recorder is not None:
        return await record_response(exchange, conn, forwarded, recorder)
    return await stream_response(exchange, conn, forwarded)


async def read_final_head(conn: ClientConnection, body_requested: asyncio.Event) -> ResponseHead:
    """Return the head of the final response; status 100 allows the body to be sent."""
    while True:
        response = await conn.read_head()
        if response.status != CONTINUE_STATUS:
            return response
        body_requested.set()


async def stream_response(
    exchange: Exchange, conn: ClientConnection, head: ResponseHead
) -> RelayResult:
    """Stream a response to the caller.

    The head is sent in one write with the part of the body that arrived with it, or immediately if
    there is none.
    """
    try:
        exchange.start_response(head)
        while data := await conn.read_body(before_wait=exchange.flush):
            await exchange.send_body(data)
        await exchange.finish()
    except InvalidResponseError as exc:
        exchange.abort()
        return ResponseCut(str(exc))
    except CallerDisconnectedError:
        return CallerDisconnected()
    except ProgressTimeoutError:
        exchange.abort()
        return CallerDisconnected()
    return Relayed(head.status)


async def record_response(
    exchange: Exchange, conn: ClientConnection, head: ResponseHead, recorder: ResponseRecorder
) -> RelayResult:
    """Record the response and stream it to the caller while the caller is connected."""
    recorder.head = head
    is_connected = await is_delivered(exchange.send_head(head))
    try:
        while data := await conn.read_body():
            recorder.add(data)
            is_connected = is_connected and await is_delivered(exchange.send_body(data))
    except InvalidResponseError as exc:
        exchange.abort()
        return ResponseCut(str(exc))
    # The copy is complete before the caller sees the end, so that a repeat always finds it.
    recorder.is_complete = True
    is_connected = is_connected and await is_delivered(exchange.finish())
    return Relayed(head.status) if is_connected else CallerDisconnected()


async def is_delivered(sending: Awaitable[None]) -> bool:
    """Return False if the caller has disconnected or stalled."""
    try:
        await sending
    except (CallerDisconnectedError, ProgressTimeoutError):
        return False
    return True
