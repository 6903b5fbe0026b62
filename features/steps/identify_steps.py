"""Steps of the decision which organisation a request belongs to."""

import re

import attrs
from behave import given, then, when

from camphorspread.request.dialect import KeyCredential, MalformedCredential, NoCredential
from camphorspread.request.identify import (
    ContactState,
    ForwardedCaller,
    Identified,
    KeyHolder,
    KeylessCaller,
    Unidentified,
    UnidentifiedCaller,
    combine_home_regions,
    find_identity_fault,
    identify,
)
from camphorspread.version.organisations import Organisation, OrganisationTable
from camphorspread.version.routing import RouteTable
from features.steps.routes_steps import make_route

CONTACTS = {
    "in contact": ContactState(),
    "behind": ContactState(is_behind=True),
    "out of contact": ContactState(has_contact=False),
    "strict and cut off": ContactState(has_contact=False, accepts_keys=False),
}


def make_table(text, revision=1):
    """Return routes with organisations such as `acme: k-1 k-3; bolt: k-2`."""
    organisations = ()
    if text != "none":
        pairs = (item.partition(": ") for item in text.split("; "))
        organisations = tuple(Organisation(name, tuple(keys.split())) for name, _, keys in pairs)
    return RouteTable(revision, (), {}, organisations=OrganisationTable(organisations))


@given('the organisations "acme" with the key "k-1" and "bolt" with the key "k-2"')
def step_organisations(context):
    context.routes = make_table("acme: k-1; bolt: k-2")


@given("no organisations")
def step_none(context):
    context.routes = make_table("none")


@given("a {kind} route, at a VM that is {contact}")
def step_route(context, kind, contact):
    context.route = attrs.evolve(make_route("x.example", "/"), is_public=kind == "public")
    context.contact = CONTACTS[contact]


def make_credential(text):
    """Return the credential that a step names."""
    match re.split(r'[ "]+', text):
        case ["no", *_]:
            return NoCredential()
        case ["a", "malformed", *_]:
            return MalformedCredential()
        case [*_, key, ""]:
            return KeyCredential(key)


@then('a request with {credential} is served for "{name}"')
def step_served(context, credential, name):
    context.decision = identify(
        context.routes, context.route, make_credential(credential), context.contact
    )
    match context.decision:
        case Identified(organisation=organisation):
            assert (organisation.name if organisation else "") == name, organisation
        case _:
            raise AssertionError(context.decision)


@then('a request with {credential} is served for ""')
def step_served_for_none(context, credential):
    step_served(context, credential, "")


@then("a request with {credential} is refused as {fault}")
def step_refused(context, credential, fault):
    decision = identify(context.routes, context.route, make_credential(credential), context.contact)
    match decision:
        case Unidentified(fault=found):
            assert found.value == fault, found
        case _:
            raise AssertionError(decision)


def make_identity(context, text):
    """Return the identity that a step names."""
    known = context.routes.organisations.by_name.get("acme")
    match text:
        case "without a key":
            return KeylessCaller()
        case "from before organisations":
            return UnidentifiedCaller()
        case 'forwarded for "acme"':
            return ForwardedCaller("acme", 1, known)
        case "forwarded by newer routes":
            return ForwardedCaller("acme", 3, known)
        case 'forwarded for unknown "cork"':
            return ForwardedCaller("cork", 2)
        case _:
            return KeyHolder("k-1", "acme")


@when("a request {identity} waits and the organisations become {organisations}")
def step_change(context, identity, organisations):
    context.fault = find_identity_fault(
        make_identity(context, identity), make_table(organisations, 2), context.contact
    )


@then("it may be sent")
def step_may_be_sent(context):
    assert context.fault is None, context.fault


@then("it is refused as {fault}")
def step_fault(context, fault):
    assert context.fault is not None and context.fault.value == fault, context.fault


@then('a route of regions "{route}" and an organisation of regions "{own}" may run in "{both}"')
def step_regions(context, route, own, both):
    check_regions(route, own, both)


@then('a route of regions "" and an organisation of regions "{own}" may run in "{both}"')
def step_own_regions(context, own, both):
    check_regions("", own, both)


@then('a route of regions "{route}" and an organisation of regions "" may run in "{both}"')
def step_route_regions(context, route, both):
    check_regions(route, "", both)


@then('a route of regions "" and an organisation of regions "" may run in "{both}"')
def step_no_regions(context, both):
    check_regions("", "", both)


def check_regions(route, own, both):
    """Compare the combined regions with the expected ones."""
    found = combine_home_regions(
        attrs.evolve(make_route("x.example", "/"), home_regions=tuple(route.split())),
        Organisation("acme", home_regions=tuple(own.split())),
    )
    expected = {"anywhere": (), "nowhere": None}.get(both, tuple(both.split()))
    assert found == expected, found
