"""Steps for malformed messages."""

import asyncio
import json
import os
import random
from datetime import timedelta
from io import BytesIO
from pathlib import Path

from behave import given, then, when
from returns.result import Failure, Success

from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.connection.network import Address
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.platform.heartbeats import (
    InvalidHeartbeatError,
    decode_departure,
    decode_heartbeat,
)
from camphorspread.platform.routing_codec import decode_document, decode_table
from camphorspread.platform.settings_file import decode_settings
from camphorspread.process.announcement_codec import (
    decode_departures,
    decode_leave,
    decode_report,
    encode_report,
)
from camphorspread.process.announcement_messages import RECORD_PATH
from camphorspread.process.catalogue_transfer import CATALOGUE_PATH
from camphorspread.process.control_departures import CONFIRM_PATH
from camphorspread.process.events import Event
from camphorspread.process.quota_codec import decode_quota_request, decode_quota_response
from camphorspread.process.vm_poll import apply_poll_response, encode_poll
from camphorspread.process.vm_record_codec import decode_vm
from camphorspread.request.errors import Outcome
from camphorspread.request.peer_forward_codec import (
    FORWARD_HEADER,
    ForwardResult,
    decode_forward,
    decode_forward_result,
    encode_forward_result,
)
from camphorspread.version.log_file import LogCorruptedError, encode_record, read_records
from camphorspread.version.replica_codec import decode_entry, decode_envelope
from features.fixtures.mutation import mutate_bytes, mutate_value
from features.fixtures.platform_endpoint import call_address
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    CONTROL_PORT,
    ZONES,
    make_configuration,
)
from features.steps.instances_steps import make_report

FUZZ_CASES = int(os.environ.get("FUZZ_CASES", "300"))
RESPONSE_LIMIT_S = 4.0
HEARTBEAT = {
    "service": "status",
    "address": "10.1.0.9:8080",
    "zone": "sofia-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
    "born": 1000,
}
REPORT = encode_report(make_report("i-1", "10.1.0.9:8080", 1000, 4, "ready"))
VM_RECORD = {
    "vm": "front-x",
    "incarnation": 5,
    "zone": "sofia-a",
    "region": "sofia",
    "callers": ["10.1.0.9", 8641],
    "peers": ["10.1.0.9", 7620],
    "accepting": True,
    "leaving": False,
    "rate": 1.5,
}
DEPARTURES = [["i-8", 1000, 50000], ["i-9", 2000, 9000]]
POLL = VM_RECORD | {
    "version": 1,
    "announced": 1,
    "fetches": True,
    "fleet": "",
    "hold_ms": 0,
    "departures": "a.3",
    "departed": DEPARTURES,
}
CATALOGUE_REQUEST = {"version": 0, "document": "1.ab", "digest": "ab", "offset": 0}
POLL_RESPONSE = {
    "current": True,
    "fleet": "a.1.6",
    "version": 9,
    "vms": [VM_RECORD],
    "controls": [["10.1.0.1", 7621]],
    "catalogue": {
        "version": 9,
        "routing": {"revision": 1, "text": make_configuration(1).decode()},
        "evacuated": ["sofia-b"],
    },
    "departures": {"version": "a.4", "recorded": DEPARTURES},
}
SUMMARY = {
    "vm": "front-sofia-b-2",
    "loads": {"status": [3, 6, 0, 0.3], "filing": [1, 5, 2, 0.4]},
    "stamp": "1f.500",
    "echo": "2a.400",
    "held": "1f.3",
    "tag": "2a.4",
    "lent": [REPORT],
}
LEAVE = {"instance": "i-1", "order": [1000, 4], "received_at_ms": 5000}
JOIN = {
    "vm": "core-x",
    "identity": "abc",
    "peers": ["10.9.0.1", 7621],
    "operators": ["10.9.0.1", 8649],
}
FORWARD = {
    "service": "status",
    "route": "read",
    "object": "read/1",
    "rank": 1,
    "promised_ms": 400,
    "promised_left_ms": 300,
    "left_ms": 1500,
    "excluded": ["i-2"],
    "homes": ["sofia"],
    "organisation": "acme",
    "organisation_rank": 1,
    "routes_revision": 3,
}
ENVELOPE = {
    "format": 1,
    "source": "10.1.0.1",
    "identity": "abc",
    "group": "g",
    "message": {"type": "Vote", "term": 1, "granted": True},
}
QUOTA_RENEWAL = {
    "vm": "front-x",
    "incarnation": 5,
    "number": 7,
    "age_ms": 8000,
    "revision": 3,
    "needs": {"acme": [12, 13, 9, 14], "bergen": [0, 1, 0, 2]},
    "returning": False,
}
QUOTA_RESPONSE = {
    "number": 7,
    "revision": 3,
    "grants": {"acme": [14, 535, 0], "bergen": [2, 20, 2]},
}
SETTINGS = "\n".join(
    (
        "self.node=front-sofia-a-1",
        "self.serves=front",
        "self.ip=10.1.0.2",
        "self.zone=sofia-a",
        "self.region=sofia",
        "network.listen.front=10.1.0.2:8641",
        "network.listen.ready=10.1.0.2:8640",
        "network.internalPortRange=7620,7635",
        "network.seeds=10.1.0.1:8649",
        "network.zones.sofia-a=sofia",
        "provider.heartbeatMs=1500",
        "terms.bounds.drainMs=2500",
    )
)
TENANTS = [
    {"name": "acme", "apiKeys": ["k-1"], "priority": 1, "ratePerS": 2.5, "burst": 3},
    {"name": "bolt", "apiKeys": ["k-2", "k-3"], "allowedRegions": ["sofia"]},
]
REQUEST_HEADERS = (
    (b"host", b"water.example"),
    (b"request-id", b"q1"),
    (b"cookie", b"Affinity-Key=17"),
    (b"deadline-ms", b"2000"),
    (b"authorization", b"Token k-1"),
)
RESPONSE_HEADERS = (
    (b"request-id", b"q1"),
    (b"server-load", b"3,0,8,250"),
    (b"retry-after", b"1.5"),
    (b"not-executed", b"1"),
)


def mutate_headers(rng, headers):
    """Return headers of which one value is changed, as a parser might pass them on."""
    changed = list(headers)
    index = rng.randrange(len(changed))
    name, value = changed[index]
    changed[index] = (name, mutate_bytes(rng, value))
    return tuple(changed)


def mutate_header_value(rng, name, fields):
    """Return a header with a changed JSON value."""
    return (name, mutate_bytes(rng, json.dumps(fields).encode()))


def decode_log(rng):
    """Decode a log file with changed bytes."""
    records = b"".join(encode_record(b'{"n":%d,"synced_end":0}' % number) for number in range(4))
    file = BytesIO(mutate_bytes(rng, records))
    read_records(Path("log"), file, lambda _, payload: payload)


def make_decoders(rng):
    """Return a function for each message that decodes one random change of it."""
    dialect = PlatformDialect()
    result_headers = encode_forward_result(ForwardResult(Outcome.COMPLETED, None, 1, True, 3))
    return {
        "heartbeat": lambda: decode_heartbeat(
            "i-1", mutate_bytes(rng, json.dumps(HEARTBEAT).encode())
        ),
        "departure": lambda: decode_departure(
            "i-1", mutate_bytes(rng, json.dumps(HEARTBEAT).encode())
        ),
        "configuration": lambda: decode_document(
            mutate_bytes(rng, make_configuration(3, tenants=TENANTS))
        ),
        "settings file": lambda: decode_settings(
            mutate_bytes(rng, SETTINGS.encode()).decode("utf-8", "replace")
        ),
        "client's request": lambda: dialect.decode_request(
            RequestHead(b"GET", b"/read/x", mutate_headers(rng, REQUEST_HEADERS))
        ),
        "endpoint's response": lambda: dialect.decode_response(
            ResponseHead(503, mutate_headers(rng, RESPONSE_HEADERS))
        ),
        "forwarded announcement": lambda: decode_report(mutate_value(rng, REPORT)),
        "forwarded departure": lambda: decode_leave(mutate_value(rng, LEAVE)),
        "list of departures": lambda: decode_departures(
            mutate_value(rng, DEPARTURES), timedelta(0)
        ),
        "forwarded request": lambda: decode_forward(
            RequestHead(b"GET", b"/x", (mutate_header_value(rng, FORWARD_HEADER, FORWARD),))
        ),
        "response to a forward": lambda: decode_forward_result(
            ResponseHead(200, mutate_headers(rng, result_headers))
        ),
        "record of an entry VM": lambda: decode_vm(mutate_value(rng, VM_RECORD)),
        "message between replicas": lambda: decode_envelope(mutate_value(rng, ENVELOPE)),
        "entry of the log": lambda: decode_entry(
            mutate_bytes(rng, b'{"format":1,"index":1,"term":1,"command":{"type":"Noop"}}')
        ),
        "quota renewal": lambda: decode_quota_request(mutate_value(rng, QUOTA_RENEWAL)),
        "response to a quota renewal": lambda: decode_quota_response(
            mutate_value(rng, QUOTA_RESPONSE), 7
        ),
        "log file": lambda: decode_log(rng),
    }


EXPECTED_ERRORS = {
    "raises InvalidHeartbeatError": InvalidHeartbeatError,
    "raises ValueError": ValueError,
    "raises LogCorruptedError": LogCorruptedError,
}


@given("random changes of a valid {message}, from seed {seed:d}")
def step_message(context, message, seed):
    context.decode = make_decoders(random.Random(seed))[message]


@then("decoding each of them succeeds or {outcome}")
def step_decode(context, outcome):
    for _ in range(FUZZ_CASES):
        try:
            result = context.decode()
        except EXPECTED_ERRORS.get(outcome, ()):
            continue
        assert outcome != "returns a failure" or isinstance(result, Success | Failure), result


MESSAGES = {
    "poll": ("/v1/vm/poll", POLL),
    "join request": ("/v1/group/join", JOIN),
    "catalogue request": (CATALOGUE_PATH, CATALOGUE_REQUEST),
    "quota renewal": ("/v1/vm/quota", QUOTA_RENEWAL),
    "summary": ("/v1/entry/summary", SUMMARY),
    "forwarded announcement": ("/v1/entry/announcement", REPORT),
    "forwarded departure": ("/v1/entry/leave", LEAVE),
    "list of departures": (RECORD_PATH, {"departures": DEPARTURES}),
    "departure to confirm": (CONFIRM_PATH, {"instance": "i-9", "report": REPORT}),
    "heartbeat": ("/-/Instances.Heartbeat/i-9", HEARTBEAT),
}


def find_peer_address(context, receiver):
    """Return where a process listens for the others."""
    role, zone = receiver.removeprefix("the ").split(" VM of ")
    zone = zone.strip('"')
    if role == "control":
        return context.fleet.controls[f"core-{zone}-1"].steering.settings.peers
    return context.fleet.entries[f"front-{zone}-2"].state.settings.peers


def watch_loop(context):
    """Record errors that reach the event loop."""
    context.loop_errors = []
    context.loop.set_exception_handler(lambda _loop, info: context.loop_errors.append(info))


@when("{count:d} random changes of a {message} are sent to {receiver}, from seed {seed:d}")
def step_send_changed(context, count, message, receiver, seed):
    rng = random.Random(seed)
    path, value = MESSAGES[message]
    address = find_peer_address(context, receiver)
    network = context.fleet.network.host(CLIENT_HOST)
    watch_loop(context)

    async def send_all():
        calls = [
            call_address(
                network,
                address,
                "POST",
                path,
                mutate_bytes(rng, json.dumps(value).encode()),
                limit_s=RESPONSE_LIMIT_S,
            )
            for _ in range(count)
        ]
        started = context.loop.time()
        answers = await asyncio.gather(*calls)
        return answers, context.loop.time() - started

    context.answers, context.answered_s = context.fleet.run_coroutine(send_all())


@then("each of them gets a response or a closed connection")
def step_answered(context):
    assert context.answered_s < RESPONSE_LIMIT_S, context.answered_s
    statuses = {answer and answer[0] for answer in context.answers}
    assert statuses <= {None, 200, 400, 404, 413, 503}, statuses


@when(
    "{count:d} random changes of a response to a poll arrive at the entry VM of "
    '"{zone}", from seed {seed:d}'
)
def step_poll_responses(context, count, zone, seed):
    rng = random.Random(seed)
    state = context.fleet.entries[f"front-{zone}-2"].state
    watch_loop(context)
    for _ in range(count):
        control = rng.choice(list(state.controls.values()))
        value = json.loads(json.dumps(mutate_value(rng, POLL_RESPONSE)))
        apply_poll_response(state, control, value, decode_table)
        encode_poll(state, control, context.clock.monotonic())
    context.fleet.run(4)


@then("no handler and no background task failed")
def step_no_failure(context):
    failures = [
        line
        for log in context.fleet.logs.values()
        for line in map(json.loads, log.getvalue().splitlines())
        if line["number"] in (Event.HANDLER_FAILED.value, Event.TASK_FAILED.value)
    ]
    assert not failures, failures[:3]
    assert not context.loop_errors, context.loop_errors[:3]


ODD_INSTANCE = "i-odd"
NESTED = 100_000
# Values of fields as JSON text, by which an announcement differs from a valid one.
ODDITIES = {
    "100000 nested objects in a field": ("zone", '{"a":' * NESTED + "1" + "}" * NESTED),
    "a number of 5000 digits": ("seq", "9" * 5000),
    "a sequence number of 20 digits": ("seq", "9" * 20),
    "a start of 30 digits": ("born", "9" * 30),
    "a number of slots of 20 digits": ("slots", "9" * 20),
    "no slots": ("slots", "0"),
    "a cold time of 1e400": ("coldRemainingMs", "1e400"),
    "a cold time of 1e300": ("coldRemainingMs", "1e300"),
    "port 65536": ("address", '"10.1.0.9:65536"'),
    "port 0": ("address", '"10.1.0.9:0"'),
    "port -1": ("address", '"10.1.0.9:-1"'),
    "port 8080.5": ("address", '"10.1.0.9:8080.5"'),
    "a port of 20 digits": ("address", f'"10.1.0.9:{"9" * 20}"'),
    "an address without a port": ("address", '"10.1.0.9"'),
}
FORWARDED_FIELDS = {"seq": "sequence", "born": "started_ms", "slots": "slots"}


def make_odd_announcement(oddity):
    """Return the body of an announcement with an odd value."""
    if oddity == "100000 nested arrays":
        return b"[" * NESTED
    field, text = ODDITIES[oddity]
    fields = {name: json.dumps(value) for name, value in HEARTBEAT.items()} | {field: text}
    return ("{" + ",".join(f'"{name}":{value}' for name, value in fields.items()) + "}").encode()


@when("an announcement with {oddity} is sent to each VM")
def step_odd_announcement(context, oddity):
    fleet = context.fleet
    network = fleet.network.host(CLIENT_HOST)
    body = make_odd_announcement(oddity)
    path = f"/-/Instances.Heartbeat/{ODD_INSTANCE}"
    addresses = [Address(fleet.host(zone, 1), CONTROL_PORT) for zone in ZONES]
    addresses += [find_peer_address(context, f'the entry VM of "{zone}"') for zone in ZONES]
    watch_loop(context)

    async def send_all():
        started = context.loop.time()
        calls = [call_address(network, item, "POST", path, body) for item in addresses]
        return await asyncio.gather(*calls), context.loop.time() - started

    context.answers, context.answered_s = fleet.run_coroutine(send_all())
    fleet.run(3)


@then("no VM knows the announced server")
def step_unknown(context):
    for entry in context.fleet.entries.values():
        assert ODD_INSTANCE not in entry.state.board.registry.instances


@given("an announcement with {oddity}")
def step_odd(context, oddity):
    context.oddity = oddity


@then("the platform's and the fleet's decoders report it as malformed")
def step_malformed(context):
    field, text = ODDITIES[context.oddity]
    forwarded = REPORT | {FORWARDED_FIELDS[field]: json.loads(text)}
    for decode in (
        lambda: decode_heartbeat(ODD_INSTANCE, make_odd_announcement(context.oddity)),
        lambda: decode_report(forwarded),
    ):
        try:
            report = decode()
        except ValueError:
            continue
        raise AssertionError(report)
