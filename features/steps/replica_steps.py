"""Steps for the replicated catalogue on simulated replicas."""

from datetime import timedelta

from behave import given, then, when
from behave import step as any_step

from camphorspread.version.changes import ChangeErrorKind
from camphorspread.version.replica_events import Received
from camphorspread.version.replica_messages import (
    AddLearner,
    AppendResponse,
    PromoteLearner,
    RemoveMember,
    SnapshotChunk,
    VoteRequest,
)
from camphorspread.version.replica_state import Leader
from features.fixtures.replica_chaos import run_chaos
from features.fixtures.replica_group import change, replica_group


def state_of(context, vm):
    return context.group.hosts[vm].state


def followers(context):
    return [vm for vm in sorted(context.group.hosts) if vm != context.leader]


def propose(context, request):
    """Send a change to the leader and return its outcome."""
    context.group.propose(context.group.wait_for_leader(), request)
    context.group.run(0.5)
    return context.group.outcomes.get(request.change_id)


def change_members(context, proposal):
    """Propose a membership change to the leader and return its error, None if it succeeds."""
    count = len(context.group.membership)
    context.group.propose_membership(context.group.wait_for_leader(), proposal)
    context.group.run(0.5)
    assert len(context.group.membership) > count, f"no answer to {proposal}"
    return context.group.membership[count]


def replace_disk(context, vm):
    """Replace a member by a replica with a blank disk on the same VM."""
    group = context.group
    old = group.member(vm)
    group.crash(vm)
    group.add_host(vm)
    group.start(vm)
    new = group.member(vm)
    for proposal in (
        AddLearner(new),
        PromoteLearner(vm, new.identity),
        RemoveMember(vm, old.identity),
    ):
        error = change_members(context, proposal)
        assert error is None, f"{proposal}: {error.message}"


@when("five changes that expect version 1 reach the leader in one order and then in another")
def step_race(context):
    group = context.group
    context.races = []
    for number, order in enumerate(((0, 1, 2, 3, 4), (3, 1, 4, 0, 2))):
        version = state_of(context, context.leader).committed.catalogue.version
        for item in order:
            group.propose(context.leader, change(f"race{number}-{item}", version, cap=item))
        group.run(0.5)
        names = [f"race{number}-{item}" for item in order]
        context.races.append([group.outcomes[name] for name in names])


@then("each time one is accepted and the others are refused with the current version")
def step_check_race(context):
    for first, *others in context.races:
        assert first.error is None, first
        for outcome in others:
            assert outcome.error.kind is ChangeErrorKind.VERSION_CONFLICT, outcome
            assert outcome.error.limit == str(first.version), outcome


@when("{count:d} replicas run under random faults with the seeds {first:d} to {last:d}")
def step_run_chaos(context, count, first, last):
    context.runs = [run_chaos(count, seed) for seed in range(first, last + 1)]


@then("no run violated an invariant")
def step_check_chaos(context):
    assert sum(len(group.outcomes) for group in context.runs) > 100, "too few changes were proposed"
    assert sum(len(group.leaders) for group in context.runs) > len(context.runs), "no elections"


@any_step("a group of {count:d} replicas with an accepted change")
def step_make_group(context, count):
    context.group = replica_group(count)
    context.leader = context.group.wait_for_leader()
    assert propose(context, change("first", 0)).version == 1
    assert propose(context, change("late", 0)).error.kind is ChangeErrorKind.VERSION_CONFLICT


@any_step("{seconds:g} seconds pass in the group")
def step_run_group(context, seconds):
    context.group.run(seconds)


@when("the disk of a follower is replaced and its replacement becomes a member")
def step_replace_follower(context):
    replace_disk(context, followers(context)[0])


@when("the disk of the other follower is lost")
def step_lose_second_disk(context):
    vm = followers(context)[1]
    context.group.crash(vm)
    context.group.add_host(vm)
    # The leader restarts as well, so that the vote of the replacement is needed.
    context.group.crash(context.leader)
    context.group.start(context.leader)


@then("the accepted change is preserved and a new one is accepted")
def step_check_change_kept(context):
    context.group.wait_for_leader()
    context.group.check_outcomes()
    assert propose(context, change("second", 1)).version == 2


@when("one follower is down and the disk of the leader takes {duration:d} ms to sync")
def step_slow_sync(context, duration):
    context.group.crash(followers(context)[0])
    context.group.hosts[context.leader].sync_time = timedelta(milliseconds=duration)


@then("a change is accepted only after that time")
def step_check_slow_sync(context):
    group = context.group
    group.propose(context.leader, change("slow", 1))
    group.run(0.38)
    assert "slow" not in group.outcomes, "the change was accepted before the leader's sync"
    group.run(0.1)
    assert group.outcomes["slow"].version == 2


@given("{count:d} blank replicas of which one doesn't run")
def step_start_some(context, count):
    context.group = replica_group(count)
    context.group.crash("b")


@when("two replicas stop and one of them comes back with a blank disk")
def step_blank_replacement(context):
    first, second = followers(context)
    context.group.crash(first)
    context.group.crash(second)
    context.group.add_host(first)
    context.group.start(first)


@then("the group has no leader")
def step_check_no_leader(context):
    assert context.group.leader() is None, f"{context.group.leader()} leads"


@when("the replica with the lowest name comes back with a blank disk and is cut off")
def step_blank_founder(context):
    group = context.group
    group.crash("a")
    group.add_host("a")
    group.start("a")
    group.run(5)
    group.cut({"a"}, {"b", "c"})


@then("the blank replica has no members and isn't a leader")
def step_check_blank_founder(context):
    state = state_of(context, "a")
    assert state.members == () and not isinstance(state.role, Leader), state.members


@then("a learner that is cut off isn't promoted and a second change has to wait")
def step_check_membership_rules(context):
    group = context.group
    vm = followers(context)[0]
    old = group.member(vm)
    group.crash(vm)
    group.add_host(vm)
    group.start(vm)
    new = group.member(vm)
    group.cut({vm}, set(group.hosts) - {vm})
    assert change_members(context, AddLearner(new)) is None
    error = change_members(context, PromoteLearner(vm, new.identity))
    assert error.field == "synced_entry", error
    group.cuts.clear()
    group.run(1)
    count = len(group.membership)
    group.propose_membership(context.leader, PromoteLearner(vm, new.identity))
    group.propose_membership(context.leader, RemoveMember(vm, old.identity))
    group.run(0.5)
    second, first = group.membership[count:]
    assert first is None and second.limit == "one change at a time", (first, second)


@when("in the group, {event} happens")
def step_let_happen(context, event):
    group = context.group
    match event:
        case "a leader change":
            group.crash(context.leader)
        case "a snapshot":
            add_changes(context, 1001)
            assert state_of(context, context.leader).snapshot_index > 1000
            fail_all(context)
        case "a restart of all":
            fail_all(context)
        case "nothing":
            pass
        case _:
            raise AssertionError(f"unknown event {event}")


def fail_all(context):
    """Restart all replicas at once."""
    for vm in sorted(context.group.hosts):
        context.group.crash(vm)
        context.group.start(vm)


def add_changes(context, count):
    """Propose many changes to the leader."""
    version = state_of(context, context.leader).committed.catalogue.version
    for number in range(count):
        context.group.propose(context.leader, change(f"more{version + number}", version + number))
    context.group.run(1)


@then("the accepted and the refused change get their original outcomes when resent")
def step_check_resent(context):
    group = context.group
    before = dict(group.outcomes)
    leader = group.wait_for_leader()
    version = state_of(context, leader).committed.catalogue.version
    group.propose(leader, change("first", 0))
    group.propose(leader, change("late", 0))
    group.run(0.5)
    assert group.outcomes == before and not group.errors, group.errors
    assert state_of(context, leader).committed.catalogue.version == version


@when("the leader is cut off from the others")
def step_cut_leader(context):
    context.group.cut({context.leader}, set(followers(context)))


@then("it stops leading before another one leads")
def step_check_step_down(context):
    group = context.group
    former = state_of(context, context.leader)
    stepped_down_at = None
    for _ in range(600):
        group.step()
        if stepped_down_at is None and not isinstance(former.role, Leader):
            stepped_down_at = group.now
        if any(isinstance(state_of(context, vm).role, Leader) for vm in followers(context)):
            break
    assert stepped_down_at is not None and stepped_down_at < group.now, (
        f"{context.leader} still leads at {group.now}"
    )
    assert group.leader() in (None, *followers(context))


@then("with the seeds {first:d} to {last:d} a second leader steps down in time as well")
def step_check_second_leader(context, first, last):
    for seed in range(first, last + 1):
        context.group = group = replica_group(3, seed)
        former = group.wait_for_leader()
        propose(context, change("first", 0))
        group.crash(former)
        group.run(2)
        context.leader = group.wait_for_leader()
        group.start(former)
        propose(context, change("second", 1))
        step_cut_leader(context)
        step_check_step_down(context)


@when("a follower is cut off for {seconds:g} seconds and returns")
def step_cut_follower(context, seconds):
    group = context.group
    context.term = state_of(context, context.leader).term
    # The duration of the cut varies, so that some cuts end just before a pre-vote.
    for number in range(10):
        group.cut({followers(context)[0]}, set(group.hosts) - {followers(context)[0]})
        group.run(seconds + 0.13 * number)
        group.cuts.clear()
        group.run(3)


@when("a follower can't reach the leader for {seconds:g} seconds")
def step_cut_pair(context, seconds):
    group = context.group
    context.term = state_of(context, context.leader).term
    group.cut({followers(context)[0]}, {context.leader})
    group.run(seconds)


@when("a follower restarts while the leader is cut off from the other follower")
def step_restart_in_cut(context):
    group = context.group
    first, second = followers(context)
    context.term = state_of(context, context.leader).term
    group.cut({first}, {context.leader})
    # The other follower repeats its pre-votes, so that the restarts fall into all phases.
    for _ in range(20):
        group.run(0.35)
        group.crash(second)
        group.start(second)
    group.cuts.clear()
    group.run(5)


@when("the leader restarts with an entry that the others lack and leads again")
def step_lead_with_old_entry(context):
    group = context.group
    step_cut_leader(context)
    group.propose(context.leader, change("old", 1))
    group.run(0.1)
    group.crash(context.leader)
    # The remaining follower has the shorter log and can't be elected.
    group.crash(followers(context)[1])
    group.start(context.leader)
    group.cuts.clear()
    for _ in range(2000):
        group.step()
        if isinstance(state_of(context, context.leader).role, Leader):
            return
    raise AssertionError("the replica with the longest log doesn't lead")


@then("acknowledgements of that entry alone commit nothing")
def step_check_old_entry(context):
    group = context.group
    state = state_of(context, context.leader)
    index = state.log.last_index - 1
    assert state.committed.index < index and state.log.term_at(index) < state.term
    message = AppendResponse(state.term, True, index, timedelta(0))
    follower = group.member(followers(context)[0])
    group.handle_event(context.leader, Received(follower.member_id, message))
    assert state.committed.index < index, "an entry of an earlier term was committed"


@then("leader and term are unchanged")
def step_check_same_leader(context):
    assert context.group.leader() == context.leader
    terms = {host.state.term for host in context.group.hosts.values()}
    assert terms == {context.term}, terms


@when("the disk of the leader is full")
def step_fill_disk(context):
    context.group.fail_disk(context.leader)


@then("another replica leads and the one with the full disk refuses changes and gives the cause")
def step_check_full_disk(context):
    group = context.group
    group.run(5)
    assert group.leader() in followers(context), group.leader()
    group.propose(context.leader, change("more", 1))
    assert group.errors[-1].kind is ChangeErrorKind.DISK_FULL, group.errors
    assert propose(context, change("more", 1)).version == 2
    group.run(1)
    assert state_of(context, context.leader).committed.catalogue.version == 1


@when("a follower misses {count:d} changes and returns")
def step_miss_changes(context, count):
    group = context.group
    context.missing = followers(context)[0]
    group.crash(context.missing)
    add_changes(context, count - 250)
    add_changes(context, 250)
    group.start(context.missing)


@then("it catches up from a snapshot and the log within {seconds:g} seconds")
def step_check_catch_up(context, seconds):
    group = context.group
    chunks = []
    group.measure = lambda source, target, message: (
        chunks.append(isinstance(message, SnapshotChunk)) or 0
    )
    group.run(seconds)
    behind, leader = state_of(context, context.missing), state_of(context, context.leader)
    assert any(chunks), "no snapshot was sent"
    assert behind.committed.catalogue == leader.committed.catalogue
    assert list(behind.committed.outcomes) == list(leader.committed.outcomes)
    assert behind.log.last_index > behind.snapshot_index, "the end of the log wasn't sent"


def time_without_leader(group, leader, limit):
    """Crash the leader and return the milliseconds until another one is ready."""
    start = group.now
    group.crash(leader)
    group.wait_for_leader(limit)
    return (group.now - start) // timedelta(milliseconds=1)


@then(
    "with the seeds {first:d} to {last:d} {count:d} replicas have a new leader "
    "within {limit:d} ms of its loss"
)
def step_check_replacement_time(context, first, last, count, limit):
    for seed in range(first, last + 1):
        group = replica_group(count, seed)
        leader = group.wait_for_leader()
        group.run(1 + 0.037 * seed)
        duration = time_without_leader(group, leader, 20)
        assert duration <= limit, f"seed {seed}: {duration} ms without a leader"


@then(
    "with the seeds {first:d} to {last:d} a group of 5 with such a replica gets a new leader "
    "within {limit:d} ms"
)
def step_check_poorly_connected(context, first, last, limit):
    for seed in range(first, last + 1):
        group = replica_group(5, seed)
        leader = group.wait_for_leader()
        group.run(1 + 0.037 * seed)
        poor, *others = [vm for vm in sorted(group.hosts) if vm != leader]
        state = group.hosts[poor].state
        group.cut({poor}, set(others))
        group.crash(leader)
        start = group.now
        while group.leader() is None and group.now - start < timedelta(milliseconds=limit):
            # Its requests arrive more often than the shortest election timeout of the others.
            log = state.log
            request = VoteRequest(state.term + 1, log.last_index, log.last_term, True)
            for vm in others:
                group.handle_event(vm, Received(state.own_id, request))
            group.run(0.2)
        assert group.leader() is not None, f"seed {seed}: no leader within {limit} ms"


@then(
    "with the seeds {first:d} to {last:d} a group of 5 that restarts within {took:g} s "
    "has a leader within {limit:d} ms"
)
def step_check_restart_time(context, first, last, took, limit):
    for seed in range(first, last + 1):
        group = replica_group(5, seed)
        group.wait_for_leader()
        group.run(1)
        for vm in group.hosts:
            group.crash(vm)
        group.run(took)
        for vm in group.hosts:
            group.start(vm, timedelta(seconds=took))
        start = group.now
        while group.leader() is None and group.now - start < timedelta(milliseconds=limit):
            group.run(0.01)
        assert group.leader() is not None, f"seed {seed}: no leader within {limit} ms"
