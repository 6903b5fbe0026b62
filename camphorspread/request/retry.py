"""The decision to retry a request, and the retry budget of a VM."""

from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.request.errors import Refusal
from camphorspread.request.reasons import Reason
from camphorspread.request.resend import BodyProgress, RestUnread, may_resend
from camphorspread.request.window import SlidingWindow, count_recent, record_event
from camphorspread.version.catalogue import ServiceEntry, is_idempotent

__all__ = ["AttemptFailure", "RetryBudget", "decide_retry", "record_request", "try_retry"]

BUDGET_BUCKET_WIDTH = timedelta(seconds=1)
BUDGET_BUCKETS = 10
BUDGET_PERCENT = 10
# Allows a VM with less than one request per second to retry after the loss of a backend server.
MIN_RETRIES = 1


def make_budget_window() -> SlidingWindow:
    """Return an empty 10 s window."""
    return SlidingWindow(BUDGET_BUCKET_WIDTH, BUDGET_BUCKETS)


@attrs.define(eq=False)
class RetryBudget:
    """Requests and retries of the last 10 s.

    Attributes:
        requests: Arrived requests.
        retries: Attempts after the first one of a request.
    """

    requests: SlidingWindow = attrs.field(factory=make_budget_window)
    retries: SlidingWindow = attrs.field(factory=make_budget_window)


def record_request(budget: RetryBudget, now: timedelta) -> None:
    """Count a request."""
    record_event(budget.requests, now)


def try_retry(budget: RetryBudget, now: timedelta) -> bool:
    """Count a retry if the budget allows it."""
    allowed = count_recent(budget.requests, now) * BUDGET_PERCENT // 100
    if count_recent(budget.retries, now) >= max(allowed, MIN_RETRIES):
        return False
    record_event(budget.retries, now)
    return True


@attrs.frozen
class AttemptFailure:
    """An attempt that sent no response to the caller.

    Attributes:
        refusal: Error response for the caller if there is no retry.
        may_have_run: False only if no byte reached a backend server.
        body: How much of the request body has been read.
    """

    refusal: Refusal
    may_have_run: bool
    body: BodyProgress = attrs.field(factory=RestUnread)


def decide_retry(
    failure: AttemptFailure,
    entry: ServiceEntry,
    method: str,
    path: str,
    has_catalogue_lease: bool,
    budget: RetryBudget,
    now: timedelta,
) -> Result[None, Refusal]:
    """Decide whether another attempt follows, and count it in the budget.

    Args:
        failure: How the last attempt failed.
        entry: Entry of the newest catalogue.
        method: HTTP method.
        path: Path relative to the service.
        has_catalogue_lease: True if the catalogue is known to be the newest.
        budget: Retry budget of this VM.
        now: Current monotonic time.

    Returns:
        Success if a retry is allowed, else the refusal of the failed attempt with the reason why
        there is none. Its outcome remains that of the failed attempt.
    """
    refusal = failure.refusal
    if not may_resend(failure.body):
        return Failure(refusal)
    if failure.may_have_run and not is_idempotent(entry, method, path):
        return Failure(refusal)
    if failure.may_have_run and not has_catalogue_lease:
        return Failure(attrs.evolve(refusal, reason=Reason.CATALOGUE_LEASE_ENDED))
    if not try_retry(budget, now):
        return Failure(attrs.evolve(refusal, reason=Reason.RETRY_BUDGET_USED))
    return Success(None)
