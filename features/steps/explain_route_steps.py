"""Steps for explanations at the metrics listener of an entry VM."""

import json

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.command.explain_route import explain_route
from camphorspread.request.explained_facts import Question
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    ZONES,
    make_configuration,
    make_route,
)

METRICS_PORT = 9464
HOST = "water.example"
# Runs after which the measured run times are near the real ones.
MEASURED_RUNS = 12


@given(
    'the organisations "acme" with a limit of {rate:d} requests a second'
    ' and "cork" in "varna" are in force'
)
def step_organisations(context, rate):
    routes = [
        make_route("read", "/read/", "safe", "status"),
        make_route("near", "/near/", "safe", "status", allowedRegions=["sofia"]),
    ]
    tenants = [
        {"name": "acme", "apiKeys": ["key-acme"], "ratePerS": rate},
        {"name": "cork", "apiKeys": ["key-cork"], "allowedRegions": ["varna"]},
    ]
    body = make_configuration(1, routes, tenants)
    assert context.fleet.send_operator_call("/-/Config.Put", body)[0] == 200
    context.fleet.run(2)


def send(context, zone, path, object_key, organisation):
    """Send a caller's request with a key of an organisation, `none` for no key."""
    key = (
        ()
        if organisation == "none"
        else ((b"authorization", f"Token key-{organisation}".encode()),)
    )
    return context.fleet.run_coroutine(
        context.fleet.request(zone, path, key=object_key, more_headers=key)
    )


def explain(context, zone, path, object_key, organisation):
    """Run the command's query."""
    fleet = context.fleet
    question = Question(HOST, path, object_key, "" if organisation == "none" else organisation)
    metrics = Address(fleet.host(zone, 2), METRICS_PORT)
    network = fleet.network.host(CLIENT_HOST)
    return fleet.run_coroutine(explain_route(metrics, question, network, fleet.clock))


@when("each of {count:d} requests is explained by the command and then sent")
def step_explain_and_send(context, count):
    fleet = context.fleet
    for number in range(MEASURED_RUNS):
        for zone in ZONES:
            assert send(context, zone, "/read/x", str(number), "acme")[0] == 200
    context.results = []
    for number in range(count):
        zone, key = ZONES[number % len(ZONES)], str(number % 17)
        organisation = ("acme", "cork")[number % 2]
        result = explain(context, zone, "/read/x", key, organisation)
        before = count_starts(fleet)
        answer = send(context, zone, "/read/x", key, organisation)
        after = count_starts(fleet)
        context.results.append(
            (result, answer, {name for name in after if after[name] > before[name]})
        )


def count_starts(fleet):
    """Return the runs of each endpoint, and the starts of each entry VM."""
    starts = {name: len(item.runs) for name, item in fleet.endpoints.items()}
    for vm, node in fleet.entries.items():
        starts[vm] = node.state.metrics.places[("status", "start")]
    return starts


@then("each was served by the explained server, or through the explained VM")
def step_served(context):
    kinds = set()
    for result, answer, started in context.results:
        decision = result.value["decision"]
        kinds.add(decision["kind"])
        assert result.code == 0 and answer[0] == 200, (result, answer)
        # One server ran the request, and one VM started it there.
        assert len(started) == 2, started
        match decision:
            case {"kind": "start_at", "server": name}:
                assert {name, result.value["vm"]} == started, (decision, started)
            case {"kind": "forward_to", "vm": name}:
                assert name in started, (decision, started)
            case _:
                raise AssertionError(decision)
        assert f"{name}, cost" in result.text, result.text
    assert kinds == {"start_at", "forward_to"}, kinds


@then('the explanations name the share of "acme" and no key')
def step_share(context):
    shares = set()
    for result, _, _ in context.results:
        assert "key-" not in result.text and "key-" not in json.dumps(result.value)
        organisation = result.value["organisation"]
        if organisation["name"] == "acme":
            quota = organisation["quota"]
            assert quota["left"] == quota["share"] - quota["used"] > 0, quota
            assert 0 <= quota["age_s"] < 2, quota
            shares.add(quota["share"])
        else:
            assert organisation["home_regions"] == ["varna"] and organisation["quota"] is None
    assert shares and 0 not in shares, shares


@when('a request to "{path}" of the organisation "{organisation}" is explained and then sent')
def step_refused(context, path, organisation):
    context.result = explain(context, ZONES[0], path, "1", organisation)
    context.answer = send(context, ZONES[0], path, "1", organisation)


@then('both end with status {status:d} and the retry time "{retry}"')
def step_same_refusal(context, status, retry):
    decision = context.result.value["decision"]
    assert decision["kind"] == "refuse" and decision["status"] == status, decision
    assert f"refuse with {status}" in context.result.text, context.result.text
    seconds = decision["retry_after_s"]
    assert ("none" if seconds is None else f"{seconds:.2f}") == retry, decision
    assert context.answer[0] == status, context.answer
    assert context.answer[1].get(b"retry-after", b"none").decode() == retry, context.answer
    assert context.answer[2].decode() == decision["message"], context.answer


@when('"{method} {target}" is sent to the metrics listener')
def step_call(context, method, target):
    context.answer = context.fleet.call(ZONES[0], METRICS_PORT, method, target, number=2)


@then('it gets status {status:d} and the text "{text}"')
def step_error(context, status, text):
    assert context.answer[0] == status, context.answer
    assert text in json.loads(context.answer[2])["message"], context.answer
