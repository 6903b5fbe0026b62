"""JSON requests and responses between the project's own processes."""

import asyncio
import json
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

import attrs

from camphorspread.connection.access_key import ACCESS_KEY_HEADER
from camphorspread.connection.client import (
    ClientConnection,
    InvalidResponseError,
    RequestNotSentError,
)
from camphorspread.connection.messages import RequestHead
from camphorspread.connection.network import Address
from camphorspread.connection.pool import ConnectionPool
from camphorspread.version.format import FORMAT

__all__ = ["FORMAT_HEADER", "JsonLink", "JsonResponse", "LinkError"]

FORMAT_HEADER = b"camphorspread-format"
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
Result = TypeVar("Result")
# A deeply nested JSON body raises a RecursionError.
LINK_FAILURES = (
    OSError,
    InvalidResponseError,
    RequestNotSentError,
    TimeoutError,
    ValueError,
    RecursionError,
)


class LinkError(Exception):
    """The other process returned no complete response in time."""


@attrs.frozen
class JsonResponse:
    """Status and decoded body of a response."""

    status: int
    value: object


@attrs.define(eq=False)
class JsonLink:
    """Sends JSON requests to other processes, with the access key and the format version."""

    pool: ConnectionPool
    access_key: bytes = b""
    format_version: int = FORMAT

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        value: object = None,
        limit: timedelta = timedelta(seconds=1),
        stall_limit: timedelta | None = None,
    ) -> JsonResponse:
        """Send one request and return its response.

        Args:
            address: Where the other process listens.
            method: HTTP method.
            target: Path and query.
            value: Value of the JSON body; None sends no body.
            limit: Longest time for the whole exchange.
            stall_limit: Longest time without a byte of the response; None for `limit`.

        Raises:
            LinkError: The connection failed, or no complete response arrived in time.
        """
        conn: ClientConnection | None = None
        try:
            async with asyncio.timeout(limit.total_seconds()):
                conn = await self.pool.acquire(address)
                response = await self._exchange(conn, address, method, target, value, stall_limit)
        except LINK_FAILURES as exc:
            if conn is not None:
                conn.abort()
            raise LinkError(f"{method} {target} at {address}: {str(exc) or 'no response'}") from exc
        except asyncio.CancelledError:
            if conn is not None:
                conn.abort()
            raise
        self.pool.release(conn)
        return response

    async def _exchange(
        self,
        conn: ClientConnection,
        address: Address,
        method: str,
        target: str,
        value: object,
        stall_limit: timedelta | None,
    ) -> JsonResponse:
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        headers = (
            (b"host", str(address).encode()),
            (ACCESS_KEY_HEADER, self.access_key),
            (FORMAT_HEADER, b"%d" % self.format_version),
            (b"content-length", b"%d" % len(body)),
        )
        await conn.send_whole(RequestHead(method.encode(), target.encode(), headers), body)
        head = await wait_within(stall_limit, conn.read_head())
        parts: list[bytes] = []
        size = 0
        while part := await wait_within(stall_limit, conn.read_body()):
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise InvalidResponseError("the response exceeds the size limit")
            parts.append(part)
        return JsonResponse(head.status, json.loads(b"".join(parts) or b"null"))


async def wait_within(limit: timedelta | None, work: Awaitable[Result]) -> Result:
    """Await work, for at most a limit unless that is None."""
    if limit is None:
        return await work
    async with asyncio.timeout(limit.total_seconds()):
        return await work
