"""Hands a backend server's response on to whoever sent the request."""

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.request.send import Reply, StreamedReply

__all__ = ["send_reply"]


async def send_reply(exchange: Exchange, head: ResponseHead, reply: Reply | StreamedReply) -> None:
    """Send a response; one that breaks midway is reset, so that it can't look complete.

    Args:
        exchange: The request.
        head: Head to send.
        reply: The response with its body.
    """
    match reply:
        case Reply(body=body):
            await exchange.respond(head, body)
        case StreamedReply(held=held, conn=conn, pool=pool):
            try:
                exchange.start_response(head)
                await exchange.send_body(held)
                while part := await conn.read_body():
                    await exchange.send_body(part)
                await exchange.finish()
            except BaseException:
                conn.abort()
                exchange.abort()
                raise
            pool.release(conn)
