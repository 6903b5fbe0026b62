"""Steps for once keys and the ledger."""

import asyncio
import json
import random
from datetime import timedelta

import attrs
from behave import given, step, then, when

from camphorspread.connection.messages import ResponseHead, find_header
from camphorspread.process import ledger as ledgers
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.once_key import HomeIdentity, OnceKey, parse_once_key
from camphorspread.version.shares import Grant, ShareKey, ShareKind
from features.fixtures.entry_fleet import make_key, make_service

PAYMENT = b"amount=17"
MINUTE = timedelta(minutes=1)
SHAPE = ledgers.RequestShape("filing-svc", b"POST", b"/fees", 9)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def pay(context, vm, key, deadline_ms=None):
    fleet = context.entry_fleet
    return await fleet.request(vm, "POST", "/s/filing-svc/fees", PAYMENT, key, deadline_ms)


def read_error(result):
    """Return error kind and outcome of a response."""
    headers = result.head.headers
    kind = find_header(headers, b"camphorspread-error") or b""
    outcome = find_header(headers, b"camphorspread-outcome") or b""
    return kind.decode(), outcome.decode()


def start_backends(context, slots, vm, rules):
    context.keys, context.started, context.results = {}, [], []
    context.entry_fleet.put_service(make_service(rules=rules))
    start = context.entry_fleet.start_backend("filing-svc", "filing-1", vm, slots)
    context.backend = run(context, start)
    run(context, asyncio.sleep(0.2))
    for node in context.entry_fleet.nodes.values():
        for endpoint in node.state.registry.services.get("filing-svc", {}).values():
            endpoint.ramp_slots = slots
    grant_shifts(context.entry_fleet, context.clock.monotonic())


def grant_shifts(fleet, now):
    """Grant each VM a share of the shift cap, as the control leader does."""
    key = ShareKey(ShareKind.SHIFT_CAP, service="filing-svc")
    for node in fleet.nodes.values():
        node.state.held_shares.grants[key] = Grant(100, now + MINUTE)


@given('once-key backends with {slots:d} slots beside "{vm}"')
def step_backends(context, slots, vm):
    start_backends(context, slots, vm, ("POST /fees",))


@given(
    'a service without never-repeated rules and a backend server with {slots:d} slots beside "{vm}"'
)
def step_backends_without_rules(context, slots, vm):
    start_backends(context, slots, vm, ())


def get_key(context, name, home=None):
    if home is not None:
        context.keys[name] = make_key(context.entry_fleet, home, name)
    return context.keys[name]


@when(
    'the caller of a new payment "{name}" with home "{home}" at "{vm}" leaves after {seconds:g} s'
)
def step_pay_and_leave(context, name, home, vm, seconds):
    key = get_key(context, name, home)

    async def leave():
        task = asyncio.create_task(pay(context, vm, key))
        await asyncio.sleep(seconds)
        context.entry_fleet.network.kill("198.51.100.7")
        await asyncio.gather(task, return_exceptions=True)

    run(context, leave())


@step("{seconds:g} s passes in the entry fleet")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('payment "{name}" is sent again to "{vm}"')
def step_pay(context, name, vm):
    context.results.append(run(context, pay(context, vm, get_key(context, name))))


@when('payment "{name}" is sent with a deadline of {deadline:d} ms to "{vm}"')
def step_pay_deadline(context, name, vm, deadline):
    context.results.append(run(context, pay(context, vm, get_key(context, name), deadline)))


@when(
    'a new payment "{name}" with home "{home}" is sent with a deadline of {deadline:d} ms to "{vm}"'
)
def step_pay_first_deadline(context, name, home, deadline, vm):
    key = make_key(context.entry_fleet, home, name)
    context.results.append(run(context, pay(context, vm, key, deadline)))
    # Added to `context.keys` later, so that the steps that repeat all keys don't use it before.
    context.late = {name: key}


@then('the keyed response is refused for its deadline with outcome "{outcome}"')
def step_check_deadline(context, outcome):
    kinds = ("deadline_too_short", "deadline_passed_in_queue")
    kind, shown = read_error(context.results[-1])
    assert kind in kinds, context.results[-1]
    assert shown == outcome, context.results[-1]


@then("all repeats are the complete responses of the started payments")
def step_check_whole_repeats(context):
    started = run(context, asyncio.gather(*context.started))
    assert [item.head.status for item in started] == [200] * len(context.keys), started
    for first, repeat in zip(started, context.results, strict=True):
        assert (first.head, first.body) == (repeat.head, repeat.body), (first, repeat)
    context.keys |= context.late


@then("the backend server has run {count:d} request at once")
def step_check_most_busy(context, count):
    assert context.backend.peak_busy == count, context.backend.peak_busy


@when('a new payment "{name}" with home "{home}" is sent to "{vm}"')
def step_pay_first(context, name, home, vm):
    context.results.append(run(context, pay(context, vm, get_key(context, name, home))))


@when('a new payment "{name}" with home "{home}" starts at "{vm}"')
def step_start(context, name, home, vm):
    key = get_key(context, name, home)
    context.started.append(context.loop.create_task(pay(context, vm, key)))
    run(context, asyncio.sleep(0.03))


@when('{count:d} keyed payments with home "{home}" start through "{vm}" one every {pause:d} ms')
def step_start_many(context, count, home, vm, pause):
    async def start(number):
        await asyncio.sleep(number * pause / 1000)
        return await pay(context, vm, context.keys[f"fee-{number}"])

    for number in range(count):
        get_key(context, f"fee-{number}", home)
        context.started.append(context.loop.create_task(start(number)))


@when('"{vm}" is killed after {seconds:g} s')
def step_kill(context, vm, seconds):
    run(context, asyncio.sleep(seconds))
    run(context, context.entry_fleet.kill_vm(vm))


@when('"{vm}" starts again')
def step_start_again(context, vm):
    run(context, context.entry_fleet.start_vm(vm))


@then('all started keyed payments end without "{outcome}"')
def step_check_started(context, outcome):
    results = run(context, asyncio.gather(*context.started))
    outcomes = [read_error(result)[1] for result in results]
    assert outcome not in outcomes, outcomes
    assert "unknown" in outcomes, outcomes


@when('all started keyed payments are repeated through "{vm}"')
def step_repeat_all(context, vm):
    repeats = [pay(context, vm, key) for key in context.keys.values()]

    async def gather():
        return await asyncio.gather(*repeats)

    context.results = run(context, gather())


@then('all repeats end as "{kind}" with outcome "{outcome}"')
def step_check_repeats(context, kind, outcome):
    assert [read_error(result) for result in context.results] == [(kind, outcome)] * len(
        context.keys
    ), [read_error(result) for result in context.results]


@then("the last two keyed responses are equal complete responses of the backend server")
def step_check_equal(context):
    first, second = context.results[-2:]
    assert (first.head.status, first.error, second.error) == (200, "", ""), (first, second)
    assert first.body.startswith(b"filing-1 received 9 bytes"), first
    assert (first.head, first.body) == (second.head, second.body), (first, second)


@then("the keyed response is complete")
def step_check_whole(context):
    assert context.results[-1].head.status == 200, context.results[-1]


@then("the keyed response is the same as that of the started request")
def step_check_same(context):
    started = run(context, context.started[0])
    assert started.head.status == 200, started
    assert context.results[-1].body == started.body, context.results[-1]


@then('the keyed response is "{kind}" with outcome "{outcome}"')
def step_check_error(context, kind, outcome):
    assert read_error(context.results[-1]) == (kind, outcome), context.results[-1]


@then("its message says how to get a once key")
def step_check_message(context):
    message = json.loads(context.results[-1].body)["message"]
    assert "once_key_prefix" in message, message
    assert ".<own unique id>" in message, message


@then("each once key has run {count:d} time")
def step_check_runs(context, count):
    runs = context.entry_fleet.count_runs()
    assert runs, "no keyed request has run"
    assert set(runs.values()) == {count}, runs


@when('the rule "{rule}" comes into force on "{vm}"')
def step_put_rule(context, rule, vm):
    context.entry_fleet.put_service(make_service(rules=(rule,)), [vm])


@when('a payment without key goes through "{vm}"')
def step_pay_unkeyed(context, vm):
    context.results.append(run(context, pay(context, vm, None)))


@given("a second backend that refuses connections and is chosen first")
def step_dead_backend(context):
    fleet = context.entry_fleet
    run(context, fleet.start_backend("filing-svc", "a-filing", "sofia-b-1", 50))
    del fleet.network.listeners[fleet.backends[-1].announcement.address]
    run(context, asyncio.sleep(0.1))
    # Without ramp-up it has the lowest share of slots in use and so the best rank.
    fleet.state("sofia-b-1").registry.find_endpoint("filing-svc", "a-filing").ramp_slots = 50


@when('the rule "{rule}" comes into force during a payment without key at "{vm}"')
def step_pay_during_change(context, vm, rule):
    async def pay_and_change():
        task = asyncio.create_task(pay(context, vm, None))
        # The request arrives after 3 one-way delays of 1 ms; connecting to the backend takes 3 ms.
        await asyncio.sleep(0.005)
        context.entry_fleet.put_service(make_service(rules=(rule,)))
        return await task

    context.results.append(run(context, pay_and_change()))


@then("no request has reached a backend server")
def step_check_no_request(context):
    assert not any(backend.started for backend in context.entry_fleet.backends)


@given("the backend server refuses connections")
def step_refuse_connections(context):
    del context.entry_fleet.network.listeners[context.backend.announcement.address]


@when('a new payment "{name}" is sent twice at once to its home "{vm}"')
def step_pay_twice(context, name, vm):
    key = get_key(context, name, vm)

    async def pay_twice():
        return await asyncio.gather(pay(context, vm, key), pay(context, vm, key))

    context.results = run(context, pay_twice())


@then('both payments are refused with outcome "{outcome}" after one attempt to connect')
def step_check_both(context, outcome):
    assert [read_error(item)[1] for item in context.results] == [outcome] * 2, context.results
    log = context.entry_fleet.logs["sofia-b-1"].getvalue()
    assert log.count('"connect_failed"') == 1, log


@given("the backend server answers with 70000 bytes")
def step_large_response(context):
    async def handle(exchange):
        context.backend.started.append(find_header(exchange.head.headers, KEY).decode())
        await exchange.respond(ResponseHead(200), b"x" * 70000)

    replace_handler(context, handle)


@given("the backend server answers with a cut response")
def step_cut_response(context):
    async def handle(exchange):
        context.backend.started.append(find_header(exchange.head.headers, KEY).decode())
        await exchange.send_head(ResponseHead(200, ((b"content-length", b"100"),)))
        await exchange.send_body(b"x")
        exchange.abort()

    replace_handler(context, handle)


KEY = b"camphorspread-once-key"


def replace_handler(context, handle):
    address = context.backend.announcement.address
    context.entry_fleet.network.listeners[address].handler.__self__.handler = handle


@when('a caller looks up the prefix at "{vm}" and pays with it through "{other}"')
def step_look_up_prefix(context, vm, other):
    fleet = context.entry_fleet
    response = run(context, fleet.request(vm, "GET", "/v1/lookup?service=filing-svc"))
    value = json.loads(response.body)
    prefix = value["once_key_prefix"]
    assert prefix == value["targets"][0]["once_key_prefix"], value
    homes = [item["once_key_prefix"].split(".")[1] for item in value["targets"]]
    assert homes == [item["vm"] for item in value["targets"]], value
    context.results.append(run(context, pay(context, other, f"{prefix}.order-1")))


HOME = HomeIdentity("sofia-a", "sofia-a-1", "ab")


def decide(case):
    """Return the claim of the ledger in one case, for a key issued at minute 0."""
    ledger = ledgers.Ledger(HOME, timedelta(0), max_keys=1)
    key, shape, now = OnceKey(HOME, timedelta(0), "fee-1"), SHAPE, MINUTE
    ledgers.claim_key(ledger, key, shape, now)
    match case:
        case "another method":
            shape = attrs.evolve(SHAPE, method=b"PUT")
        case "another path":
            shape = attrs.evolve(SHAPE, target=b"/fees/2")
        case "another body length":
            shape = attrs.evolve(SHAPE, body_length=10)
        case "another incarnation":
            key = attrs.evolve(key, home=attrs.evolve(HOME, incarnation="cd"))
        case "key of 15 minutes":
            key, now = attrs.evolve(key, unique_id="fee-2"), 15 * MINUTE
        case "key from the future":
            key = attrs.evolve(key, issued=2 * MINUTE)
        case "full":
            key = attrs.evolve(key, unique_id="fee-2")
        case "provably unsent":
            ledgers.end_claim(ledger, key, ledgers.Released(Refusal(ErrorKind.OVERLOADED, "")))
        case "closed":
            ledgers.close_ledger(ledger)
            key = attrs.evolve(key, unique_id="fee-2")
    if case.startswith("repeat after"):
        ledgers.end_claim(ledger, key, ledgers.OutcomeUnknown())
        now = int(case.split()[2]) * MINUTE
        ledgers.expire_keys(ledger, now)
    return ledgers.claim_key(ledger, key, shape, now)


@then('the ledger decides "{case}" as "{kind}"')
def step_decide(context, case, kind):
    result = decide(case)
    got = result.kind.value if isinstance(result, Refusal) else type(result).__name__
    assert got == kind, result


@then('each malformed once key is refused as "{kind}"')
def step_malformed(context, kind):
    headers = [b"", b"a.b.c", b"a.b.ff.1.", b"a.b.ff.-1.x", b"a.b.zz.1.x", b"a.b.ff.1.x.y"]
    headers += [b"a.b.ff.1." + b"x" * 65, b"a.b.ff.12345678901.x", b"a.b.ff.1.\xe9"]
    for header in headers:
        assert parse_once_key(header).failure().kind.value == kind, header


@attrs.define
class Model:
    """Reference model: what happened to each key, to check the claims of the ledger against."""

    ledger: ledgers.Ledger
    now: timedelta = timedelta(0)
    runs: dict = attrs.field(factory=dict)
    running: set = attrs.field(factory=set)
    ended: dict = attrs.field(factory=dict)
    handed: ledgers.Ledger | None = None


def check_claim(model, rng, key):
    ledger = model.handed if model.handed and rng.random() < 0.7 else model.ledger
    claim = ledgers.claim_key(ledger, key, SHAPE, model.now)
    match claim:
        case ledgers.Claimed():
            assert key not in model.running, "claimed twice"
            assert not model.runs.get(key), "claimed again after it ran"
            model.running.add(key)
        case Refusal() if claim.response.outcome is Outcome.NOT_RUN:
            assert not model.runs.get(key), "not_run for a request that ran"
            assert key not in model.running, "not_run for a running request"
        case ledgers.KeptResponse():
            assert model.ended[key] == claim, "the kept response differs"


def end_random_request(model, rng):
    if not model.running:
        return
    key = rng.choice(sorted(model.running, key=str))
    model.running.discard(key)
    ending = rng.choice(
        (
            ledgers.KeptResponse(ResponseHead(200), key.unique_id.encode()),
            ledgers.ResponseTooLarge(),
            ledgers.OutcomeUnknown(),
            ledgers.Released(Refusal(ErrorKind.OVERLOADED, "")),
        )
    )
    if not isinstance(ending, ledgers.Released):
        model.runs[key] = model.runs.get(key, 0) + 1
        assert model.runs[key] == 1, "ran twice"
        model.ended[key] = ending
    ledgers.end_claim(model.ledger, key, ending)


def restart(model, rng):
    """Start a new incarnation; requests in flight at the old one may have run."""
    for key in model.running:
        model.runs[key] = 1
    model.running.clear()
    home = attrs.evolve(HOME, incarnation=f"{rng.getrandbits(32):x}")
    model.ledger = ledgers.Ledger(home, model.now, max_keys=12)
    model.handed = None


def hand_over(model):
    """Hand the ledger over while nothing runs, as a drain does, or with running requests."""
    for key in model.running:
        model.runs[key] = 1
    records = ledgers.close_ledger(model.ledger)
    other = ledgers.Ledger(attrs.evolve(HOME, vm="sofia-b-1"), model.now)
    ledgers.take_over_records(other, model.ledger.home, records, model.now)
    model.handed = other


def run_sequence(seed, events):
    rng = random.Random(seed)
    model = Model(ledgers.Ledger(HOME, timedelta(0), max_keys=12))
    keys = []
    for _ in range(events):
        match rng.choices(("new", "repeat", "end", "time", "restart", "handover"),
                          (30, 40, 30, 15, 2, 1))[0]:  # fmt: skip
            case "new":
                issued = model.now - model.ledger.started - timedelta(minutes=rng.choice((0, 14)))
                name = f"fee-{len(keys)}"
                keys.append(OnceKey(model.ledger.home, max(issued, timedelta(0)), name))
                check_claim(model, rng, keys[-1])
            case "repeat" if keys:
                check_claim(model, rng, rng.choice(keys))
            case "end" if model.handed is None:
                end_random_request(model, rng)
            case "time":
                model.now += timedelta(seconds=rng.choice((1, 60, 400, 1000)))
                ledgers.expire_keys(model.ledger, model.now)
            case "restart":
                restart(model, rng)
            case "handover" if model.handed is None:
                hand_over(model)


@then("{count:d} seeded sequences of {events:d} ledger events keep both guarantees")
def step_sequences(context, count, events):
    for seed in range(count):
        try:
            run_sequence(seed, events)
        except AssertionError as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc
