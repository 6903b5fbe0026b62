"""Steps of the freshness of the catalogue on replicas whose messages are held."""

from datetime import timedelta

from behave import then, when

from camphorspread.version.delivery import has_catalogue_lease
from camphorspread.version.replica import make_view
from camphorspread.version.replica_messages import AppendRequest, AppendResponse
from camphorspread.version.replica_state import Leader
from features.fixtures.replica_host import steady_delay

MILLISECOND = timedelta(milliseconds=1)


def vm_of(member):
    return member.partition("/")[0]


def hold_first(group, selects, kind, hold, count=1):
    """Hold the first messages that a function selects, lose the later ones."""
    held = []

    def choose_delay(source, target, message):
        group.delay = steady_delay
        if isinstance(message, kind) and selects(vm_of(source), vm_of(target)):
            delays = [hold] if len(held) < count else []
            held.append(message)
            group.delay = lambda *_: delays
        return 0

    group.measure = choose_delay


def find_lease(group, vm):
    """Return whether a replica gives a lease now, and the age of what it knows."""
    host = group.hosts[vm]
    now = group.clock(host)
    view = make_view(host.state, now)
    age = None if view.leader_heard is None else (now - view.leader_heard) / host.clock_rate
    return has_catalogue_lease(view, now), age


@when("an append to a follower is held for {seconds:d} seconds and the later ones are lost")
def step_hold_append(context, seconds):
    group = context.group
    context.follower = next(vm for vm in sorted(group.hosts) if vm != context.leader)
    group.run(1)
    assert find_lease(group, context.follower)[0], "no lease before the partition"
    context.heard = group.hosts[context.follower].state.leader_heard
    hold_first(
        group,
        lambda source, target: (source, target) == (context.leader, context.follower),
        AppendRequest,
        timedelta(seconds=seconds),
    )
    group.run(1)
    context.term = group.hosts[context.leader].state.term
    while group.hosts[context.follower].state.leader_heard - context.heard < timedelta(seconds=5):
        assert not find_lease(group, context.follower)[0], "a lease during the partition"
        group.step()


@then("the follower gives no lease when it arrives, and gives one again within {seconds:g} seconds")
def step_check_late_append(context, seconds):
    group = context.group
    assert group.hosts[context.leader].state.term == context.term, "the leader changed"
    is_leased, age = find_lease(group, context.follower)
    assert not is_leased, f"the late append gives a lease, age {age}"
    group.measure, group.delay = None, steady_delay
    group.run(seconds)
    assert find_lease(group, context.follower)[0], "no lease after the partition"


@then(
    "the follower's lease at rest is {shortest:d} to {longest:d} ms old, "
    "or {lossy:d} ms after a lost heartbeat"
)
def step_check_age(context, shortest, longest, lossy):
    group = context.group

    def find_ages():
        ages = []
        for _ in range(200):
            group.step()
            is_leased, age = find_lease(group, context.follower)
            assert is_leased, f"no lease at rest, age {age}"
            ages.append(age // MILLISECOND)
        return min(ages), max(ages)

    # Clocks run up to 5% fast or slow, and time passes in steps of 10 ms.
    first, last = find_ages()
    assert shortest * 0.93 - 10 <= first and last <= longest * 1.07 + 10, (first, last)
    context.ages = (first, last)
    lost = []

    def lose_every_fourth(_, source, target):
        if (vm_of(source), vm_of(target)) != (context.leader, context.follower):
            return [55 * MILLISECOND]
        lost.append(target)
        return [] if len(lost) % 4 == 0 else [55 * MILLISECOND]

    group.delay = lose_every_fourth
    first, last = find_ages()
    group.delay = steady_delay
    assert last <= lossy * 1.07 + 10, (first, last)


@then("responses that arrive {seconds:g} seconds late don't extend the leader's lease")
def step_check_late_responses(context, seconds):
    group = context.group
    start = group.now
    hold_first(
        group,
        lambda source, target: target == context.leader,
        AppendResponse,
        timedelta(seconds=seconds),
        count=2,
    )
    while isinstance(group.hosts[context.leader].state.role, Leader):
        group.step()
        # The held responses answer appends that were sent within one heartbeat of the start.
        limit = timedelta(milliseconds=150 + 600) / 0.95 + 20 * MILLISECOND
        assert group.now - start <= limit, "late responses count as contact"
