"""Sends a backend server's response to the caller or to the entry VM that forwarded the request."""

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.request.send import Reply, StreamedReply

__all__ = ["send_reply"]


async def send_reply(exchange: Exchange, head: ResponseHead, reply: Reply | StreamedReply) -> None:
    """Send a response; if it breaks off, reset the connection so that it can't appear complete.

    Args:
        exchange: Exchange of the request.
        head: Head to send.
        reply: Response of the backend server, whose body is sent.
    """
    match reply:
        case Reply(body=body):
            await exchange.respond(head, body)
        case StreamedReply(held=held, conn=conn, pool=pool):
            try:
                exchange.start_response(head)
                await exchange.send_body(held)
                while chunk := await conn.read_body():
                    await exchange.send_body(chunk)
                await exchange.finish()
            except BaseException:
                conn.abort()
                exchange.abort()
                raise
            pool.release(conn)
