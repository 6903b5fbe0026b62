"""Request rates that backend servers state as the most that they take from all VMs together.

The VMs of a region send to the same servers, and callers are spread over them, so that each VM
takes an equal part of the rate. A statement applies until a response of the server has none; one
that can't be read changes nothing. A VM that sends nothing would never learn of the end, so that a
server gets some requests in any case.
"""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.request.dialect import Limited, RateStatement, Unlimited

__all__ = ["apply_statement"]

# Requests per second of all VMs that a server gets at least, so that they learn of a new statement.
MIN_RATE = 0.25


def apply_statement(instance: Instance, statement: RateStatement, sharers: int) -> None:
    """Apply what a server states about its request rate.

    Args:
        instance: The server.
        statement: The statement in its newest response.
        sharers: Number of VMs that send to it.
    """
    match statement:
        case Limited(per_second=rate):
            instance.rate_limit = rate
            instance.send_interval = timedelta(seconds=max(sharers, 1) / max(rate, MIN_RATE))
        case Unlimited():
            instance.rate_limit = None
            instance.send_interval = timedelta(0)
