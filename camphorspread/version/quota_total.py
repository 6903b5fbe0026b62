"""How many requests of an organisation all entry VMs together may send in one window."""

from datetime import timedelta

import attrs

from camphorspread.version.organisations import Organisation

__all__ = ["GRANTED_FRACTION", "QuotaRules", "compute_usable_total"]

# Fraction of the overage and of the tolerance that is granted. The rest covers requests that are
# sent to a second backend server, which are counted only at their end.
GRANTED_FRACTION = 0.8


@attrs.frozen
class QuotaRules:
    """Rules of counting that apply to all organisations.

    Attributes:
        window: Time over which requests are counted.
        overage: Fraction by which they may exceed the limit.
        tolerance: Requests on top of that.
    """

    window: timedelta = timedelta(seconds=5)
    overage: float = 0.1
    tolerance: int = 20


def compute_usable_total(organisation: Organisation, rules: QuotaRules) -> int:
    """Return the total of the shares of a limited organisation.

    Examples:
        >>> compute_usable_total(Organisation("harbour", rate=2.0), QuotaRules())
        20
    """
    limit = organisation.rate * rules.window.total_seconds() + organisation.burst
    overage = 1 + rules.overage * GRANTED_FRACTION
    return int(limit * overage + rules.tolerance * GRANTED_FRACTION)
