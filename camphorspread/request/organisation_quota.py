"""Share and use of one organisation at an entry VM."""

from collections.abc import Sequence
from datetime import timedelta

import attrs

from camphorspread.process.quota_shares import Pressure
from camphorspread.request.quota_window import QuotaWindow, count_window

__all__ = ["Charge", "OrganisationQuota", "count_used"]

# Requests of a share that may be sent together: a few, and a fraction of it.
MIN_TOKEN_LIMIT = 8
TOKEN_FRACTION = 0.25


@attrs.define(eq=False)
class Charge:
    """A charge of a request that hasn't ended yet.

    Attributes:
        charged_at: When it was charged.
        sent: When the request was sent, for sends that may have run; updated by its attempts.
    """

    charged_at: timedelta
    sent: Sequence[timedelta] = ()


@attrs.define(eq=False)
class OrganisationQuota:
    """Share and use of one organisation at this VM.

    Attributes:
        usable: Total of all shares under the configuration in force here; None without a limit.
        burst_fraction: Fraction of the limit that may come at once.
        sends: Requests that were sent.
        arrivals: Requests that arrived, refused ones included.
        share: Maximum number of sends in any window.
        usable_at_grant: Total of all shares to which the share refers.
        granted_at: When the request for the share was sent.
        lease_end: When the share is reduced to a part, or ends.
        is_leased: False once it was reduced to that part.
        reduced_from: Share before a reduction that hasn't been reported yet; 0 for none.
        pressure: How much of the limit the demand of all VMs took at that time.
        mean: Moving average of the requests that arrive in a window.
        mean_at: When it was last updated.
        asked: Demand in the last renewal that was answered; None before one.
        tokens: Requests that may be sent now as far as pacing is concerned.
        filled_at: When `tokens` was last updated.
        charges: Charges of the requests that haven't ended yet, by number of the ticket.
        retry_at: Time given to the caller that was refused last.
        waiting: Requests that wait for their turn in the window.
    """

    usable: int | None
    burst_fraction: float
    sends: QuotaWindow
    arrivals: QuotaWindow
    share: int = 0
    usable_at_grant: int = 0
    granted_at: timedelta = timedelta(0)
    lease_end: timedelta = timedelta(0)
    is_leased: bool = False
    reduced_from: int = 0
    pressure: Pressure = Pressure.LOW
    mean: float = 0.0
    mean_at: timedelta = timedelta(0)
    asked: int | None = None
    tokens: float = 0.0
    filled_at: timedelta = timedelta(0)
    charges: dict[int, Charge] = attrs.field(factory=dict)
    retry_at: timedelta = timedelta(0)
    waiting: int = 0

    @property
    def token_limit(self) -> float:
        """Requests that may be sent together."""
        fraction = max(TOKEN_FRACTION, self.burst_fraction)
        return min(self.share, MIN_TOKEN_LIMIT + self.share * fraction)


def count_used(quota: OrganisationQuota, now: timedelta) -> int:
    """Return the sends of the last window, with the requests that may still be sent.

    A request may wait, or its VM may be paused, between its charge and its send. It counts until
    it ends, at most for two windows after its send, since a long run must not hold its part of the
    quota.
    """
    window = quota.sends.window
    ended = []
    for number, charge in quota.charges.items():
        if now - charge.charged_at <= 2 * window:
            break
        if charge.sent and now - charge.sent[-1] > 2 * window:
            ended.append(number)
    for number in ended:
        del quota.charges[number]
    return count_window(quota.sends, now) + len(quota.charges)
