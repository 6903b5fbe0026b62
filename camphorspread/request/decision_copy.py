"""Copies of what a decision on a request changes, so that it can be tried without effect."""

import copy
from collections import Counter, deque

import attrs

from camphorspread.process.instances import Instance
from camphorspread.request.home_share import HomeShare
from camphorspread.request.placement_board import HomeCache, PlacementBoard
from camphorspread.request.placement_queue import PlacementQueue
from camphorspread.request.quota import OrganisationQuota, QuotaBook, apply_limits
from camphorspread.request.quota_window import QuotaWindow
from camphorspread.request.region_shift import RegionShares
from camphorspread.request.service_fairness import Decisions, ServiceFairness
from camphorspread.request.splitting import Splitter
from camphorspread.request.window import SlidingWindow
from camphorspread.version.organisations import Organisation, OrganisationTable

__all__ = ["copy_board", "copy_queue", "copy_quotas", "copy_splitter"]


def copy_board(board: PlacementBoard, service: str, object_key: str) -> PlacementBoard:
    """Return a board on which a decision about one service and object changes only the copy.

    Only what such a decision may change is copied: a board has thousands of objects, and the VM
    serves no requests meanwhile.
    """
    servers = {
        item.name: copy_instance(item) for item in board.registry.by_service.get(service, ())
    }
    registry = attrs.evolve(
        board.registry,
        instances={**board.registry.instances, **servers},
        by_service={service: list(servers.values())},
    )
    ranking = board.rankings.get((service, object_key), ())
    rankings = {}
    if ranking and board.rankings_revision == board.registry.revision:
        rankings[(service, object_key)] = tuple(servers[item.name] for item in ranking)
    return attrs.evolve(
        board,
        registry=registry,
        run_times=dict(board.run_times),
        queued_per_server=copy_counts(board.queued_per_server),
        queued_per_service=copy_counts(board.queued_per_service),
        fairness=copy_fairness(board.fairness),
        return_bookings={name: copy.copy(item) for name, item in board.return_bookings.items()},
        totals=dict(board.totals),
        rankings=rankings,
        homes={name: copy_homes(item) for name, item in board.homes.items() if name == service},
        region_shares=copy_region_shares(board.region_shares),
        capacities={name: copy.copy(item) for name, item in board.capacities.items()},
        home_shares={name: copy_home_share(item) for name, item in board.home_shares.items()},
    )


def copy_instance(instance: Instance) -> Instance:
    """Return a backend server whose expired sends can be dropped."""
    copied = copy.copy(instance)
    copied.cold_sends = copy_window(instance.cold_sends)
    return copied


def copy_window(window: SlidingWindow) -> SlidingWindow:
    """Return a window that can be changed."""
    return attrs.evolve(window, recent=deque(copy.copy(item) for item in window.recent))


def copy_counts(counts: dict[str, Counter]) -> dict[str, Counter]:
    """Return numbers of queued requests that can be changed."""
    return {name: Counter(item) for name, item in counts.items()}


def copy_homes(cache: HomeCache) -> HomeCache:
    """Return a cache of home VMs that can be changed."""
    return attrs.evolve(cache, homes=dict(cache.homes))


def copy_region_shares(shares: RegionShares) -> RegionShares:
    """Return requests by region that can be changed."""
    return attrs.evolve(
        shares,
        buckets=deque(Counter(item) for item in shares.buckets),
        recent=Counter(shares.recent),
        earlier=Counter(shares.earlier),
    )


def copy_home_share(share: HomeShare) -> HomeShare:
    """Return a share of kept objects that can be changed."""
    return attrs.evolve(share, arrivals=copy_window(share.arrivals))


def copy_fairness(fairness: ServiceFairness) -> ServiceFairness:
    """Return counts of decisions by organisation that can be changed."""

    def copy_decisions(item: Decisions) -> Decisions:
        return Decisions(Counter(item.requests), Counter(item.served))

    return attrs.evolve(
        fairness,
        buckets=deque(copy_decisions(item) for item in fairness.buckets),
        recent=copy_decisions(fairness.recent),
        by_rank=copy_decisions(fairness.by_rank),
    )


def copy_queue(queue: PlacementQueue, service: str) -> PlacementQueue:
    """Return a queue that one more request of a service can join."""
    return PlacementQueue({service: dict(queue.by_service.get(service, {}))})


def copy_splitter(splitter: Splitter) -> Splitter:
    """Return the division of routes among services, which can be changed."""
    return Splitter({name: dict(item) for name, item in splitter.credits.items()})


def copy_quotas(
    book: QuotaBook, table: OrganisationTable, revision: int, organisation: Organisation
) -> QuotaBook:
    """Return a book with the quota of one limited organisation, to which a request can be charged.

    Args:
        book: Quotas of this VM.
        table: Organisations in the routes in force, whose limits the book may not have yet.
        revision: Revision of these routes.
        organisation: The organisation.
    """
    known = book.quotas.get(organisation.name)
    quotas = {} if known is None else {organisation.name: copy_quota(known)}
    copied = attrs.evolve(book, quotas=quotas)
    if table is not book.table:
        apply_limits(copied, OrganisationTable((organisation,)), revision)
    return copied


def copy_quota(quota: OrganisationQuota) -> OrganisationQuota:
    """Return a quota that can be changed."""

    def copy_counted(window: QuotaWindow) -> QuotaWindow:
        return attrs.evolve(window, counts=dict(window.counts))

    return attrs.evolve(
        quota,
        sends=copy_counted(quota.sends),
        arrivals=copy_counted(quota.arrivals),
        charges=dict(quota.charges),
    )
