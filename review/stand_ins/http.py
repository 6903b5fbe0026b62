"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it."""

import asyncio
from collections.abc import Mapping

__all__ = ["Answer", "Connection", "Message", "call", "encode_answer", "read_message"]


class Message:
    """A received request or response.

    Attributes:
        start: The request line or status line, split at spaces.
        headers: Values by lower-case name.
        body: The whole body.
    """

    def __init__(self, start: list[str], headers: dict[str, str], body: bytes) -> None:
        """Store the parts."""
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start[1])


Answer = Message


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None if the connection ends before its head or within it.

    Raises:
        ConnectionError: The connection was reset.
        asyncio.IncompleteReadError: The connection ended within the body.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start.split(" ", 2), headers, body)


def encode_answer(status: int, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Connection:
    """A client connection that carries one request at a time.

    Attributes:
        host: Host of the server.
        port: Port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        """Store the address."""
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection.

        Raises:
            OSError: It can't be opened.
        """
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    async def send(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        """Send one request.

        Raises:
            ConnectionError: The connection was reset.
        """
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def read(self) -> Message | None:
        """Return the response, None if the connection ends without one."""
        return await read_message(self.reader)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    limit_s: float = 1.0,
) -> Message | None:
    """Send one request on a new connection; return the response, None without one in time."""
    host, _, port = address.rpartition(":")
    conn = Connection(host, int(port))
    try:
        async with asyncio.timeout(limit_s):
            await conn.open()
            await conn.send(method, target, {"Host": address, **(headers or {})}, body)
            return await conn.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        conn.close()
