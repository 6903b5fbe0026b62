"""Steps of the codec of the platform's messages."""

import json
import re
from datetime import timedelta
from pathlib import Path

from behave import given, then, when
from returns.result import Failure, Success

from camphorspread.connection.messages import RequestHead
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.platform.heartbeats import InvalidHeartbeatError, decode_heartbeat
from camphorspread.platform.routing_codec import decode_document, decode_table
from camphorspread.platform.settings_file import decode_settings
from camphorspread.request.errors import ErrorKind, Refusal
from features.fixtures.platform_fleet import make_configuration, make_route

PACKAGE = Path(__file__).parent.parent.parent / "camphorspread"
NESTED = b"[" * 200_000
# Names of the platform that the product doesn't use for anything of its own.
PLATFORM_NAMES = (
    "Deadline-Ms",
    "Expected-Instance",
    "Response-Signature",
    "Not-Executed",
    "Affinity-Key",
    "Server-Load",
    "Instance-Id",
    "Config.Put",
    "Config.Get",
    "Instances.Heartbeat",
    "Instances.Deregister",
    "Evacuations.",
    "heartbeatUrl",
    "coldRemainingMs",
    "frontAddresses",
    "targetLatencyMs",
    "timeoutMs",
    "trafficSplit",
    "pathPrefix",
    "allowedRegions",
    "sessionAffinity",
    "internalPortRange",
    "contactWindowMs",
    "machineClass",
    "inTolerance",
    "request-id",
    '"deadline-ms"',
    "expected-instance",
    "not-executed",
    "apiKeys",
    "ratePerS",
    'b"tenant"',
    "www-authenticate",
    "quotaWindowS",
    "strictRevoke",
)


def make_heartbeat():
    return {
        "service": "huvo11a",
        "address": "10.128.0.9:8080",
        "zone": "sofia-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 4,
        "born": 1700,
    }


@when("the heartbeat is {change}")
def step_heartbeat(context, change):
    value = make_heartbeat()
    match change.split(" ", 2):
        case ["as", *_]:
            pass
        case ["without", field]:
            del value[field]
        case ["with", "a", _]:
            value["mood"] = [1]
        case ["with", field, text]:
            is_text = field == "address" or not re.match(r'[-0-9"tf]', text[0])
            value[field] = text if is_text else json.loads(text)
        case ["a", "list"]:
            value = [value]
        case _:
            context.data = NESTED if "nested" in change else b"\xff{"
            return
    context.data = json.dumps(value).encode()


@then("it is decoded as {result}")
def step_heartbeat_result(context, result):
    try:
        report = decode_heartbeat("i-1", context.data)
    except InvalidHeartbeatError:
        found = "refused"
    else:
        found = "a departure" if report.is_leaving else "a report"
    assert found == result, found


def change_route(**fields):
    return make_configuration(3, [{**make_route("read", "/read/", "safe", "status"), **fields}])


@when('the configuration has a route of the kind "{kind}"')
def step_kind(context, kind):
    context.routes = decode_table(change_route(kind=kind)).unwrap().routes


@then("its requests are {repetition}")
def step_repetition(context, repetition):
    found = "idempotent" if context.routes[0].is_idempotent else "not idempotent"
    assert found == repetition, found


@when("the configuration has {change}")
def step_configuration(context, change):
    value = json.loads(make_configuration(3))
    route = make_route("read", "/read/", "safe", "status")
    weighted_services = [{"service": "status", "weight": 9}, {"service": "filing", "weight": 1}]
    without_routes = {name: item for name, item in value.items() if name != "routes"}
    changed = {
        "nothing unusual": make_configuration(3),
        "a field that isn't known": {**value, "mood": 1},
        "two services that share a route": change_route(trafficSplit=weighted_services),
        "a route that names an unknown service": change_route(service="none"),
        "a part of a route with an unknown service": change_route(
            trafficSplit=[*weighted_services, {"service": "none", "weight": 1}]
        ),
        "two routes with one host and prefix": {**value, "routes": value["routes"][:1] * 2},
        "an empty host": change_route(host=""),
        "an aim a minute above the time limit": change_route(timeoutMs=1000, targetLatencyMs=61000),
        "an aim 59 s above the time limit": change_route(timeoutMs=1000, targetLatencyMs=60000),
        "a version without its letter": {**value, "version": "3"},
        "no routes at all": without_routes,
        "a route without a kind": {
            **value,
            "routes": [{name: item for name, item in route.items() if name != "kind"}],
        },
        "a route whose kind is a list": change_route(kind=["safe"]),
        "a route of an unknown kind": change_route(kind="keyed"),
        "its last byte cut off": make_configuration(3)[:-1],
        "200000 nested brackets": NESTED,
    }[change]
    context.data = changed if isinstance(changed, bytes) else json.dumps(changed).encode()
    context.result = decode_document(context.data)


@then("it is {result}")
def step_configuration_result(context, result):
    match context.result:
        case Success(document):
            found = "accepted"
            assert document.text.encode() == context.data and document.revision == 3, document
        case Failure(fault):
            found = "invalid"
            assert fault, "the fault has no text"
    assert found == result, context.result


SETTINGS = """self.node=front-sofia-a-1
self.serves=front
self.ip=10.1.0.15
self.zone=sofia-a
self.region=sofia
self.limits.maxFds=4100
network.listen.front=10.1.0.15:8641
network.listen.ready=10.1.0.15:8640
network.internalPortRange=7620,7635
network.seeds=10.1.0.17:8649,10.2.0.43:8649
network.zones.sofia-a=sofia
terms.bounds.drainMs=2500
"""


@when("the settings file has {change}")
def step_settings(context, change):
    replacements = {
        "nothing unusual": (),
        "a field that isn't known": (("self.zone=", "self.mood=good\nself.zone="),),
        "no seeds": (("network.seeds=10.1.0.17:8649,10.2.0.43:8649\n", ""),),
        "no zone": (("self.zone=sofia-a\n", ""),),
        "a port that is no number": (("10.1.0.15:8641", "10.1.0.15:http"),),
        "an inner range of one port": (("7620,7635", "7620,7620"),),
        "a memory limit of 152 MB": (
            ("self.limits.maxFds=4100\n", "self.limits.maxFds=4100\nself.limits.memoryMb=152\n"),
        ),
        "a memory limit of 0 MB": (
            ("self.limits.maxFds=4100\n", "self.limits.maxFds=4100\nself.limits.memoryMb=0\n"),
        ),
        "a memory limit that is no number": (
            ("self.limits.maxFds=4100\n", "self.limits.maxFds=4100\nself.limits.memoryMb=1.5G\n"),
        ),
        "two scarce services": (
            ("self.zone=", "camphorspread.scarceServices=filing, status\nself.zone="),
        ),
        "a scarce service without a name": (
            ("self.zone=", "camphorspread.scarceServices=filing,,status\nself.zone="),
        ),
        "a bound that is no number": (("drainMs=2500", "drainMs=soon"),),
        "three faults at once": (
            ("self.zone=sofia-a\n", ""),
            ("10.1.0.15:8640", "x"),
            ("drainMs=2500", "drainMs=soon"),
        ),
    }[change]
    text = SETTINGS
    for old, new in replacements:
        assert old in text, old
        text = text.replace(old, new)
    context.result = decode_settings(text)


@then("the settings are {result}")
def step_settings_result(context, result):
    match context.result:
        case Success(settings):
            assert result == "read" and settings.peers.port == 7620, settings
        case Failure(faults):
            if "three" in result:
                assert len(faults) == 3, faults
            else:
                assert any(result.split('"')[1] in fault for fault in faults), faults


@then("the memory limit is {limit}")
def step_memory_limit(context, limit):
    found = context.result.unwrap().role.memory_bytes
    assert found == (None if limit == "none" else int(limit.split()[0])), found


@then("the scarce services are {services}")
def step_scarce_services(context, services):
    found = context.result.unwrap().role.scarce_services
    assert (", ".join(sorted(found)) or "none") == services, found


@given("a refusal of the kind {kind}")
def step_refusal(context, kind):
    context.refusal = Refusal(ErrorKind(kind), "text")


@then("its status is {status:d}")
def step_status(context, status):
    head = PlatformDialect().encode_refusal(context.refusal, timedelta(seconds=0.25))
    assert head.status == status, head
    assert (b"retry-after", b"0.25") in head.headers, head


@given("a client's request with hop-by-hop headers, a deadline of 2000 ms and a cookie")
def step_request(context):
    context.kept = (
        (b"host", b"water.example"),
        (b"request-id", b"q1"),
        (b"cookie", b"a=1; Affinity-Key=17"),
        (b"x-own", b"1"),
    )
    hop_headers = (
        (b"connection", b"x-hop, keep-alive"),
        (b"x-hop", b"1"),
        (b"keep-alive", b"timeout=5"),
        (b"deadline-ms", b"2000"),
        (b"expected-instance", b"i-forged"),
        (b"camphorspread-pass", b"{}"),
    )
    head = RequestHead(b"GET", b"/read/1", (*context.kept, *hop_headers))
    context.call = PlatformDialect().decode_request(head).unwrap()


@when('it is sent to the endpoint "{name}" with {left:d} ms left')
def step_send(context, name, left):
    context.sent = PlatformDialect().encode_request(
        context.call, name, timedelta(milliseconds=left)
    )


@then('its headers are those of the client without hop-by-hop ones, 1500 ms and "i-7"')
def step_headers(context):
    hop_values = ((b"deadline-ms", b"1500"), (b"expected-instance", b"i-7"))
    assert context.sent.headers == (*context.kept, *hop_values), context.sent.headers


@then('its affinity key is "{key}"')
def step_object(context, key):
    assert context.call.object_key == key, context.call


@when("the modules outside the adapter are searched for the names of its calls, headers and fields")
def step_names(context):
    context.found = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        for name in PLATFORM_NAMES
        if name in path.read_text()
    ]


@then("none is found")
def step_no_names(context):
    assert not context.found, context.found
