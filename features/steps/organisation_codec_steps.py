"""Steps of the codec of organisations and keys."""

import json
import random
from datetime import timedelta
from decimal import Decimal

from behave import given, then, when
from returns.result import Failure, Success

from camphorspread.connection.messages import RequestHead, find_header
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.platform.organisation_codec import build_organisations
from camphorspread.platform.routing_codec import decode_document, decode_table
from camphorspread.process.quota_codec import decode_quota_response, encode_grants
from camphorspread.process.quota_shares import QuotaGrant
from camphorspread.request.dialect import KeyCredential, MalformedCredential, NoCredential
from camphorspread.request.peer_forward_codec import (
    FORWARD_HEADER,
    ForwardMetadata,
    decode_forward,
    encode_forward,
)
from camphorspread.version.quota_total import QuotaRules, compute_usable_total
from features.fixtures.mutation import mutate_bytes, mutate_value
from features.fixtures.platform_fleet import make_configuration, make_route

KEYS = ("zebra-91-quartz", "orbit-77-lantern-of-more-than-sixteen", 'umlaut-ä-"quoted"')
LEFT = timedelta(seconds=1)


def make_organisations():
    """Return two organisations in the form of the configuration."""
    return [
        {
            "name": "acme",
            "apiKeys": list(KEYS[:2]),
            "priority": 1,
            "ratePerS": 2.5,
            "burst": 3,
            "allowedRegions": ["sofia"],
        },
        {"name": "bolt", "apiKeys": [KEYS[2]]},
    ]


def make_document(organisations):
    """Return the value of a configuration whose first route is public."""
    routes = [
        make_route("read", "/read/", "safe", "status", public=True),
        make_route("file", "/file/", "unsafe", "filing"),
    ]
    return json.loads(make_configuration(3, routes, organisations))


OPTIONAL_FIELDS = ("apiKeys", "priority", "ratePerS", "burst", "allowedRegions")
CHANGES = {
    "nothing unusual": {},
    "a field that isn't known": {"mood": 1},
    "null in all optional fields": dict.fromkeys(OPTIONAL_FIELDS),
    "a rate of 0": {"ratePerS": 0},
    "a key twice in one organisation": {"apiKeys": ["k", "k"]},
    "a key of another organisation": {"apiKeys": [KEYS[2]]},
    "the name of another organisation": {"name": "bolt"},
    "an empty name": {"name": ""},
    "a name with a line break": {"name": "a\nb"},
    "a name with half a surrogate pair": {"name": "a\ud800"},
    "a name that is a number": {"name": 7},
    "keys in one string": {"apiKeys": KEYS[0]},
    "a key that is a number": {"apiKeys": [KEYS[0], 7]},
    "an empty key": {"apiKeys": [KEYS[0], ""]},
    "a key with a space": {"apiKeys": [KEYS[0] + " x"]},
    "a priority of 1.5": {"priority": 1.5},
    "a priority that is true": {"priority": True},
    "a priority below 0": {"priority": -1},
    "a rate in a string": {"ratePerS": "2"},
    "a rate below 0": {"ratePerS": -0.5},
    "a rate without bound": {"ratePerS": float("inf")},
    "a burst that is no number": {"burst": float("nan")},
    "regions in one string": {"allowedRegions": "sofia"},
}


@when("the organisations have {change}")
def step_change(context, change):
    organisations = make_organisations()
    value = make_document(organisations)
    match change:
        case "only a name":
            value["tenants"][0] = {"name": "acme"}
        case "no name":
            del value["tenants"][0]["name"]
        case "a string in place of the entry":
            value["tenants"][0] = KEYS[0]
        case "an object in place of the list":
            value["tenants"] = value["tenants"][0]
        case "a string in place of public":
            value["routes"][0]["public"] = "true"
        case _:
            value["tenants"][0] |= CHANGES[change]
    context.result = decode_document(json.dumps(value).encode())


@then("the changed organisations are {result}")
def step_result(context, result):
    match context.result:
        case Success():
            assert result == "accepted", "the configuration was accepted"
        case Failure(fault):
            assert result == "invalid", fault
            assert not any(key in fault for key in KEYS), fault


def decode(value):
    """Return the routes of a valid configuration."""
    return decode_table(json.dumps(value)).unwrap()


@when("the configuration has {tenants} in place of the organisations")
def step_without(context, tenants):
    value = make_document(None)
    match tenants:
        case "null":
            value["tenants"] = None
        case "an empty list":
            value["tenants"] = []
    context.routes = decode(value)


@then("its requests need no key")
def step_no_key(context):
    assert not context.routes.organisations


@then('"acme" has 2 keys, priority 1, a rate of 2.5, a burst of 3 and the regions "sofia"')
def step_read(context):
    context.routes = decode(make_document(make_organisations()))
    acme = context.routes.organisations.by_name["acme"]
    assert acme.keys == KEYS[:2], len(acme.keys)
    assert (acme.rank, acme.rate, acme.burst, acme.home_regions) == (1, 2.5, 3.0, ("sofia",)), acme
    assert not any(key in repr(context.routes) for key in KEYS)


@then('the key of "bolt" is found, and only the route "read" is public')
def step_found(context):
    assert context.routes.organisations.find_by_key(KEYS[2]).name == "bolt"
    assert [route.name for route in context.routes.routes if route.is_public] == ["read"]


def move_key(rng, value):
    """Put a key, or something that has one, into another field, as an operator's slip might."""
    key = rng.choice(KEYS)
    odd = rng.choice((key, [key], {"apiKeys": key}, {key: 1}, {"apiKeys": {key: [key]}}))
    part = rng.choice((value, *value["routes"], *value["services"], *value["tenants"]))
    part[rng.choice(sorted(part))] = odd


@when("{count:d} configurations with organisations are changed at random, from seed {seed:d}")
def step_mutate(context, count, seed):
    rng = random.Random(seed)
    context.results = []
    for _ in range(count):
        value = make_document(make_organisations())
        match rng.randrange(4):
            case 0:
                data = mutate_bytes(rng, json.dumps(value, ensure_ascii=False).encode())
            case 1:
                value["tenants"] = mutate_value(rng, value["tenants"])
                data = json.dumps(value).encode()
            case 2:
                data = json.dumps(mutate_value(rng, value)).encode()
            case _:
                move_key(rng, value)
                data = json.dumps(value).encode()
        context.results.append(decode_document(data))


@when("a configuration with organisations is sent in {encoding}")
def step_encoding(context, encoding):
    text = json.dumps(make_document(make_organisations()), ensure_ascii=False)
    if encoding == "broken utf-8":
        data = text.encode().replace(b"acme", b"ac\xffme")
    else:
        data = text.encode(encoding)
    context.results = [decode_document(data)]


@then("some of them are refused and no error contains a key")
def step_no_keys(context):
    faults = [item.failure() for item in context.results if isinstance(item, Failure)]
    assert faults
    # Also a part of a key that identifies it.
    probes = [key[:12] for key in KEYS]
    shown = [fault for fault in faults if any(probe in fault for probe in probes)]
    assert not shown, shown[:3]


@given('a request with the authorizations "{values}"')
def step_authorizations(context, values):
    items = {"none": [], "empty": [""]}.get(values, values.split(" / "))
    headers = tuple((b"authorization", item.encode()) for item in items)
    head = RequestHead(b"GET", b"/read/1", headers)
    context.credential = PlatformDialect().decode_request(head).unwrap().credential


@then("its credential is {credential}")
def step_credential(context, credential):
    expected = {"no key": NoCredential(), "malformed": MalformedCredential()}
    assert context.credential == expected.get(credential, KeyCredential("k-1")), credential
    assert "k-1" not in repr(context.credential)


def parse_headers(text):
    """Return the headers that a step lists."""
    pairs = (item.partition(": ") for item in text.split(" / ") if item)
    return tuple((name.encode(), value.encode()) for name, _, value in pairs)


@given('a request with the headers "{headers}"')
def step_headers(context, headers):
    head = RequestHead(b"GET", b"/read/1", ((b"host", b"x"), *parse_headers(headers)))
    context.call = PlatformDialect().decode_request(head).unwrap()


@when('it is identified as "{name}" and sent to an endpoint')
def step_identified(context, name):
    dialect = PlatformDialect()
    call = dialect.identify_call(context.call, name, lambda text: text == "k-1")
    assert "k-1" not in repr(call) and call.organisation == name, call
    context.sent = dialect.encode_request(call, "i-1", LEFT).headers


@when('it is identified as "" and sent to an endpoint')
def step_identified_as_none(context):
    step_identified(context, "")


@when("it is sent to an endpoint without being identified")
def step_unidentified(context):
    context.sent = PlatformDialect().encode_request(context.call, "i-1", LEFT).headers


@then('the endpoint gets "{sent}"')
def step_sent(context, sent):
    hop = ((b"deadline-ms", b"1000"), (b"expected-instance", b"i-1"))
    own = parse_headers(sent)
    if "tenant: acme" in sent:
        expected = ((b"host", b"x"), *hop, *own)
    else:
        expected = ((b"host", b"x"), *own, *hop)
    assert context.sent == expected, context.sent


@then('the endpoint gets ""')
def step_sent_nothing(context):
    step_sent(context, "")


def make_forward(**fields):
    """Return the metadata of a forwarded request."""
    return ForwardMetadata("status", "read", "", 1, LEFT, LEFT, LEFT, **fields)


@then("a forward without an organisation has only the fields that it had before")
def step_forward_before(context):
    head = encode_forward(RequestHead(b"GET", b"/x"), make_forward())
    value = find_header(head.headers, FORWARD_HEADER)
    expected = (
        b'{"service":"status","route":"read","object":"","rank":1,"promised_ms":1000,'
        b'"promised_left_ms":1000,"left_ms":1000,"excluded":[],"homes":[]}'
    )
    assert value == expected, value
    assert decode_forward(head) == make_forward()


@then("a forward for an organisation is decoded with name, priority and revision")
def step_forward(context):
    forward = make_forward(organisation="ä b", organisation_rank=2, routes_revision=7)
    assert decode_forward(encode_forward(RequestHead(b"GET", b"/x"), forward)) == forward


@then("a forward whose organisation can't be sent in a header is malformed")
def step_forward_malformed(context):
    for name in ("a\r\nb", " a", "a\ud800", 7, None, ["a"]):
        head = encode_forward(RequestHead(b"GET", b"/x"), make_forward(organisation="acme"))
        value = json.loads(find_header(head.headers, FORWARD_HEADER)) | {"organisation": name}
        changed = RequestHead(b"GET", b"/x", ((FORWARD_HEADER, json.dumps(value).encode()),))
        try:
            decode_forward(changed)
        except ValueError:
            continue
        raise AssertionError(f"{name!r} was accepted")


@then('it asks for the scheme "{scheme}"')
def step_scheme(context, scheme):
    head = PlatformDialect().encode_refusal(context.refusal, None)
    assert (b"www-authenticate", scheme.encode()) in head.headers, head


@when("an organisation has a rate of {rate} and a burst of {burst}")
def step_huge(context, rate, burst):
    values = {"ratePerS": int(Decimal(rate)), "burst": int(Decimal(burst))}
    context.built = build_organisations([{"name": "acme", "apiKeys": ["k"], **values}])


@then("the huge limit is {state}")
def step_limited(context, state):
    (organisation,) = context.built.organisations
    assert organisation.is_limited == (state == "in force"), organisation
    assert compute_usable_total(organisation, QuotaRules()) < 2**53


@given("a response to a renewal with one malformed grant and one valid one")
def step_bad_grant(context):
    value = encode_grants(3, 1, {"huge": QuotaGrant(5, 2**54), "small": QuotaGrant(5, 20)})
    context.response = decode_quota_response(value, 3)


@then("the valid grant is applied")
def step_good_grant(context):
    assert context.response.grants == {"small": QuotaGrant(5, 20)}, context.response
