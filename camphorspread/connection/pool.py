"""Idle client connections that are kept for later requests to the same address."""

from collections import deque
from datetime import timedelta

import attrs

from camphorspread.connection.client import CONNECT_TIMEOUT, ClientConnection, open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.network import Address, Network
from camphorspread.process.clock import Clock

__all__ = ["ConnectionPool"]

# A server may close an idle connection at any time; a short limit makes it rare that a request
# is sent on a connection that is being closed.
IDLE_TIMEOUT = timedelta(seconds=5)
# Bounds the memory for identifiers of refused requests on one connection.
MAX_REFUSED_REQUESTS = 64


@attrs.frozen(eq=False)
class IdleConnection:
    """A connection without a request, and when it became idle."""

    conn: ClientConnection
    idle_since: timedelta


@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections by address.

    Attributes:
        idle_per_address: Maximum number of idle connections to one address.
        idle_limit: Longest time that an idle connection is kept.
        connect_limit: Time limit for opening a connection.
    """

    network: Network
    clock: Clock
    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    idle_per_address: int = 16
    idle_limit: timedelta = IDLE_TIMEOUT
    connect_limit: timedelta = CONNECT_TIMEOUT
    idle: dict[Address, deque[IdleConnection]] = attrs.field(factory=dict)

    async def acquire(self, address: Address) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Raises:
            OSError: No connection can be opened.
        """
        idle_connections = self.idle.get(address)
        now = self.clock.monotonic()
        while idle_connections:
            entry = idle_connections.pop()
            if now - entry.idle_since < self.idle_limit and entry.conn.is_idle:
                return entry.conn
            entry.conn.close()
        return await self.open(address)

    async def open(self, address: Address) -> ClientConnection:
        """Open a new connection.

        Raises:
            OSError: The connection can't be opened.
        """
        return await open_connection(self.network, address, self.limits, self.connect_limit)

    def release(self, conn: ClientConnection) -> None:
        """Keep the connection if its exchange is complete, and reset it otherwise.

        A connection that has carried many refusals, whose identifiers it keeps, is closed.
        """
        if not conn.is_reusable:
            conn.abort()
            return
        if len(conn.refused_requests) >= MAX_REFUSED_REQUESTS:
            conn.close()
            return
        conn.prepare_next_request()
        self.release_unused(conn)

    def release_unused(self, conn: ClientConnection) -> None:
        """Keep a connection on which no request has been sent since it was acquired."""
        idle_connections = self.idle.setdefault(conn.address, deque())
        if len(idle_connections) >= self.idle_per_address:
            idle_connections.popleft().conn.close()
        idle_connections.append(IdleConnection(conn, self.clock.monotonic()))

    def close_address(self, address: Address) -> None:
        """Close the idle connections to one address."""
        for entry in self.idle.pop(address, ()):
            entry.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.close_address(address)
