"""Steps for the freshness of the catalogue on replicas whose messages are delayed."""

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


def delay_first(group, selects, kind, hold, count=1):
    """Delay the first messages that a function selects, and lose the later ones."""
    selected = []

    def choose_delay(source, target, message):
        group.delay = steady_delay
        if isinstance(message, kind) and selects(vm_of(source), vm_of(target)):
            delays = [hold] if len(selected) < count else []
            selected.append(message)
            group.delay = lambda *_: delays
        return 0

    group.measure = choose_delay


def find_lease(group, vm):
    """Return whether a replica grants a lease now, and the age of its newest information."""
    host = group.hosts[vm]
    now = group.clock(host)
    view = make_view(host.state, now)
    age = None if view.current_as_of is None else (now - view.current_as_of) / host.clock_rate
    return has_catalogue_lease(view, now), age


@when(
    "an append request to a follower is delayed for {seconds:d} seconds and the later ones are lost"
)
def step_hold_append(context, seconds):
    group = context.group
    context.follower = next(vm for vm in sorted(group.hosts) if vm != context.leader)
    group.run(1)
    assert find_lease(group, context.follower)[0], "no lease before the partition"
    context.heard = group.hosts[context.follower].state.leader_contact_at
    delay_first(
        group,
        lambda source, target: (source, target) == (context.leader, context.follower),
        AppendRequest,
        timedelta(seconds=seconds),
    )
    group.run(1)
    context.term = group.hosts[context.leader].state.term
    while group.hosts[context.follower].state.leader_contact_at - context.heard < timedelta(
        seconds=5
    ):
        assert not find_lease(group, context.follower)[0], "a lease during the partition"
        group.step()


@then(
    "the follower grants no lease when it arrives, and grants one again within {seconds:g} seconds"
)
def step_check_late_append(context, seconds):
    group = context.group
    assert group.hosts[context.leader].state.term == context.term, "the leader changed"
    is_leased, age = find_lease(group, context.follower)
    assert not is_leased, f"the delayed append request extends the lease, age {age}"
    group.measure, group.delay = None, steady_delay
    group.run(seconds)
    assert find_lease(group, context.follower)[0], "no lease after the partition"


@then(
    "the follower is normally current as of {shortest:d} to {longest:d} ms ago, "
    "or {lossy:d} ms after a lost heartbeat"
)
def step_check_age(context, shortest, longest, lossy):
    group = context.group

    def find_ages():
        ages = []
        for _ in range(200):
            group.step()
            is_leased, age = find_lease(group, context.follower)
            assert is_leased, f"no lease without faults, age {age}"
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
    delay_first(
        group,
        lambda source, target: target == context.leader,
        AppendResponse,
        timedelta(seconds=seconds),
        count=2,
    )
    while isinstance(group.hosts[context.leader].state.role, Leader):
        group.step()
        # The delayed responses answer append requests that were sent within one heartbeat of the
        # start.
        limit = timedelta(milliseconds=150 + 600) / 0.95 + 20 * MILLISECOND
        assert group.now - start <= limit, "delayed responses count as contact"
