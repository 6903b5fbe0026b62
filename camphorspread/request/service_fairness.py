"""How often each organisation's requests are served, compared with all requests together.

Under lasting overload, order by priority alone would never serve the organisations of the lowest
priority. An organisation that is served at less than half of the overall proportion is underserved
and goes first until it is back above.

A VM sees only some requests of a small organisation. Its proportion is therefore estimated with a
weak prior: a few assumed requests, served at the proportion of all organisations of the same
priority. Where that priority as a whole is underserved, its small organisations are too, although
none of their requests may have been counted here.
"""

from collections import Counter, deque
from datetime import timedelta

import attrs

__all__ = ["ServiceFairness", "is_underserved", "record_decision", "record_failure"]

# Decisions within this time are counted, in buckets.
WINDOW = timedelta(seconds=10)
BUCKETS = 10
BUCKET = WINDOW / BUCKETS
# An organisation may be served at this fraction of the overall proportion; the limit is a quarter.
UNDERSERVED_FRACTION = 0.5
# Requests that an organisation is assumed to have sent in addition to the counted ones. With 2, an
# organisation of low priority was taken for underserved after its first refusal.
PRIOR_REQUESTS = 5.0
# Organisations that are counted singly.
MAX_ORGANISATIONS = 2000

# An organisation's name and priority; after a change of the priority it is counted anew.
Key = tuple[str, int]


@attrs.define(eq=False)
class Decisions:
    """Decisions on requests, and how many of them were to serve the request."""

    requests: Counter[Key] = attrs.field(factory=Counter)
    served: Counter[Key] = attrs.field(factory=Counter)


@attrs.define(eq=False)
class ServiceFairness:
    """Decisions of this VM in the last seconds.

    Attributes:
        buckets: Decisions in short intervals, the newest last.
        newest: Number of the newest interval.
        recent: Decisions of all intervals, by organisation.
        by_rank: The same by priority, under an empty name.
        requests: Number of all these decisions.
        served: Number of those that were to serve the request.
    """

    buckets: deque[Decisions] = attrs.field(
        factory=lambda: deque(Decisions() for _ in range(BUCKETS))
    )
    newest: int = 0
    recent: Decisions = attrs.field(factory=Decisions)
    by_rank: Decisions = attrs.field(factory=Decisions)
    requests: int = 0
    served: int = 0


def record_decision(
    fairness: ServiceFairness, organisation: str, rank: int, is_served: bool, now: timedelta
) -> None:
    """Count the decision on one request.

    Args:
        fairness: Recent decisions.
        organisation: Name of the organisation, empty for none.
        rank: Its priority.
        is_served: True if the request gets a slot, False if it is refused or ends in the queue.
        now: Current monotonic time.
    """
    expire_buckets(fairness, now)
    add_decisions(fairness, (organisation, rank), 1, int(is_served))


def record_failure(
    fairness: ServiceFairness, organisation: str, rank: int, is_final: bool, now: timedelta
) -> None:
    """Take back the decision to serve a request whose attempt failed.

    Args:
        fairness: Recent decisions.
        organisation: Name of the organisation, empty for none.
        rank: Its priority.
        is_final: False if the request is attempted again, so that another decision follows.
        now: Current monotonic time.
    """
    expire_buckets(fairness, now)
    add_decisions(fairness, (organisation, rank), 0 if is_final else -1, -1)


def add_decisions(fairness: ServiceFairness, key: Key, requests: int, served: int) -> None:
    """Add a number of decisions to the newest interval."""
    rank_key = ("", key[1])
    if key not in fairness.recent.requests and len(fairness.recent.requests) >= MAX_ORGANISATIONS:
        key = rank_key
    for counted, name in (
        (fairness.buckets[-1], key),
        (fairness.recent, key),
        (fairness.by_rank, rank_key),
    ):
        counted.requests[name] += requests
        counted.served[name] += served
    fairness.requests += requests
    fairness.served += served


def expire_buckets(fairness: ServiceFairness, now: timedelta) -> None:
    """Remove the decisions that are older than the window."""
    number = now // BUCKET
    for _ in range(min(number - fairness.newest, BUCKETS)):
        oldest = fairness.buckets.popleft()
        fairness.buckets.append(Decisions())
        for key, requests in oldest.requests.items():
            served = oldest.served[key]
            subtract_decisions(fairness.recent, key, requests, served)
            subtract_decisions(fairness.by_rank, ("", key[1]), requests, served)
            fairness.requests -= requests
            fairness.served -= served
    fairness.newest = max(number, fairness.newest)


def subtract_decisions(decisions: Decisions, key: Key, requests: int, served: int) -> None:
    """Subtract decisions, and forget the organisation if none are left."""
    decisions.requests[key] -= requests
    decisions.served[key] -= served
    if not decisions.requests[key] and not decisions.served[key]:
        del decisions.requests[key], decisions.served[key]


def is_underserved(fairness: ServiceFairness, organisation: str, rank: int) -> bool:
    """Return True if an organisation's requests are to be served first.

    Args:
        fairness: Recent decisions.
        organisation: Name of the organisation.
        rank: Its priority.
    """
    # A failure may be counted after its decision has left the window, which leaves `served` at -1.
    if not organisation or fairness.requests <= 0 or fairness.served >= fairness.requests:
        return False
    limit = UNDERSERVED_FRACTION * fairness.served / fairness.requests
    key, rank_key = (organisation, rank), ("", rank)
    same_rank = fairness.by_rank.requests[rank_key]
    prior = fairness.by_rank.served[rank_key] / same_rank if same_rank > 0 else 1.0
    served = fairness.recent.served[key] + PRIOR_REQUESTS * prior
    return served < limit * (fairness.recent.requests[key] + PRIOR_REQUESTS)
