"""When the next request of an organisation may be sent, and when refused callers are to retry."""

from datetime import timedelta

from camphorspread.request.organisation_quota import OrganisationQuota, count_used

__all__ = ["fill_tokens", "find_free_time", "find_retry_delay"]

# The bucket fills faster than the share needs, since the window is the bound.
FILL_MARGIN = 1.1
MIN_RETRY_DELAY = timedelta(milliseconds=150)
# A request that waits for a token finds a whole one in spite of rounding, and never waits for less.
MIN_WAIT = timedelta(milliseconds=1)
# Without a share, retries are spread over the window, in which the leader may grant one.
UNSHARED_RETRIES = 8


def fill_tokens(quota: OrganisationQuota, window: timedelta, now: timedelta) -> None:
    """Add the tokens of the time that has passed."""
    added = (now - quota.filled_at) / window * quota.share * FILL_MARGIN
    quota.tokens = min(quota.tokens + added, quota.token_limit)
    quota.filled_at = now


def find_retry_delay(quota: OrganisationQuota, window: timedelta, now: timedelta) -> timedelta:
    """Return when a retry is likely to be served; each refused caller gets a later time."""
    interval = window / (quota.share * FILL_MARGIN or UNSHARED_RETRIES)
    earliest = now + max(1 - quota.tokens, 0) * interval
    if quota.sends.counts and count_used(quota, now) >= quota.share:
        leaves_at = quota.sends.width * (min(quota.sends.counts) + 1) + window
        earliest = max(earliest, leaves_at)
    retry_at = max(earliest, quota.retry_at + interval, now + MIN_RETRY_DELAY)
    quota.retry_at = min(retry_at, now + window)
    return quota.retry_at - now


def find_free_time(quota: OrganisationQuota, now: timedelta) -> timedelta | None:
    """Return when this VM's share allows the next request that waits for it; None if unknown.

    It is when there is a token and enough earlier sends have left the window, also for the requests
    that wait already.
    """
    if not quota.share:
        return None
    window = quota.sends.window
    missing = max(1 + quota.waiting - quota.tokens, 0)
    token_at = now + missing * window / (quota.share * FILL_MARGIN) + MIN_WAIT
    needed = count_used(quota, now) - quota.share + 1 + quota.waiting
    if needed <= 0:
        return token_at
    for number in sorted(quota.sends.counts):
        needed -= quota.sends.counts[number]
        if needed <= 0:
            return max(token_at, quota.sends.width * (number + 1) + window)
    return None
