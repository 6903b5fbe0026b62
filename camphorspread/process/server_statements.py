"""What backend servers state about themselves in their responses to this VM.

The statements belong to one start of a server. They outlast the server's place in the registry: a
loan that lapses and is granted again, or another owner, doesn't change what the server asked for.
"""

from collections.abc import Container
from datetime import timedelta

import attrs

__all__ = ["ServerStatements", "expire_statements", "find_statements"]

# For how long the statements of a server that isn't known any more are kept.
STATEMENTS_TTL = timedelta(seconds=60)


@attrs.define(eq=False)
class ServerStatements:
    """Statements of one start of a backend server.

    Attributes:
        started_ms: When the server started, as it announced.
        rate_limit: Requests per second that it takes from all VMs together, None if it states no
            limit.
        send_interval: Time between two requests of this VM that is this VM's share of that rate.
        next_send_at: When this VM may send the next request under that limit.
        leaving_until: Until when it gets no requests, as it stated that it leaves.
        paused_until: Until when it gets no requests of this VM, as it asked for a pause.
        ramp_until: Until when its requests are limited after that pause.
        ramp_sends: Requests of this VM since the end of that pause.
        slow_factor: How much longer than usual work takes there, as it last reported; at least 1.
        speed_at: When that report arrived.
        kept_until: Until when the statements are kept after the server has left the registry; None
            before the first check.
    """

    started_ms: int = 0
    rate_limit: float | None = None
    send_interval: timedelta = timedelta(0)
    next_send_at: timedelta = timedelta(0)
    leaving_until: timedelta = timedelta(0)
    paused_until: timedelta = timedelta(0)
    ramp_until: timedelta = timedelta(0)
    ramp_sends: int = 0
    slow_factor: float = 1.0
    speed_at: timedelta = timedelta(0)
    kept_until: timedelta | None = None


def find_statements(
    kept: dict[str, ServerStatements], name: str, started_ms: int
) -> ServerStatements:
    """Return the statements of a start of a server, new ones if there are none.

    Args:
        kept: Statements by server; updated in place.
        name: Identifier of the server.
        started_ms: When it started.
    """
    statements = kept.get(name)
    if statements is None or statements.started_ms != started_ms:
        statements = kept[name] = ServerStatements(started_ms)
    return statements


def expire_statements(
    kept: dict[str, ServerStatements], known: Container[str], now: timedelta
) -> None:
    """Drop the statements of servers that haven't been known for `STATEMENTS_TTL`.

    Those of a pause are kept until its ramp-up has ended, since the server may come back before.

    Args:
        kept: Statements by server; updated in place.
        known: Identifiers of the known servers.
        now: Current monotonic time.
    """
    for name, statements in list(kept.items()):
        if name in known or statements.kept_until is None:
            statements.kept_until = now + STATEMENTS_TTL
        elif now >= max(statements.kept_until, statements.ramp_until):
            del kept[name]
