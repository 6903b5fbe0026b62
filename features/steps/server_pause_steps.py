"""Steps for backend servers that ask for a pause when they reject a request."""

import asyncio
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.messages import ResponseHead
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.process.instances import is_usable
from camphorspread.process.loans import LentList, update_lent_list
from camphorspread.process.server_statements import expire_statements, find_statements
from camphorspread.request.dialect import LoadStated, Unreadable
from camphorspread.request.placement import can_start_run, match_freed_slot
from camphorspread.request.placement_board import MIN_MEASURED_RUNS, RunTimes
from camphorspread.request.placement_queue import Refused, review_waiters
from camphorspread.request.run_statistics import record_run_end, record_run_start
from camphorspread.request.server_pause import RAMP_TIME, apply_pause
from features.fixtures.placement_simulation import make_board, make_request
from features.fixtures.platform_fleet import ZONES
from features.steps.placement_steps import add_waiter, make_full_board
from features.steps.server_leaving_steps import OWNED, announce
from features.steps.server_limit_steps import read_logs, step_send_steadily

NOW = timedelta(seconds=5)
START_WAIT_S = 6
# Part of a pause in which the requests that crossed the rejection have arrived.
CROSSING_S = 0.5


@given('a response with the load header "{header}"')
def step_load(context, header):
    fields = ((b"server-load", header.encode()),)
    context.statement = PlatformDialect().decode_response(ResponseHead(200, fields)).load


@then("its load is read as {running:d} {waiting:d} {slots:d} without a speed")
def step_load_without_speed(context, running, waiting, slots):
    assert context.statement == LoadStated(running, waiting, slots, None), context.statement


@then("its load is read as {running:d} {waiting:d} {slots:d} with speed {speed:g}")
def step_load_with_speed(context, running, waiting, slots, speed):
    assert context.statement == LoadStated(running, waiting, slots, speed), context.statement


@then("its load is read as unreadable")
def step_load_unreadable(context):
    assert isinstance(context.statement, Unreadable), context.statement


@given('a response {status:d} {run} with the retry headers "{headers}"')
def step_rejection(context, status, run, headers):
    fields = tuple((b"retry-after", value) for value in headers.encode().split(b" / "))
    if run == "not run":
        fields += ((b"not-executed", b"1"),)
    context.pause = PlatformDialect().decode_response(ResponseHead(status, fields)).pause


@then("its pause is read as {seconds:g} s")
def step_pause(context, seconds):
    assert context.pause == timedelta(seconds=seconds), context.pause


@then("its pause is read as none")
def step_no_pause(context):
    assert context.pause is None, context.pause


@given("the statements of a server that is away, with a pause of {seconds:d} s")
def step_away(context, seconds):
    context.kept = {}
    statements = find_statements(context.kept, "i-0", 1)
    statements.paused_until = timedelta(seconds=seconds)
    statements.ramp_until = statements.paused_until + RAMP_TIME


@then("they are kept after {before:d} s and dropped after {after:d} s")
def step_dropped(context, before, after):
    for seconds in range(before + 1):
        expire_statements(context.kept, (), timedelta(seconds=seconds))
    assert list(context.kept) == ["i-0"]
    expire_statements(context.kept, (), timedelta(seconds=after))
    assert not context.kept


@when("both ask for a pause of {seconds:g} s")
def step_both_pause(context, seconds):
    board = make_board(0)
    for instance in context.registry.instances.values():
        apply_pause(board, instance, timedelta(seconds=seconds), NOW)


def list_usable(context, now):
    """Return the servers that the VM may use, and those that it lends."""
    instances = context.registry.instances
    lent = LentList()
    update_lent_list(lent, context.registry, frozenset(), now)
    usable = [name for name in sorted(instances) if is_usable(instances[name], frozenset(), now)]
    return usable, [report.instance for report in lent.reports]


@then("the VM may use none of them, and still lends the one it owns")
def step_unusable(context):
    assert list_usable(context, NOW) == ([], [OWNED])


@then("the VM may use none of them {seconds:g} s later")
def step_unusable_later(context, seconds):
    later = NOW + timedelta(seconds=seconds)
    announce(context, 100, 3, later)
    assert list_usable(context, later) == ([], [OWNED])


@then("the VM may use both of them {seconds:g} s later")
def step_usable_later(context, seconds):
    later = NOW + timedelta(seconds=seconds)
    announce(context, 100, 4, later)
    assert len(list_usable(context, later)[0]) == 2


@given("a server of {slots:d} slots that asked for a pause of {seconds:g} s")
def step_paused_server(context, slots, seconds):
    context.board = make_board(1, slots)
    context.server = context.board.registry.instances["i-0"]
    assert apply_pause(context.board, context.server, timedelta(seconds=seconds), NOW)
    context.pause_end = context.server.stated.paused_until
    assert timedelta(0) <= context.pause_end - NOW - timedelta(seconds=seconds) <= timedelta(0.25)


@when("a request of {run:g} s is started whenever it is possible")
def step_start_runs(context, run):
    context.starts, ends = [], []
    req, step = make_request(0.0), timedelta(milliseconds=1)
    for number in range(4000):
        now = NOW + number * step
        while ends and ends[0] <= now:
            record_run_end(context.board, context.server, req, True, run, ends.pop(0))
        if can_start_run(context.board, context.server, now):
            record_run_start(context.server, now)
            context.starts.append(now - context.pause_end)
            ends.append(now + timedelta(seconds=run))


@then("none is started in the pause")
def step_none_in_pause(context):
    assert min(context.starts) >= timedelta(0), min(context.starts)


@then("{counts} are started within {times} s of its end")
def step_ramp(context, counts, times):
    expected = [int(item) for item in counts.replace(" and ", ", ").split(", ")]
    limits = [float(item) for item in times.replace(" and ", ", ").split(", ")]
    actual = [sum(at < timedelta(seconds=limit) for at in context.starts) for limit in limits]
    assert actual == expected, actual


@then("more are started afterwards")
def step_after_ramp(context):
    later = [at for at in context.starts if at >= timedelta(seconds=1)]
    assert len(later) > 100, len(later)


@given("a queued request that waits for a server that asked for a pause of {seconds:g} s")
def step_queued(context, seconds):
    context.board = make_board(2)
    times = RunTimes(0.1, 1.0, 0.5, runs=MIN_MEASURED_RUNS)
    context.board.run_times[("status", "read")] = times
    context.req = make_request(5.0, "o1")
    context.server = context.board.registry.instances["i-0"]
    context.server.warm_objects["o1"] = None
    assert match_freed_slot(context.board, context.req, get_other(context), "i-0", NOW) is None
    apply_pause(context.board, context.server, timedelta(seconds=seconds), NOW)


def get_other(context):
    """Return the server that the request doesn't wait for."""
    return context.board.registry.instances["i-1"]


@then("it starts at another server that has a freed slot")
def step_starts_elsewhere(context):
    other = get_other(context)
    place = match_freed_slot(context.board, context.req, other, "i-0", NOW)
    assert place is not None and place.instance is other, place


def list_endpoints(context, service, zones):
    """Return the endpoints of a service in some zones, separated by commas."""
    names = ZONES if zones == "all" else zones.split(",")
    return [context.fleet.endpoints[f"{service}-{zone}"] for zone in names]


@given('clients of each zone have sent {rate:d} "read" requests a second for {seconds:d} s')
def step_sent_before(context, rate, seconds):
    step_send_steadily(context, rate, seconds)


@when(
    'the "{service}" endpoints of "{zones}" reject all with a pause of {pause:g} s for '
    "{seconds:g} s"
)
def step_reject(context, service, zones, pause, seconds):
    context.pausing = list_endpoints(context, service, zones)
    context.pause_s = pause

    async def recover():
        await asyncio.sleep(seconds)
        for endpoint in context.pausing:
            endpoint.fault = ""

    for endpoint in context.pausing:
        endpoint.fault, endpoint.retry_after = "shed", b"%g" % pause
        endpoint.arrivals.clear()
    context.recovery = context.fleet.loop.create_task(recover())


@then(
    "each entry VM sent at most {most:d} requests from {start:g} s after a rejection to the end of "
    "its pause"
)
def step_at_most(context, most, start):
    for endpoint in context.pausing:
        assert endpoint.paused, endpoint.instance
        for at, host in endpoint.paused:
            count = sum(
                at + start < arrival <= at + context.pause_s
                for arrival, sender in endpoint.arrivals
                if sender == host
            )
            assert count <= most, (endpoint.instance, host, at, count)


@then("at least {percent:d} percent of these requests got 200")
def step_served(context, percent):
    served = sum(answer[0] == 200 for answer, _ in context.answers)
    assert served >= percent / 100 * len(context.answers), (served, len(context.answers))


@then("each of them ran requests after the end of the pauses")
def step_ran_again(context):
    for endpoint in context.pausing:
        last_end = max(at for at, _ in endpoint.paused) + context.pause_s
        assert [at for at in endpoint.run_times if at > last_end], endpoint.instance


@then("the entry VMs have logged and counted the pauses")
def step_logged(context):
    assert "instance_paused" in read_logs(context)
    counts = [sum(vm.state.metrics.pauses.values()) for vm in context.fleet.entries.values()]
    assert sum(counts) == sum(len(endpoint.paused) for endpoint in context.pausing), counts


@then("the entry VMs haven't taken the rejections for runs")
def step_no_runs_learned(context):
    # Each run takes 0.1 s, and a rejection a few milliseconds.
    for vm in context.fleet.entries.values():
        for times in vm.state.board.run_times.values():
            assert times.warm_s > 0.0995, times


@given("{count:d} requests that wait for the only server, which asked for a pause of {seconds:g} s")
def step_waiting(context, count, seconds):
    make_full_board(context)
    for ticket in range(count):
        far = timedelta(seconds=1000)
        add_waiter(context, ticket, make_request(0.0, promised_at=far, deadline=far))
    assert context.waiting.count("status") == count
    apply_pause(context.board, context.instance, timedelta(seconds=seconds), timedelta(0))


@when("the queue is reviewed once")
def step_review(context):
    context.decisions = review_waiters(context.board, context.waiting, "status", timedelta(0))


@then("all of them are refused, with times to return from {least:g} to {most:g} s that differ")
def step_all_refused(context, least, most):
    assert not context.waiting.count("status"), context.waiting
    assert all(isinstance(item, Refused) for item in context.decisions), context.decisions
    delays = [item.retry_after.total_seconds() for item in context.decisions]
    assert least <= min(delays) and max(delays) <= most, delays
    assert len(set(delays)) == len(delays), delays


@then(
    "their times to return are at most {seconds:g} s after the end of the first pause, and differ"
)
def step_return_times(context, seconds):
    refused = [(answer, spent) for answer, spent in context.answers if answer[0] == 503]
    times = [float(answer[1][b"retry-after"]) for answer, _ in refused[len(refused) // 2 :]]
    # The later half was sent in the second half of 3 s.
    assert max(times) <= context.pause_s - 1.5 + seconds, times
    assert min(times) >= context.pause_s - 3, times
    assert len(set(times)) > len(times) / 3, times


@given('a fleet with an endpoint of "{service}" in "{zone}" only')
def step_one_endpoint(context, service, zone):
    context.fleet.start_all()
    context.fleet.add_endpoint(f"{service}-{zone}", service, zone)
    context.fleet.run(START_WAIT_S)


@when('a client of "{first}" sends a request, and {seconds:g} s later one of "{second}"')
def step_two_requests(context, first, seconds, second):
    fleet = context.fleet
    context.answers = [fleet.run_coroutine(fleet.request(first, "/read/1"))]
    fleet.run(seconds)
    context.pauses = {name: node.state.metrics.pauses.total() for name, node in list_nodes(fleet)}
    context.answers.append(fleet.run_coroutine(fleet.request(second, "/read/2")))


def list_nodes(fleet):
    """Return the entry VMs by name."""
    return fleet.entries.items()


@then("only the VM that sent the first request has paused the endpoint")
def step_one_paused(context):
    [endpoint] = context.pausing
    senders = {host for _, host in endpoint.arrivals[:1]}
    paused = {
        node.state.settings.peers.host
        for name, node in list_nodes(context.fleet)
        if context.pauses[name]
    }
    assert context.answers[0][0] == 503, context.answers
    assert paused == senders, (paused, senders)
    assert len(endpoint.paused) == 1, endpoint.paused


@then("the endpoint got the second request")
def step_second_arrived(context):
    assert context.answers[1][0] == 200, context.answers
    assert len(context.pausing[0].arrivals) == 2, context.pausing[0].arrivals


@given('the "{service}" endpoints state the load "{load}"')
def step_state_load(context, service, load):
    for endpoint in list_endpoints(context, service, "all"):
        endpoint.load = load.encode()


@then("the entry VMs have logged and counted unreadable loads")
def step_load_logged(context):
    assert "load_unreadable" in read_logs(context)
    assert any(vm.state.metrics.unreadable_loads.total() for vm in context.fleet.entries.values())
