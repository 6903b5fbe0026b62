"""Steps of sessions on whole deployments in memory."""

import asyncio
import json
from collections import Counter, defaultdict
from datetime import timedelta

import attrs
from behave import fixture, given, then, use_fixture, when

from camphorspread.process.deployments import LE_GOFF, VODNA_VRAZKA
from camphorspread.version.catalogue import DrainEntry, DrainKind
from camphorspread.version.changes import PutDrain
from features.fixtures.deployment_session import (
    Caller,
    CallerOutcomes,
    RequestType,
    open_deployment,
    record_runs,
    send_load,
)
from features.fixtures.golden import compare_with_golden

DEPLOYMENTS = {"vodna-vrazka": VODNA_VRAZKA, "le-goff": LE_GOFF}
KINDS = {
    "status-svc": RequestType("status-svc", "GET", "/applications/17"),
    "filing-svc": RequestType("filing-svc", "POST", "/fees", 100),
    "docs-svc": RequestType("docs-svc", "PUT", "/plans/3", 30000),
    "gis-svc": RequestType("gis-svc", "GET", "/maps/4"),
    "vitrine": RequestType("vitrine", "GET", "/garters"),
    "commandes": RequestType("commandes", "POST", "/orders", 200),
    "croquis": RequestType("croquis", "PUT", "/sketches/5", 30000),
    "nuancier": RequestType("nuancier", "GET", "/colourways"),
}
SHOWN_EVENTS = frozenset(
    {
        "vm_state_changed",
        "shift_changed",
        "catalogue_lease_ended",
        "catalogue_lease_returned",
        "leader_changed",
        "quorum_lost",
        "quorum_regained",
        "catalogue_in_force",
    }
)
CALLERS_PER_REGION = 4
SEED = 11
LARGE_LOAD_S = 3600.0


@fixture
def deployment(context, plan):
    with open_deployment(context, plan, context.seed) as fleet:
        yield fleet


def open_session(context, plan, service_ms, seed=SEED):
    context.seed = seed
    fleet = use_fixture(deployment, context, plan)
    for backend in fleet.backends.values():
        backend.service_time = timedelta(milliseconds=service_ms)
        backend.peak_busy = 0
    context.plan, context.service_s = plan, service_ms / 1000
    context.runs = record_runs(fleet)
    context.tally = CallerOutcomes()
    context.callers = [
        Caller(fleet, region, context.tally, number=number * 1_000_000)
        for region in plan.region_names
        for number in range(CALLERS_PER_REGION)
    ]
    context.load = None
    context.session_start = context.loop.time()


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given('the deployment "{name}" with requests of {service_ms:d} ms')
def step_deployment(context, name, service_ms):
    open_session(context, DEPLOYMENTS[name], service_ms)


@given('the deployment "{name}" with requests of {service_ms:d} ms and the seed {seed:d}')
def step_deployment_with_seed(context, name, service_ms, seed):
    open_session(context, DEPLOYMENTS[name], service_ms, seed)


@given(
    'the deployment "{name}" with only "{service}" on {count:d} endpoints,'
    " with requests of {service_ms:d} ms"
)
def step_small_deployment(context, name, service, count, service_ms):
    plan = DEPLOYMENTS[name]
    services = tuple(
        attrs.evolve(item, endpoints=count) for item in plan.services if item.entry.name == service
    )
    entry = attrs.evolve(services[0].entry, region_limit=8)
    services = (attrs.evolve(services[0], entry=entry),)
    open_session(context, attrs.evolve(plan, services=services), service_ms)


@when('callers send {percent:d} percent of the slot capacity of "{services}"')
def step_load(context, percent, services):
    names = services.split(", ")
    slots = {item.entry.name: item.endpoints * item.slots for item in context.plan.services}
    rates = [(KINDS[name], slots[name] * percent / 100 / context.service_s) for name in names]
    load = send_load(context.callers, rates, LARGE_LOAD_S, context.seed)
    context.load = context.loop.create_task(load)


@when("{seconds:d} seconds of the session pass")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


async def kill_vm(fleet, network, vm):
    network.kill(fleet.plan.vm_host(vm))
    if vm in fleet.entries:
        await fleet.stop_entry(vm)
    if vm in fleet.controls:
        await fleet.stop_control(vm)


@when('the entry VM "{vm}" dies')
def step_kill_vm(context, vm):
    run(context, kill_vm(context.deployment_fleet, context.network, vm))


@when('the region "{region}" is lost')
def step_lose_region(context, region):
    fleet, network = context.deployment_fleet, context.network

    async def lose():
        for place in context.plan.places:
            if place.region == region:
                await kill_vm(fleet, network, place.vm)
        for number, endpoint in enumerate(context.plan.endpoints):
            if endpoint.availability_zone.startswith(region):
                network.kill(fleet.plan.backend_host(number))
                listener, task = fleet.running.pop(endpoint.endpoint)
                task.cancel()
                await listener.shutdown()

    run(context, lose())


@when('the availability zone "{zone}" is cut off')
def step_cut_zone(context, zone):
    plan = context.deployment_fleet.plan
    inside = plan.hosts_of_zone(zone)
    others = set(context.plan.availability_zones) - {zone}
    outside = set().union(*(plan.hosts_of_zone(other) for other in others))
    context.network.cut(inside, outside)


@when('callers inside "{zone}" and outside send 1 request a second each for {seconds:d} seconds')
def step_callers_at_cut(context, zone, seconds):
    fleet = context.deployment_fleet
    region = zone.rpartition("-")[0]
    inner = {place.vm for place in context.plan.places if place.availability_zone == zone}
    hidden = {
        fleet.plan.vm_host(place.vm) for place in context.plan.places if place.vm not in inner
    }
    context.inside = Caller(fleet, region, CallerOutcomes(), unreachable_hosts=frozenset(hidden))
    outer = frozenset(fleet.plan.vm_host(vm) for vm in inner)
    context.outside = Caller(
        fleet, context.plan.region_names[0], context.tally, unreachable_hosts=outer
    )
    kind = KINDS[context.plan.services[0].entry.name]

    async def send_all():
        tasks = []
        for _ in range(seconds):
            tasks += [
                asyncio.create_task(caller.send(kind, 1000))
                for caller in (context.inside, context.outside)
            ]
            await asyncio.sleep(1)
        await asyncio.gather(*tasks)

    run(context, send_all())


@when("the cut ends")
def step_heal(context):
    context.network.heal()


@when('the operator drains the availability zone "{zone}"')
def step_drain(context, zone):
    change = PutDrain(DrainEntry(DrainKind.AVAILABILITY_ZONE, zone, "operator"))
    run(context, context.deployment_fleet.change(change))


@when('every second endpoint of "{service}" refuses connections')
def step_refuse(context, service):
    fleet = context.deployment_fleet

    async def refuse():
        for number, endpoint in enumerate(context.plan.endpoints):
            if endpoint.service == service and number % 2:
                context.network.kill(fleet.plan.backend_host(number))

    run(context, refuse())


def end_load(context):
    if context.load is not None:
        context.load.cancel()
        run(context, asyncio.gather(context.load, return_exceptions=True))
        run(context, asyncio.sleep(12))
        context.load = None


@then("the service guarantees held")
def step_check_guarantees(context):
    end_load(context)
    check_slots(context)
    check_at_most_once(context)
    check_shift_caps(context)
    check_region_limits(context)


def check_slots(context):
    for backend in context.deployment_fleet.backends.values():
        assert backend.peak_busy <= backend.announcement.slots, backend.announcement.endpoint


def check_at_most_once(context):
    counts = Counter(item.key for item in context.runs if item.key)
    assert all(count == 1 for count in counts.values()), counts.most_common(3)
    tallies = [context.tally]
    if "inside" in context:
        tallies.append(context.inside.tally)
    for tally in tallies:
        ran = tally.keys_not_run & set(counts)
        assert not ran, f"reported as not run, but run: {sorted(ran)[:3]}"
        assert tally.keys_served <= set(counts)


def check_shift_caps(context):
    caps = {item.entry.name: item.entry.shift_cap_per_second for item in context.plan.services}
    times = defaultdict(list)
    for item in context.runs:
        if item.home != item.region:
            times[item.service].append(item.time)
    for service, instants in times.items():
        for position, instant in enumerate(instants):
            requests_in_second = sum(1 for other in instants[position:] if other < instant + 1)
            assert requests_in_second <= caps[service], (service, instant, requests_in_second)


def check_region_limits(context):
    limits = {entry.name: entry.limit for entry in context.plan.region_entries("operator")}
    for item in context.runs:
        assert item.in_region <= limits[item.region], item


@then('every caller of another VM than "{vm}" was served')
def step_others_served(context, vm):
    failed = {
        outcome for (_, outcome), _ in context.tally.outcomes.items() if not outcome.isdigit()
    }
    assert failed <= {"no_response", "once_home_unreachable"}, context.tally.describe()


@then("no request failed")
def step_none_failed(context):
    outcomes = {outcome for _, outcome in context.tally.outcomes}
    assert outcomes == {"200"}, context.tally.describe()


@then('the session matches the golden file "{name}"')
def step_golden(context, name):
    compare_with_golden(name, describe_session(context))


def describe_session(context):
    parts = ["callers", context.tally.describe()]
    if "inside" in context:
        parts += ["callers in the cut-off availability zone", context.inside.tally.describe()]
    served = Counter((item.service, item.home, item.region) for item in context.runs)
    parts.append("requests run: service, region of the caller, region that served")
    parts += [
        f"{service:12} {home:14} {region:14} {count:6d}"
        for (service, home, region), count in sorted(served.items())
    ]
    parts.append("events")
    parts += sorted(list_events(context))
    return "\n".join(parts) + "\n"


def list_events(context):
    for name, output in sorted(context.deployment_fleet.logs.items()):
        for line in output.getvalue().splitlines():
            value = json.loads(line)
            if value["event"] in SHOWN_EVENTS:
                time = value["time"][11:23]
                hidden = ("time", "vm", "level", "number", "event")
                rest = {key: item for key, item in value.items() if key not in hidden}
                yield f"{time} {name:20} {value['event']} {json.dumps(rest)}"
