"""Idle client connections, kept for the next request to the same address."""

from collections import deque
from datetime import timedelta

import attrs

from camphorspread.connection.client import CONNECT_LIMIT, ClientConnection, open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.network import Address, Network
from camphorspread.process.clock import Clock

__all__ = ["ConnectionPool"]

# A server may close an idle connection at any time; a short limit keeps requests off such ones.
IDLE_LIMIT = timedelta(seconds=5)


@attrs.frozen(eq=False)
class IdleConnection:
    """A connection without a request and the instant since when."""

    conn: ClientConnection
    since: timedelta


@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections by address.

    Attributes:
        idle_per_address: How many idle connections are kept for one address.
        idle_limit: For how long an idle connection is kept.
        connect_limit: Longest time for opening a connection.
    """

    network: Network
    clock: Clock
    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    idle_per_address: int = 16
    idle_limit: timedelta = IDLE_LIMIT
    connect_limit: timedelta = CONNECT_LIMIT
    idle: dict[Address, deque[IdleConnection]] = attrs.field(factory=dict)

    async def acquire(self, address: Address) -> ClientConnection:
        """Return an idle connection or open one.

        Raises:
            OSError: No connection can be opened.
        """
        waiting = self.idle.get(address)
        now = self.clock.monotonic()
        while waiting:
            entry = waiting.pop()
            if now - entry.since < self.idle_limit and entry.conn.is_quiet:
                return entry.conn
            entry.conn.close()
        return await open_connection(self.network, address, self.limits, self.connect_limit)

    def release(self, conn: ClientConnection) -> None:
        """Keep the connection if its exchange ended cleanly, close it otherwise."""
        if not conn.is_reusable:
            conn.abort()
            return
        conn.start_next()
        self.release_unused(conn)

    def release_unused(self, conn: ClientConnection) -> None:
        """Keep a connection on which no request was sent since it was acquired."""
        waiting = self.idle.setdefault(conn.address, deque())
        if len(waiting) >= self.idle_per_address:
            waiting.popleft().conn.close()
        waiting.append(IdleConnection(conn, self.clock.monotonic()))

    def close_address(self, address: Address) -> None:
        """Close the idle connections to one address."""
        for entry in self.idle.pop(address, ()):
            entry.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.close_address(address)
