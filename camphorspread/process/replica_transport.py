"""Sends messages to other replicas."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address
from camphorspread.version.replica_codec import encode_replica_value
from camphorspread.version.replica_messages import Envelope

__all__ = ["ReplicaTransport"]

MESSAGE_LIMIT = timedelta(seconds=1)
# A replica that doesn't answer would otherwise collect messages until their limit.
MESSAGES_UNDER_WAY = 32


@attrs.define(eq=False)
class ReplicaTransport:
    """Messages under way to other replicas.

    Attributes:
        link: Sends messages to other processes.
        under_way: Number of unanswered messages by target.
        tasks: The exchanges under way.
    """

    link: JsonLink
    under_way: dict[str, int] = attrs.field(factory=dict)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def send(
        self,
        target: str,
        address: Address,
        envelope: Envelope,
        on_replies: Callable[[str, list[object]], None],
    ) -> None:
        """Send a message, or drop it if too many are under way.

        Args:
            target: Member identifier of the receiver.
            address: Where it listens for the project's own processes.
            envelope: The message.
            on_replies: Receives the target and the messages in the response, as JSON.
        """
        if self.under_way.get(target, 0) >= MESSAGES_UNDER_WAY:
            return
        self.under_way[target] = self.under_way.get(target, 0) + 1
        task = asyncio.create_task(self.exchange(target, address, envelope, on_replies))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def exchange(
        self,
        target: str,
        address: Address,
        envelope: Envelope,
        on_replies: Callable[[str, list[object]], None],
    ) -> None:
        """Send a message and pass on the messages in the response."""
        value = encode_replica_value(envelope)
        try:
            response = await self.link.call(
                address, "POST", "/v1/replica/message", value, MESSAGE_LIMIT
            )
        except LinkError:
            return  # Lost messages are repeated; the loss of a majority is reported by itself.
        finally:
            self.under_way[target] -= 1
        if response.status == 200 and isinstance(response.value, list):
            on_replies(target, response.value)

    async def stop(self) -> None:
        """End the exchanges under way."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
