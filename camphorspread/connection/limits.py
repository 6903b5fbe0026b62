"""Limits of one connection."""

from datetime import timedelta

import attrs

__all__ = ["ConnectionLimits"]


@attrs.frozen
class ConnectionLimits:
    """Size and time limits of one connection.

    Attributes:
        header_bytes: Maximum size of a request or response head.
        idle: Longest wait for the next request on an open connection.
        head: Longest time from the first byte of a request head to its end.
        progress: Longest wait for the next bytes of a body or of a response head that has begun.
        json_body_bytes: Maximum size of a JSON message.
        connections_per_peer: Maximum number of open connections from one IP address.
    """

    header_bytes: int = 16384
    idle: timedelta = timedelta(seconds=30)
    head: timedelta = timedelta(seconds=10)
    progress: timedelta = timedelta(seconds=10)
    json_body_bytes: int = 1048576
    connections_per_peer: int = 512
