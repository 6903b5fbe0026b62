"""Carries one request and its response between two connections."""

import asyncio
from collections.abc import Awaitable

import attrs

from camphorspread.connection.client import ClientConnection, ResponseBrokenError
from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.connection.server import CallerGoneError, Exchange, StalledError
from camphorspread.request.forwarding import is_framed, make_response_head
from camphorspread.request.recorder import ResponseRecorder

__all__ = [
    "BodyLimitPassed",
    "CallerGone",
    "NoResponse",
    "RelayResult",
    "Relayed",
    "ResponseCut",
    "UploadStalled",
    "relay",
]


@attrs.frozen
class Relayed:
    """The caller got the whole response."""

    status: int


@attrs.frozen
class NoResponse:
    """The request was sent, at least in part, and no response began.

    Attributes:
        detail: What the connection reported.
    """

    detail: str


@attrs.frozen
class ResponseCut:
    """The response began and ended early; the caller's connection was reset.

    Attributes:
        detail: What the connection reported.
    """

    detail: str


@attrs.frozen
class CallerGone:
    """The caller closed its connection, which cancels the request."""


@attrs.frozen
class UploadStalled:
    """The caller's body made no progress."""


@attrs.frozen
class BodyLimitPassed:
    """The caller's body went over the limit of the catalogue entry."""


RelayResult = Relayed | NoResponse | ResponseCut | CallerGone | UploadStalled | BodyLimitPassed


class BodyLimitError(Exception):
    """The body went over the limit while it was streamed."""


async def relay(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    body_limit: int,
    recorder: ResponseRecorder | None = None,
) -> RelayResult:
    """Send the request on `conn` and stream its response to the caller.

    The connection is reset unless request and response both ended cleanly. Cancelling this
    coroutine resets it too, so that the next hop stops working.

    Args:
        exchange: The caller's request.
        conn: A connection without a request.
        head: Head to send.
        body_limit: Largest body, in bytes.
        recorder: Gets a copy of the response. With it, a caller that goes away after its whole
            body has arrived doesn't cancel the request, so that a repeat finds the response.

    Returns:
        How it ended.
    """
    upload = asyncio.create_task(watch_caller(exchange, conn, body_limit, recorder is None))
    download = asyncio.create_task(send_response(exchange, conn, head, recorder))
    try:
        await asyncio.wait({upload, download}, return_when=asyncio.FIRST_COMPLETED)
        if not download.done():
            result = read_upload_fault(upload)
            is_uploaded = upload.exception() is None
            if result is not None and not (recorder is not None and is_uploaded):
                return result
        return await download
    finally:
        await cancel_tasks(upload, download)
        if not conn.is_reusable:
            conn.abort()


async def cancel_tasks(*tasks: asyncio.Task) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def read_upload_fault(upload: asyncio.Task) -> RelayResult | None:
    """Return how a finished upload task ended the request, or None if the response decides."""
    match upload.exception():
        case StalledError():
            return UploadStalled()
        case BodyLimitError():
            return BodyLimitPassed()
        case ConnectionError():
            return None
        case None | CallerGoneError():
            return CallerGone()
        case exc:
            raise exc


async def watch_caller(
    exchange: Exchange, conn: ClientConnection, body_limit: int, is_cancellable: bool
) -> None:
    """Stream the request body, then wait until the caller is gone if that cancels the request."""
    size = 0
    await conn.head_sent.wait()
    while data := await exchange.read_body():
        size += len(data)
        if size > body_limit:
            raise BodyLimitError
        await conn.send_body(data)
    await conn.finish_request()
    if is_cancellable:
        await exchange.wait_until_gone()


async def send_response(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    recorder: ResponseRecorder | None,
) -> RelayResult:
    """Send the request head and stream the response to the caller."""
    try:
        await conn.send_head(head)
        response = await conn.read_final_head()
    except (ResponseBrokenError, ConnectionError) as exc:
        return NoResponse(str(exc))
    if not is_framed(head.method, response):
        return NoResponse("the response has neither a length nor chunks")
    if recorder is not None:
        return await record_response(exchange, conn, make_response_head(response), recorder)
    try:
        await exchange.send_head(make_response_head(response))
        while data := await conn.read_body():
            await exchange.send_body(data)
        await exchange.finish()
    except ResponseBrokenError as exc:
        exchange.abort()
        return ResponseCut(str(exc))
    except CallerGoneError:
        return CallerGone()
    except StalledError:
        exchange.abort()
        return CallerGone()
    return Relayed(response.status)


async def record_response(
    exchange: Exchange, conn: ClientConnection, head: ResponseHead, recorder: ResponseRecorder
) -> RelayResult:
    """Copy the response and stream it to the caller for as long as the caller is there."""
    recorder.head = head
    is_there = await is_delivered(exchange.send_head(head))
    try:
        while data := await conn.read_body():
            recorder.add(data)
            is_there = is_there and await is_delivered(exchange.send_body(data))
    except ResponseBrokenError as exc:
        exchange.abort()
        return ResponseCut(str(exc))
    # The copy is whole before the caller can see the end, so that a repeat always finds it.
    recorder.is_whole = True
    is_there = is_there and await is_delivered(exchange.finish())
    return Relayed(head.status) if is_there else CallerGone()


async def is_delivered(sending: Awaitable[None]) -> bool:
    """Return False if the caller is gone or has stalled."""
    try:
        await sending
    except (CallerGoneError, StalledError):
        return False
    return True
