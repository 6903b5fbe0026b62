"""Carries one request and its response between two connections."""

import asyncio
from collections.abc import Awaitable

import attrs

from camphorspread.connection.client import ClientConnection, NotSentError, ResponseBrokenError
from camphorspread.connection.exchange import CallerGoneError, Exchange, RefusedError, StalledError
from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.request.errors import Refusal
from camphorspread.request.forwarding import is_framed, make_response_head, read_refusal
from camphorspread.request.link_pace import LinkPacer, pace_link
from camphorspread.request.recorder import ResponseRecorder

__all__ = [
    "BodyLimitPassed",
    "CallerGone",
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
    """The caller got the whole response."""

    status: int


@attrs.frozen
class NotSent:
    """The connection had ended before any byte of the request was sent.

    Attributes:
        detail: What the connection reported.
    """

    detail: str


@attrs.frozen
class OwnerRefused:
    """The entry VM that owns the endpoints refused; the request was not run."""

    refusal: Refusal


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
    """The caller closed its connection or broke the framing, which cancels the request."""


@attrs.frozen
class UploadStalled:
    """The caller's body made no progress."""


@attrs.frozen
class BodyLimitPassed:
    """The caller's body went over the limit of the catalogue entry."""


RelayResult = (
    Relayed
    | NotSent
    | OwnerRefused
    | NoResponse
    | ResponseCut
    | CallerGone
    | UploadStalled
    | BodyLimitPassed
)


class BodyLimitError(Exception):
    """The body went over the limit while it was streamed."""


async def relay(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    body_limit: int,
    is_pass: bool = False,
    recorder: ResponseRecorder | None = None,
    pacer: LinkPacer | None = None,
) -> RelayResult:
    """Send the request on `conn` and stream its response to the caller.

    The connection is reset unless request and response both ended cleanly. Cancelling this
    coroutine resets it too, so that the next hop stops working.

    Args:
        exchange: The caller's request.
        conn: A connection without a request.
        head: Head to send.
        body_limit: Largest body, in bytes.
        is_pass: True if the next hop is an entry VM: the body waits until that VM asks for it,
            and the response may be its refusal.
        recorder: Gets a copy of the response. With it, a caller that goes away after its whole
            body has arrived doesn't cancel the request, so that a repeat finds the response.
        pacer: What the body is held back by on its way to another region, None within a region.

    Returns:
        How it ended.
    """
    try:
        failure = await send_request_head(conn, head)
        if failure is not None:
            return failure
        return await relay_bodies(exchange, conn, head, body_limit, is_pass, recorder, pacer)
    finally:
        if not conn.is_reusable:
            conn.abort()


async def send_request_head(conn: ClientConnection, head: RequestHead) -> RelayResult | None:
    """Send the head of the request; return how it failed, or None.

    This happens before any task is created, which saves a turn of the loop before the request
    leaves.
    """
    try:
        await conn.send_head(head)
    except NotSentError as exc:
        return NotSent(str(exc))
    except ConnectionError as exc:
        return NoResponse(str(exc))
    return None


async def relay_bodies(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    body_limit: int,
    is_pass: bool,
    recorder: ResponseRecorder | None,
    pacer: LinkPacer | None,
) -> RelayResult:
    """Stream the body of the request and the response, until either ends the request."""
    body_wanted = asyncio.Event()
    if (b"expect", b"100-continue") not in head.headers:
        body_wanted.set()
    is_cancellable = recorder is None
    upload = asyncio.create_task(
        watch_caller(exchange, conn, body_limit, body_wanted, is_cancellable, pacer)
    )
    download = asyncio.create_task(
        send_response(exchange, conn, head, is_pass, body_wanted, recorder)
    )
    try:
        await asyncio.wait({upload, download}, return_when=asyncio.FIRST_COMPLETED)
        if not download.done():
            result = read_upload_fault(upload)
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


def read_upload_fault(upload: asyncio.Task) -> RelayResult | None:
    """Return how a finished upload task ended the request, or None if the response decides."""
    match upload.exception():
        case StalledError():
            return UploadStalled()
        case BodyLimitError():
            return BodyLimitPassed()
        case ConnectionError():
            return None
        # A refusal would say "not run", but a part of the body may have been sent.
        case None | CallerGoneError() | RefusedError():
            return CallerGone()
        case exc:
            raise exc


async def watch_caller(
    exchange: Exchange,
    conn: ClientConnection,
    body_limit: int,
    body_wanted: asyncio.Event,
    is_cancellable: bool,
    pacer: LinkPacer | None,
) -> None:
    """Stream the request body, then wait until the caller is gone if that cancels the request."""
    size = 0
    await body_wanted.wait()
    while data := await exchange.read_body():
        size += len(data)
        if size > body_limit:
            raise BodyLimitError
        if pacer is not None:
            await pace_link(pacer, len(data))
        await conn.send_body(data)
    await conn.finish_request()
    if is_cancellable:
        await exchange.wait_until_gone()


async def send_response(
    exchange: Exchange,
    conn: ClientConnection,
    head: RequestHead,
    is_pass: bool,
    body_wanted: asyncio.Event,
    recorder: ResponseRecorder | None,
) -> RelayResult:
    """Wait for the response and stream it to the caller."""
    try:
        response = await read_final_head(conn, body_wanted)
        refusal = read_refusal(response) if is_pass else None
        if refusal is not None:
            while await conn.read_body():
                pass
            return OwnerRefused(refusal)
    except (ResponseBrokenError, ConnectionError) as exc:
        return NoResponse(str(exc))
    if not is_framed(head.method, response):
        return NoResponse("the response has neither a length nor chunks")
    forwarded = make_response_head(response, is_pass)
    if recorder is not None:
        return await record_response(exchange, conn, forwarded, recorder)
    return await stream_response(exchange, conn, forwarded)


async def read_final_head(conn: ClientConnection, body_wanted: asyncio.Event) -> ResponseHead:
    """Return the head of the final response; status 100 lets the body go."""
    while True:
        response = await conn.read_head()
        if response.status != CONTINUE_STATUS:
            return response
        body_wanted.set()


async def stream_response(
    exchange: Exchange, conn: ClientConnection, head: ResponseHead
) -> RelayResult:
    """Stream a response that has begun to the caller.

    The head leaves in one write with the part of the body that has arrived with it, and at once
    if there is none.
    """
    try:
        exchange.start_response(head)
        while data := await conn.read_body(before_wait=exchange.flush):
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
    return Relayed(head.status)


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
