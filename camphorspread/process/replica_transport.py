"""Transport of messages to other replicas."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address
from camphorspread.version.replica_codec import encode_replica_value
from camphorspread.version.replica_messages import Envelope

__all__ = ["ReplicaTransport"]

MESSAGE_TIMEOUT = timedelta(seconds=1)
# Without this limit, messages to an unresponsive replica would accumulate until they time out.
MAX_IN_FLIGHT_PER_TARGET = 32


@attrs.define(eq=False)
class ReplicaTransport:
    """Sends messages to other replicas.

    Attributes:
        link: Sends messages to other processes.
        in_flight: Number of messages in flight by target.
        tasks: Tasks of the messages in flight.
    """

    link: JsonLink
    in_flight: dict[str, int] = attrs.field(factory=dict)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def send(
        self,
        target: str,
        address: Address,
        envelope: Envelope,
        on_replies: Callable[[str, list[object]], None],
    ) -> None:
        """Send a message, or drop it if too many to the same target are in flight.

        Args:
            target: Member identifier of the receiver.
            address: Its address for the project's own processes.
            envelope: The message.
            on_replies: Called with the target and the replies in the response, as JSON.
        """
        if self.in_flight.get(target, 0) >= MAX_IN_FLIGHT_PER_TARGET:
            return
        self.in_flight[target] = self.in_flight.get(target, 0) + 1
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
        """Send a message and pass the replies in the response to the callback."""
        value = encode_replica_value(envelope)
        try:
            response = await self.link.call(
                address, "POST", "/v1/replica/message", value, MESSAGE_TIMEOUT
            )
        except LinkError:
            return  # The state machine resends; loss of the majority is logged separately.
        finally:
            self.in_flight[target] -= 1
        if response.status == 200 and isinstance(response.value, list):
            on_replies(target, response.value)

    async def stop(self) -> None:
        """Cancel the messages in flight."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
