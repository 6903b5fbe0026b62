"""Steps of the fault soak."""

import asyncio
import tempfile
from pathlib import Path

import attrs
from behave import given, then, when

from soak.faults import FAULTS
from soak.fleet import reserve_network
from soak.guarantees import (
    Arrival,
    CallerResponse,
    ConfigurationRead,
    Disturbance,
    Observations,
    StatedPause,
    find_violations,
)
from soak.organisation_checks import find_organisation_violations
from soak.organisations import CHANGING_KEYS, STEADY_KEYS, UNKNOWN_KEY
from soak.run import run_seed

# Only ends a run that hangs; the recovery time is measured by hand on an idle machine.
HANG_LIMIT_S = 180
# Drains are left out, because a busy machine can miss their time limit.
KINDS_WITHOUT_TIME_LIMIT = tuple(kind for kind in FAULTS if kind != "drain")


@when("a soak with seed {seed:d} injects faults for {seconds:g} s")
def step_soak(context, seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        work = run_seed(seed, seconds, Path(folder), HANG_LIMIT_S, KINDS_WITHOUT_TIME_LIMIT)
        context.violations = asyncio.run(work).violations


@then("the networks of two soaks with seed {seed:d} differ while both run")
def step_networks(context, seed):
    with reserve_network(seed) as first, reserve_network(seed) as second:
        assert first != second, first
    context.first_network = first


@then("a soak with seed {seed:d} uses the same network again after them")
def step_same_network(context, seed):
    with reserve_network(seed) as network:
        assert network == context.first_network, network


@then("no guarantee was violated")
def step_no_violation(context):
    assert not context.violations, context.violations


def make_valid_observations():
    """Return observations of a run that violates no guarantee."""
    return Observations(
        responses=[CallerResponse("q1", False, 200, b"s-1 /file/x 4", 1.0)],
        runs=[("q1", "s-1", 0.9)],
        complete_bodies={("q1", "s-1"): b"s-1 /file/x 4"},
        accepted_at={1: 0.0, 3: 5.0},
        sent={1: {"version": "r1"}, 3: {"version": "r3"}},
        reads=[ConfigurationRead(4.0, 1), ConfigurationRead(9.0, 3)],
        final_configuration={"version": "r3"},
    )


@given("a soak that observed {what}")
def step_observed(context, what):
    seen = context.seen = make_valid_observations()
    match what:
        case "a request that may run once and ran twice":
            seen.runs.append(("q1", "s-2", 1.0))
        case "a read that ran twice":
            seen.responses[0] = attrs.evolve(seen.responses[0], is_idempotent=True)
            seen.runs.append(("q1", "s-2", 1.0))
        case "a refused request that ran":
            seen.responses[0] = attrs.evolve(seen.responses[0], status=503)
        case "half a body":
            seen.responses[0] = attrs.evolve(seen.responses[0], body=b"s-1 /fi")
        case "a request at a server that left 3 s before":
            seen.left_at["s-1"] = 0.9 - 3
        case "a request at a server that left 2 s before":
            seen.left_at["s-1"] = 0.9 - 2
        case "an accepted revision that is lost at the end":
            seen.final_configuration = {"version": "r1"}
        case "a revision in force with other content":
            seen.final_configuration = {"version": "r3", "routes": []}
        case "a read of an older revision":
            seen.reads.append(ConfigurationRead(9.0, 1))


@given("{name} was disturbed until {seconds:g} s before it")
def step_disturbed_before(context, name, seconds):
    seen = context.seen
    request, server, at = seen.runs[0]
    seen.responses[0] = attrs.evolve(seen.responses[0], vm="front-a")
    seen.arrivals.append(Arrival(request, server, "front-b", at))
    is_control = name.startswith("core-")
    end = at - seconds
    seen.disturbances.append(Disturbance(name, end - 1, end, is_control=is_control))


@then("it reports {count:d} violated guarantees")
def step_reports(context, count):
    assert len(find_violations(context.seen)) == count, find_violations(context.seen)


KEYS = {
    "steady": STEADY_KEYS["coral"],
    "changing": CHANGING_KEYS["coral"],
    "unknown": UNKNOWN_KEY,
}
SUCCESS = 200


def make_configuration_of(revision, keys, rate):
    """Return a configuration with one organisation."""
    tenants = [{"name": "coral", "apiKeys": keys, "ratePerS": rate, "burst": 10}]
    return {"version": f"r{revision}", "tenants": tenants}


def make_organisation_observations():
    """Return observations of an organisation at 1 s whose key and limit change at 10 s and 30 s."""
    steady, changing = KEYS["steady"], KEYS["changing"]
    seen = Observations(
        sent={
            1: make_configuration_of(1, [steady, changing], 40.0),
            2: make_configuration_of(2, [steady], 8.0),
            3: make_configuration_of(3, [steady, changing], 40.0),
        },
        sent_at={1: 0.0, 2: 9.9, 3: 29.9},
        accepted_at={1: 0.0, 2: 10.0, 3: 30.0},
    )
    add_request(seen, steady, 1.0)
    return seen


def add_request(seen, key, at, status=200, **fields):
    """Add a request that arrived at an endpoint and ran unless it was refused."""
    name = f"q{len(seen.responses) + 1}"
    values = {"sent_at": at - 0.1, "key": key, "is_public": False, "vm": "front-a", **fields}
    seen.responses.append(CallerResponse(name, True, status, b"", at + 0.1, **values))
    if status == SUCCESS:
        seen.runs.append((name, "s-1", at))
        seen.arrivals.append(Arrival(name, "s-1", "front-a", at, (b"coral",), region="sofia"))


@given("a soak with an organisation whose key and limit changed at 10 s and 30 s")
def step_organisation(context):
    context.seen = make_organisation_observations()


@given("{name} was disturbed from {start:g} s to {end:g} s")
def step_disturbed(context, name, start, end):
    is_vm = name.startswith("front-")
    context.seen.disturbances.append(Disturbance(name, start, end, is_vm))


@given("a request reached an endpoint for {names} and {credentials} a key")
def step_reached(context, names, credentials):
    organisations = () if names == "nobody" else tuple(names.encode().split(b","))
    arrival = context.seen.arrivals[0]
    has_key = credentials == "with"
    context.seen.arrivals[0] = attrs.evolve(arrival, organisations=organisations, has_key=has_key)


@given("a request with the {key} key that was sent at {at:g} s got {status:d}")
def step_got(context, key, at, status):
    add_request(context.seen, KEYS[key], at + 0.1, status)
    if status == SUCCESS and key == "unknown":
        context.seen.arrivals[-1] = attrs.evolve(context.seen.arrivals[-1], organisations=())


@given("a request on a public route with the {key} key that was sent at {at:g} s got {status:d}")
def step_public_got(context, key, at, status):
    add_request(context.seen, KEYS[key], at + 0.1, status, is_public=True)


@given("{count:d} requests ran within 5 s from {start:g} s")
def step_ran(context, count, start):
    for number in range(count):
        add_request(context.seen, KEYS["steady"], start + 4 * number / count)


@given("revocation after 2 s that {is_strict}, and no control VM from 50 s to 54 s")
def step_revocation(context, is_strict):
    seen = context.seen
    seen.is_strict, seen.revocation_limit_s = is_strict == "is strict", 2.0
    for content in seen.sent.values():
        content["tenants"].append({"name": "kelp", "apiKeys": [STEADY_KEYS["kelp"]]})
    seen.contact_losses.append((50.0, 54.0))
    seen.disturbances.append(Disturbance("front-a", 50.0, 55.0, is_contact_loss=True))


@given("a request of {name} with the steady key at {at:g} s got {status:d} {time} a retry time")
def step_got_time(context, name, at, status, time):
    add_request(context.seen, STEADY_KEYS[name], at, status, has_retry_time=time == "with")
    if status == SUCCESS:
        arrival = context.seen.arrivals[-1]
        context.seen.arrivals[-1] = attrs.evolve(arrival, organisations=(name.encode(),))


@given("the key belongs to reef from 10 s on")
def step_swapped(context):
    for revision in (2, 3):
        context.seen.sent[revision]["tenants"][0]["name"] = "reef"


@given("a request reached an endpoint for {name} at {at:g} s")
def step_reached_for(context, name, at):
    add_request(context.seen, KEYS["steady"], at)
    arrival = context.seen.arrivals[-1]
    context.seen.arrivals[-1] = attrs.evolve(arrival, organisations=(name.encode(),))


@given("the organisation may use {regions} until 10 s, and then {later}")
def step_regions(context, regions, later):
    for revision, listed in ((1, regions), (2, later), (3, later)):
        organisation = context.seen.sent[revision]["tenants"][0]
        organisation["allowedRegions"] = [] if listed == "all regions" else listed.split(",")


@given("a request on a route for {regions} reached an endpoint in {region} at {at:g} s")
def step_reached_region(context, regions, region, at):
    listed = () if regions == "all regions" else tuple(regions.split(","))
    add_request(context.seen, KEYS["steady"], at, regions=listed)
    context.seen.arrivals[-1] = attrs.evolve(context.seen.arrivals[-1], region=region)


@given("requests arrived {offsets} s after the endpoint asked for a pause of 2 s")
def step_paused(context, offsets):
    context.seen.pauses.append(StatedPause("s-1", "front-a", 2.0, 2.0))
    for offset in offsets.split():
        add_request(context.seen, KEYS["steady"], 2.0 + float(offset))


@given("the endpoint began to leave at {at:g} s, and the soak ended at {end:g} s")
def step_ended(context, at, end):
    context.seen.draining_at["s-1"] = at
    add_request(context.seen, UNKNOWN_KEY, end, 401)


@then("it reports {count:d} violations for organisations")
def step_reports_organisations(context, count):
    violations = find_organisation_violations(context.seen)
    assert len(violations) == count, violations
