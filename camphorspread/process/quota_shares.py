"""What entry VMs and the leader exchange about the shares of an organisation's limit."""

import enum
from datetime import timedelta

import attrs

__all__ = [
    "GRANT_LEASE",
    "KEPT_DIVISOR",
    "KEPT_TIME",
    "MAX_SPARE_FACTOR",
    "Pressure",
    "QuotaGrant",
    "QuotaNeed",
    "QuotaRequest",
]

# While there is room, a share is this multiple of the demand, for the loss of the control VMs.
MAX_SPARE_FACTOR = 2.6
# A grant without renewal outlasts the loss of all control VMs for some seconds, and a longer time
# of the VM without contact reduces it to a fraction instead of ending all service.
GRANT_LEASE = timedelta(seconds=30)
KEPT_DIVISOR = 4
KEPT_TIME = timedelta(hours=1)


class Pressure(enum.IntEnum):
    """How much of an organisation's limit the demand of all VMs takes."""

    # All VMs have shares for their usual demand.
    LOW = 0
    # A share that isn't needed now should be given up.
    HIGH = 1
    # The demand exceeds the limit: no VM gets more by asking again.
    SATURATED = 2


@attrs.frozen
class QuotaNeed:
    """What an entry VM reports about an organisation.

    Attributes:
        demand: Requests that it expects to get in a window.
        usual: Requests that it gets in a window on average, at least `demand`.
        used: Requests that it has sent in the last window.
        held: Its share.
    """

    demand: int
    usual: int
    used: int
    held: int


@attrs.frozen
class QuotaRequest:
    """A renewal of an entry VM.

    Attributes:
        vm: Name of the VM.
        incarnation: Random number of its process.
        number: Number of the renewal, growing within the incarnation. The VM ignores the responses
            to all earlier ones from now on.
        age: Time since the process started.
        needs: Organisations with demand, use or a share.
        is_returning: True if the VM stops and uses no share any more.
    """

    vm: str
    incarnation: int
    number: int
    age: timedelta
    needs: dict[str, QuotaNeed]
    is_returning: bool = False


@attrs.frozen
class QuotaGrant:
    """A share granted by the leader.

    Attributes:
        share: Maximum number of requests in any window.
        usable: Total of all shares under the configuration for which it was granted.
        pressure: How much of the limit the demand of all VMs takes.
    """

    share: int
    usable: int
    pressure: Pressure = Pressure.LOW
