"""The decision to send a request again, and the budget for it."""

from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.request.errors import Refusal
from camphorspread.request.reasons import Reason
from camphorspread.request.window import SlidingWindow, count_recent, record_event
from camphorspread.version.catalogue import ServiceEntry, is_idempotent

__all__ = ["AttemptFailure", "RetryBudget", "decide_retry", "record_request", "try_retry"]

BUDGET_BUCKET = timedelta(seconds=1)
BUDGET_BUCKETS = 10
BUDGET_PERCENT = 10
# Without it, a VM with less than one request a second couldn't step around a lost backend server.
MINIMUM_RETRIES = 1


def make_budget_window() -> SlidingWindow:
    """Return an empty window of 10 s."""
    return SlidingWindow(BUDGET_BUCKET, BUDGET_BUCKETS)


@attrs.define(eq=False)
class RetryBudget:
    """Requests and retries of the last 10 s.

    Attributes:
        requests: Requests that arrived.
        retries: Attempts beyond the first one of a request.
    """

    requests: SlidingWindow = attrs.field(factory=make_budget_window)
    retries: SlidingWindow = attrs.field(factory=make_budget_window)


def record_request(budget: RetryBudget, now: timedelta) -> None:
    """Count a request."""
    record_event(budget.requests, now)


def try_retry(budget: RetryBudget, now: timedelta) -> bool:
    """Count a retry if the budget allows it."""
    allowed = count_recent(budget.requests, now) * BUDGET_PERCENT // 100
    if count_recent(budget.retries, now) >= max(allowed, MINIMUM_RETRIES):
        return False
    record_event(budget.retries, now)
    return True


@attrs.frozen
class AttemptFailure:
    """An attempt that gave the caller no response.

    Attributes:
        refusal: What the caller gets if there is no retry.
        may_have_run: False only if no byte reached a backend server.
        is_body_read: True if a part of the caller's body has been read, so that it can't be resent.
    """

    refusal: Refusal
    may_have_run: bool
    is_body_read: bool = False


def decide_retry(
    failure: AttemptFailure,
    entry: ServiceEntry,
    method: str,
    path: str,
    has_catalogue_lease: bool,
    budget: RetryBudget,
    now: timedelta,
) -> Result[None, Refusal]:
    """Decide whether another attempt follows; it counts in the budget.

    Args:
        failure: How the last attempt failed.
        entry: Entry of the newest catalogue.
        method: HTTP method.
        path: Path below the service.
        has_catalogue_lease: True if the catalogue is known to be the newest.
        budget: Budget of this VM.
        now: Current instant.

    Returns:
        Nothing, or the refusal of the failed attempt with the reason for giving up. Its outcome
        stays that of the failed attempt.
    """
    refusal = failure.refusal
    if failure.is_body_read:
        return Failure(refusal)
    if failure.may_have_run and not is_idempotent(entry, method, path):
        return Failure(refusal)
    if failure.may_have_run and not has_catalogue_lease:
        return Failure(attrs.evolve(refusal, reason=Reason.CATALOGUE_LEASE_ENDED))
    if not try_retry(budget, now):
        return Failure(attrs.evolve(refusal, reason=Reason.RETRY_BUDGET_USED))
    return Success(None)
