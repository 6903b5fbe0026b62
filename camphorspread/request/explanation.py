"""Explains where an entry VM would send a request now, and why, without sending it.

The decisions are those of requests, applied to copies of what they change.
"""

from collections.abc import Iterable
from datetime import timedelta
from operator import attrgetter

import attrs

from camphorspread.process.quota_shares import Pressure
from camphorspread.request.decision_copy import (
    copy_board,
    copy_queue,
    copy_quotas,
    copy_splitter,
)
from camphorspread.request.dialect import KeyCredential, NoCredential
from camphorspread.request.explained_candidates import (
    Obstacle,
    OtherVmCandidate,
    ServerCandidate,
    describe_server,
    describe_vm,
)
from camphorspread.request.explained_facts import (
    Decision,
    Explanation,
    ForwardTo,
    NotExplained,
    OrganisationFacts,
    Question,
    QuotaFacts,
    Refuse,
    RouteFacts,
    StartAt,
    VmView,
    WaitFor,
    WaitForShare,
)
from camphorspread.request.identify import (
    Identified,
    Unidentified,
    combine_home_regions,
    identify,
)
from camphorspread.request.peer_placement import list_peer_placements
from camphorspread.request.placement import (
    choose_placement,
    is_kept_at_home,
    list_candidates,
    list_local_placements,
)
from camphorspread.request.placement_board import (
    ForwardPlacement,
    LocalPlacement,
    NoPlacement,
    Placement,
    PlacementBoard,
    PlacementRequest,
    QueuedPlacement,
    find_region,
    find_run_times,
)
from camphorspread.request.placement_queue import (
    Granted,
    Refused,
    Waiter,
    count_request,
    request_placement,
)
from camphorspread.request.quota import count_used, expire_shares, record_arrival
from camphorspread.request.quota_decision import (
    Admitted,
    Over,
    Undecided,
    WaitForRenewal,
    WaitForTurn,
    decide_charge,
)
from camphorspread.request.refusals import (
    refuse_before_exit,
    refuse_charge,
    refuse_key,
    refuse_placement,
    refuse_without_region,
)
from camphorspread.request.routed_request import Denied, make_placement_request
from camphorspread.request.service_totals import find_totals
from camphorspread.request.splitting import pick_service
from camphorspread.version.organisations import Organisation
from camphorspread.version.routing import Route, find_route

__all__ = ["explain_request"]

Candidate = ServerCandidate | OtherVmCandidate


def explain_request(view: VmView, question: Question, now: timedelta) -> Explanation | NotExplained:
    """Explain where a request that arrives now would go; nothing in the view changes."""
    table = view.table
    if table is None:
        return NotExplained("this VM has no routes yet")
    route = find_route(table, question.host, question.path)
    if route is None:
        return NotExplained("no route has this host and path")
    organisation = table.organisations.by_name.get(question.organisation)
    if question.organisation and organisation is None:
        return NotExplained("no organisation has this name")
    identity = identify_named(view, route, organisation)
    if isinstance(identity, Identified):
        # On a public route, a request whose key isn't accepted is served for no organisation.
        organisation = identity.organisation
    service = pick_service(copy_splitter(view.splitter), route)
    home_regions = combine_home_regions(route, organisation)
    deadline = now + route.time_limit
    req = make_placement_request(
        route, service, question.object_key, organisation, home_regions or (), now, deadline
    )
    board = copy_board(view.board, service, req.object_key)
    count_request(board, req, now)
    place = choose_placement(board, req, route.promised.total_seconds(), now)
    is_kept, servers, vms = describe_candidates(board, req, route, place, now)
    denied = find_denial(view, identity, home_regions, deadline, now)
    if denied is None:
        decision = decide(view, req, route, place, now)
    elif isinstance(denied, Denied):
        decision = describe_refusal(view, denied)
    else:
        decision = denied
    return Explanation(
        board.vm,
        table.revision,
        RouteFacts(
            route.name,
            service,
            route.rank,
            route.time_limit.total_seconds(),
            route.promised.total_seconds(),
            route.home_regions,
            route.has_affinity,
            route.is_public,
        ),
        None if organisation is None else describe_organisation(view, organisation, now),
        view.waiting.count(service),
        is_kept,
        # Without a region that may run the request, candidates would be those of all regions.
        () if home_regions is None else servers,
        () if home_regions is None else vms,
        decision,
    )


def identify_named(
    view: VmView, route: Route, organisation: Organisation | None
) -> Identified | Unidentified:
    """Identify a request that has a key of an organisation, or none."""
    credential = NoCredential()
    if organisation is not None and organisation.keys:
        credential = KeyCredential(organisation.keys[0])
    return identify(view.table, route, credential, view.contact)


def find_denial(
    view: VmView,
    identity: Identified | Unidentified,
    home_regions: tuple[str, ...] | None,
    deadline: timedelta,
    now: timedelta,
) -> Denied | WaitForShare | None:
    """Return why the request isn't placed now, None if it is."""
    match identity:
        case Unidentified(fault=fault):
            return refuse_key(fault)
        case Identified(organisation=Organisation(is_limited=True) as limited):
            denied = try_charge(view, limited, now)
            if denied is not None:
                return denied
    if home_regions is None:
        return refuse_without_region()
    if view.exit_at is not None and deadline > view.exit_at:
        return refuse_before_exit()
    return None


def try_charge(
    view: VmView, organisation: Organisation, now: timedelta
) -> Denied | WaitForShare | None:
    """Return why the request isn't within its organisation's share, None if it is."""
    name, table = organisation.name, view.table
    book = copy_quotas(view.quotas, table.organisations, table.revision, organisation)
    record_arrival(book.quotas[name], now)
    match decide_charge(book, name, now, view.can_renew, now):
        case Admitted():
            return None
        case Over() | Undecided() as result:
            return refuse_charge(result)
        case WaitForTurn(until=until):
            return WaitForShare("an earlier send leaves the window", (until - now).total_seconds())
        case WaitForRenewal(until=until):
            return WaitForShare("the share is renewed", (until - now).total_seconds())


def decide(
    view: VmView, req: PlacementRequest, route: Route, place: Placement, now: timedelta
) -> Decision:
    """Return the decision on a request that is admitted."""
    board = copy_board(view.board, req.service, req.object_key)
    queue = copy_queue(view.waiting, req.service)
    waiter = Waiter(view.next_ticket, req, route.promised.total_seconds())
    match request_placement(board, queue, waiter, now):
        case Granted(place=LocalPlacement(instance=instance, cost_s=cost_s)):
            return StartAt(instance.name, cost_s)
        case Granted(place=ForwardPlacement(peer=peer, cost_s=cost_s)):
            return ForwardTo(peer.vm, cost_s)
        case Refused(retry_after=retry_after, has_server=has_server):
            denied = refuse_placement(has_server, retry_after)
            return describe_refusal(view, denied, explain_refusal(req, place, now))
        case None:
            return WaitFor(waiter.instance, getattr(place, "cost_s", 0.0), waiter.is_late)


def explain_refusal(req: PlacementRequest, place: Placement, now: timedelta) -> str:
    """Return why a request has no placement."""
    match place:
        case NoPlacement(return_delay=timedelta()):
            return "all servers of the service are in a pause"
        case NoPlacement():
            return "no server may run it"
        case _:
            promised_s = (req.promised_at - now).total_seconds()
            return f"expected after {place.cost_s:.3f} s, promised after {promised_s:.3f} s"


def describe_refusal(view: VmView, denied: Denied, cause: str = "") -> Refuse:
    """Return a refusal as its caller would see it."""
    delay = denied.retry_after
    status = view.dialect.encode_refusal(denied.refusal, delay).status
    retry_after_s = None if delay is None else delay.total_seconds()
    return Refuse(status, denied.refusal.message, retry_after_s, cause)


def describe_organisation(
    view: VmView, organisation: Organisation, now: timedelta
) -> OrganisationFacts:
    """Return an organisation with its share at this VM."""
    quota = None
    if organisation.is_limited:
        quota = describe_quota(view, organisation, now)
    return OrganisationFacts(organisation.name, organisation.rank, organisation.home_regions, quota)


def describe_quota(view: VmView, organisation: Organisation, now: timedelta) -> QuotaFacts:
    """Return the limit of an organisation and this VM's share of it."""
    table = view.table
    book = copy_quotas(view.quotas, table.organisations, table.revision, organisation)
    expire_shares(book, now)
    quota = book.quotas[organisation.name]
    used = count_used(quota, now)
    return QuotaFacts(
        organisation.rate,
        organisation.burst,
        quota.usable or 0,
        quota.share,
        used,
        max(quota.share - used, 0),
        (now - quota.granted_at).total_seconds() if quota.usable_at_grant else None,
        quota.is_leased,
        Pressure(quota.pressure).name.lower(),
    )


def describe_candidates(
    board: PlacementBoard, req: PlacementRequest, route: Route, chosen: Placement, now: timedelta
) -> tuple[bool, tuple[ServerCandidate, ...], tuple[OtherVmCandidate, ...]]:
    """Return whether the object is kept at home, and all candidates, the cheapest first.

    Args:
        board: A copy of the state of servers and VMs.
        req: The request.
        route: Its route.
        chosen: The placement that was chosen among the candidates.
        now: Current monotonic time.
    """
    times = find_run_times(board, req.service, req.route, route.promised.total_seconds())
    totals = find_totals(board, req.service, now)
    is_kept = is_kept_at_home(board, req, times, totals, now)
    local: dict[str, LocalPlacement | QueuedPlacement] = {
        item.instance.name: item
        for item in list_local_placements(board, req, times, totals, is_kept, now)
    }
    forwards = {
        item.peer.vm: item for item in list_peer_placements(board, req, times, totals, is_kept, now)
    }
    placements = [*local.values(), *forwards.values()]
    # Only the shift limit can prevent the choice of the candidate with the lowest cost.
    has_shifted = bool(placements) and find_target(
        min(placements, key=attrgetter("cost_s"))
    ) != find_target(chosen)
    considered = {item.name for item in list_candidates(board, req, now)}
    # In the order in which they are compared, which decides between equal costs.
    known = {item.name: item for item in board.registry.by_service.get(req.service, ())}
    servers = [
        describe_server(
            board, req, known[name], local.get(name), name in considered, times, totals, now
        )
        for name in dict.fromkeys((*local, *known))
    ]
    vms = [
        describe_vm(board, req, peer, forwards.get(peer.vm), totals, now)
        for peer in board.peers.values()
    ]

    def add_preferences(item: Candidate) -> Candidate:
        more = ()
        if has_shifted and item.cost_s is not None and item.cost_s <= chosen.cost_s:
            is_elsewhere = item.region != find_region(board, chosen)
            more = (Obstacle.SHIFT_LIMIT,) if is_elsewhere else ()
        if not is_kept and item.region == board.region:
            more += (Obstacle.OBJECT_KEPT_ELSEWHERE,)
        return attrs.evolve(item, obstacles=item.obstacles + more)

    return (
        is_kept,
        tuple(sort_candidates(map(add_preferences, servers))),
        tuple(sort_candidates(map(add_preferences, vms))),
    )


def find_target(place: Placement) -> str:
    """Return the name of the server or VM of a placement, empty for none."""
    match place:
        case LocalPlacement(instance=instance) | QueuedPlacement(instance=instance):
            return instance.name
        case ForwardPlacement(peer=peer):
            return peer.vm
        case NoPlacement():
            return ""


def sort_candidates(items: Iterable[Candidate]) -> list[Candidate]:
    """Return candidates with the lowest cost first, and those that are ruled out last."""
    return sorted(items, key=lambda item: (item.cost_s is None, item.cost_s or 0.0))
