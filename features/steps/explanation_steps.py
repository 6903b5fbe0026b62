"""Steps for explanations of requests in seeded states of a VM."""

from collections import Counter

import attrs
from behave import then, when

from camphorspread.process.explain_listener import encode_explanation
from camphorspread.request.dialect import KeyCredential, NoCredential
from camphorspread.request.explained_facts import (
    Explanation,
    ForwardTo,
    NotExplained,
    Question,
    Refuse,
    StartAt,
    WaitFor,
    WaitForShare,
)
from camphorspread.request.explanation import explain_request
from camphorspread.request.identify import Identified, combine_home_regions, identify
from camphorspread.request.placement_board import ForwardPlacement, LocalPlacement
from camphorspread.request.placement_queue import Granted, Refused, Waiter, request_placement
from camphorspread.request.quota import apply_limits, record_arrival
from camphorspread.request.quota_decision import Admitted, Over, Undecided, decide_charge
from camphorspread.request.refusals import (
    refuse_before_exit,
    refuse_charge,
    refuse_key,
    refuse_placement,
    refuse_without_region,
)
from camphorspread.request.routed_request import make_placement_request
from camphorspread.request.splitting import pick_service
from camphorspread.version.routing import find_route
from features.fixtures.explained_states import START, make_question, make_state, take_snapshot

DECISIONS = (StartAt, WaitFor, ForwardTo, WaitForShare, Refuse)
WAITS = {"no_free_slot", "stated_rate", "ramp_up", "vm_share"}
# Obstacles of candidates that have a cost.
PREFERENCES = {"shift_limit", "object_kept_elsewhere"}


@attrs.define
class Explained:
    """An explained request and the state that it was explained in."""

    seed: int
    view: object
    question: Question
    now: object
    before: object
    after: object
    explanation: Explanation | NotExplained
    real: object = None


@when("one request is explained in each of {count:d} seeded states")
def step_explain(context, count):
    context.explained = []
    for seed in range(count):
        view, now = make_state(seed)
        question = make_question(seed)
        if question.organisation not in view.table.organisations.by_name:
            question = attrs.evolve(question, organisation="")
        before = take_snapshot(view)
        explanation = explain_request(view, question, now)
        after = take_snapshot(view)
        context.explained.append(Explained(seed, view, question, now, before, after, explanation))


@then("a deep snapshot of each state is the same before and after")
def step_unchanged(context):
    for item in context.explained:
        assert item.before == item.after, (item.seed, find_difference(item.before, item.after))


def find_difference(before, after, path=""):
    """Return the first values that differ."""
    if isinstance(before, (tuple, list)) and isinstance(after, type(before)):
        if len(before) != len(after):
            return path, before, after
        for number, (old, new) in enumerate(zip(before, after, strict=True)):
            if old != new:
                return find_difference(old, new, f"{path}/{number}")
    return path, before, after


def decide_really(item):
    """Apply the decisions on a request to the state itself, in the order in which requests do."""
    view, question, now = item.view, item.question, item.now
    table = view.table
    route = find_route(table, question.host, question.path)
    named = table.organisations.by_name.get(question.organisation)
    credential = KeyCredential(named.keys[0]) if named else NoCredential()
    identity = identify(table, route, credential, view.contact)
    if not isinstance(identity, Identified):
        return refuse_key(identity.fault)
    organisation = identity.organisation
    if organisation is not None and organisation.is_limited:
        if view.quotas.table is not table.organisations:
            apply_limits(view.quotas, table.organisations, table.revision)
        name = organisation.name
        record_arrival(view.quotas.quotas[name], now)
        match decide_charge(view.quotas, name, now, view.can_renew, now):
            case Over() | Undecided() as result:
                return refuse_charge(result)
            case result if not isinstance(result, Admitted):
                return result
    regions = combine_home_regions(route, organisation)
    deadline = now + route.time_limit
    service = pick_service(view.splitter, route)
    if regions is None:
        return refuse_without_region()
    if view.exit_at is not None and deadline > view.exit_at:
        return refuse_before_exit()
    key = question.object_key
    req = make_placement_request(route, service, key, organisation, regions, now, deadline)
    waiter = Waiter(view.next_ticket, req, route.promised.total_seconds())
    return request_placement(view.board, view.waiting, waiter, now) or waiter


@when("in each state the real decision on that request follows")
def step_follow(context):
    for item in context.explained:
        item.real = decide_really(item)


@then("each real decision is the explained one, with the same cost and retry time")
def step_same(context):
    for item in context.explained:
        found, real = item.explanation.decision, item.real
        match real:
            case Granted(place=LocalPlacement(instance=instance, cost_s=cost_s)):
                expected = StartAt(instance.name, cost_s)
            case Granted(place=ForwardPlacement(peer=peer, cost_s=cost_s)):
                expected = ForwardTo(peer.vm, cost_s)
            case Waiter(instance=name, is_late=is_late):
                expected = WaitFor(name, found.cost_s, is_late)
            case Refused(retry_after=retry_after, has_server=has_server):
                expected = describe_denied(item, refuse_placement(has_server, retry_after))
            case _ if hasattr(real, "refusal"):
                expected = describe_denied(item, real)
            case _:
                expected = WaitForShare(found.cause, (real.until - item.now).total_seconds())
        assert found == expected, (item.seed, found, expected)


def describe_denied(item, denied):
    """Return the refusal that the caller of a request would see."""
    head = item.view.dialect.encode_refusal(denied.refusal, denied.retry_after)
    delay = denied.retry_after
    delay_s = None if delay is None else delay.total_seconds()
    cause = getattr(item.explanation.decision, "cause", "")
    return Refuse(head.status, denied.refusal.message, delay_s, cause)


@then("each kind of decision was explained at least {count:d} times")
def step_kinds(context, count):
    kinds = Counter(type(item.explanation.decision) for item in context.explained)
    assert all(kinds[kind] >= count for kind in DECISIONS), kinds


def list_obstacles(candidate):
    """Return the names of a candidate's obstacles."""
    return {obstacle.value for obstacle in candidate.obstacles}


@then(
    "candidates without a cost have an obstacle,"
    " and the first one with a cost explains the decision"
)
def step_candidates(context):
    context.obstacles = Counter()
    for item in context.explained:
        explanation = item.explanation
        candidates = (*explanation.servers, *explanation.other_vms)
        possible = []
        for candidate in candidates:
            names = list_obstacles(candidate)
            context.obstacles.update(names)
            if candidate.cost_s is None:
                assert names - PREFERENCES - WAITS, (item.seed, candidate)
            else:
                assert names <= PREFERENCES | WAITS, (item.seed, candidate)
                if "shift_limit" not in names:
                    possible.append(candidate)
        check_decision(item, explanation.decision, possible)


def check_decision(item, decision, possible):
    """Check a decision against the candidates that aren't ruled out."""
    match decision:
        case StartAt(server=name) | WaitFor(server=name) | ForwardTo(vm=name):
            best = min(possible, key=lambda candidate: candidate.cost_s)
            assert best.name == name, (item.seed, decision, best)
            assert best.cost_s == decision.cost_s, (item.seed, decision, best)
            is_waiting = bool(list_obstacles(best) & WAITS)
            assert is_waiting == isinstance(decision, WaitFor), (item.seed, decision, best)
        case Refuse(cause="no server may run it"):
            assert not possible, (item.seed, possible)


@then("each of these obstacles was stated")
def step_obstacles(context):
    missing = [row["obstacle"] for row in context.table if not context.obstacles[row["obstacle"]]]
    assert not missing, (missing, context.obstacles)


@then("no explanation contains a key")
def step_no_key(context):
    named = 0
    for item in context.explained:
        texts = (repr(item.explanation), repr(encode_explanation(item.explanation)))
        named += item.explanation.organisation is not None
        assert not any("key-" in text for text in texts), texts
    assert named > len(context.explained) / 4, named


@when("a request without {missing} is explained")
def step_explain_incomplete(context, missing):
    view, now = make_state(1)
    question = Question("water.example", "/read/x")
    match missing:
        case "routes":
            view = attrs.evolve(view, table=None)
        case "a matching route":
            question = attrs.evolve(question, path="/other/")
        case "a known organisation":
            question = attrs.evolve(question, organisation="nobody")
    context.explanation = explain_request(view, question, max(now, START))


@then('the explanation is "{text}"')
def step_error(context, text):
    assert context.explanation == NotExplained(text), context.explanation
