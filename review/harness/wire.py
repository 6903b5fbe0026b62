"""Minimal HTTP/1.1 for the stand-ins, written from the platform's protocol page."""

import asyncio
import json

__all__ = [
    "MAX_HEAD",
    "BrokenError",
    "call",
    "call_operator",
    "put_configuration",
    "read_body",
    "read_head",
]

MAX_HEAD = 65536


class BrokenError(Exception):
    """The connection ended or was reset before the message was complete."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None if the connection ended before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise BrokenError("the connection ended within a head") from exc
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as exc:
        raise BrokenError(repr(exc)) from exc
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], is_response: bool = False
) -> bytes:
    """Return the complete body of a message.

    Raises:
        BrokenError: The body is incomplete.
    """
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(reader)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if is_response else b""
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as exc:
        raise BrokenError(repr(exc)) from exc


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return the body that the chunks hold, and read the trailer."""
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return b"".join(parts)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    limit_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return status, headers and body.

    Raises:
        BrokenError: No complete response arrived.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD)
            fields = {"Host": address, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise BrokenError("the connection ended before a response")
            data = await read_body(reader, head[1], is_response=True)
            return int(head[0].split()[1]), head[1], data
    except (OSError, TimeoutError) as exc:
        raise BrokenError(repr(exc)) from exc
    finally:
        if writer is not None:
            writer.close()


async def call_operator(
    controls: list[str], method: str, path: str, body: bytes = b"", attempts: int = 60
) -> tuple[int, bytes]:
    """Send an operator's call until it is answered; follow two redirects, then try another VM.

    Raises:
        BrokenError: No call was answered clearly.
    """
    for number in range(attempts):
        address = controls[number % len(controls)]
        try:
            for _ in range(3):
                status, headers, data = await call(
                    address, method, path, {"Content-Type": "application/json"}, body
                )
                if status != 307:
                    break
                address = headers["location"].split("/")[2]
            if status not in (307, 408, 429) and status < 500:
                return status, data
        except BrokenError:
            pass
        await asyncio.sleep(0.3)
    raise BrokenError(f"{method} {path} got no clear answer")


async def put_configuration(
    controls: list[str], version: int, routes: list[dict], services: list[dict]
) -> None:
    """Send a complete configuration until it is acknowledged."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    value = {"version": f"r{version}", "routes": routes, "services": services, "limits": limits}
    status, data = await call_operator(
        controls, "POST", "/-/Config.Put", json.dumps(value).encode()
    )
    if status != 200:
        raise BrokenError(f"the configuration got {status} {data!r}")
