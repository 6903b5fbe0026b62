"""Carries one request and its response between two connections."""

import asyncio

import attrs

from camphorspread.connection.client import ClientConnection, ResponseBrokenError
from camphorspread.connection.messages import RequestHead
from camphorspread.connection.server import CallerGoneError, Exchange, StalledError
from camphorspread.request.forwarding import is_framed, make_response_head

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
    exchange: Exchange, conn: ClientConnection, head: RequestHead, body_limit: int
) -> RelayResult:
    """Send the request on `conn` and stream its response to the caller.

    The connection is reset unless request and response both ended cleanly. Cancelling this
    coroutine resets it too, so that the next hop stops working.

    Args:
        exchange: The caller's request.
        conn: A connection without a request.
        head: Head to send.
        body_limit: Largest body, in bytes.

    Returns:
        How it ended.
    """
    upload = asyncio.create_task(watch_caller(exchange, conn, body_limit))
    download = asyncio.create_task(send_response(exchange, conn, head))
    try:
        await asyncio.wait({upload, download}, return_when=asyncio.FIRST_COMPLETED)
        if not download.done():
            result = read_upload_fault(upload)
            if result is not None:
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


async def watch_caller(exchange: Exchange, conn: ClientConnection, body_limit: int) -> None:
    """Stream the request body, then wait until the caller is gone."""
    size = 0
    await conn.head_sent.wait()
    while data := await exchange.read_body():
        size += len(data)
        if size > body_limit:
            raise BodyLimitError
        await conn.send_body(data)
    await conn.finish_request()
    await exchange.wait_until_gone()


async def send_response(
    exchange: Exchange, conn: ClientConnection, head: RequestHead
) -> RelayResult:
    """Send the request head and stream the response to the caller."""
    try:
        await conn.send_head(head)
        response = await conn.read_final_head()
    except (ResponseBrokenError, ConnectionError) as exc:
        return NoResponse(str(exc))
    if not is_framed(head.method, response):
        return NoResponse("the response has neither a length nor chunks")
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
