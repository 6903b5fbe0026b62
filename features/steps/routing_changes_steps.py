"""Steps for the changes between route tables and their encoding."""

import json
import random
import zlib
from datetime import timedelta
from unittest import mock

import attrs
from behave import given, then, when

from camphorspread.version import catalogue_update
from camphorspread.version.catalogue_update import CatalogueUpdate, decode_update, encode_update
from camphorspread.version.organisations import Organisation, OrganisationTable
from camphorspread.version.routing import (
    CallerLimits,
    Route,
    RouteTable,
    SteeredService,
    WeightedService,
)
from camphorspread.version.routing_changes import apply_routing_changes, diff_tables

MILLISECOND = timedelta(milliseconds=1)


def make_entry_route(number, rng):
    """Return a route with random fields."""
    parts = tuple(
        WeightedService(f"s{rng.randrange(5)}", rng.choice((1.0, 90.0, 0.5)))
        for _ in range(rng.randrange(1, 3))
    )
    return Route(
        f"r{number}",
        f"H{number % 7}.example",
        f"/p{number}/",
        rng.random() < 0.5,
        rng.randrange(100, 9000) * MILLISECOND,
        rng.randrange(100, 9000) * MILLISECOND / 2,
        rng.randrange(4),
        parts,
        rng.randrange(1, 4),
        rng.random() < 0.5,
        rng.choice(((), ("sofia",), ("sofia", "varna"))),
        rng.random() < 0.2,
    )


def make_table(routes, seed=1):
    """Return a table with routes."""
    rng = random.Random(seed)
    return RouteTable(
        1, tuple(make_entry_route(number, rng) for number in range(routes)), make_services(rng)
    )


def make_services(rng):
    return {f"s{n}": SteeredService(f"s{n}", rng.randrange(9), rng.random()) for n in range(5)}


def make_organisation(number, rng):
    keys = tuple(f"k{number}-{rng.randrange(9)}" for _ in range(rng.randrange(3)))
    return Organisation(f"o{number}", keys, rng.randrange(3), rng.randrange(50), 2.5, ("varna",))


def change_table(table, what, rng):
    """Return a table that differs in what a step names, with the next revision."""
    everything = "all else" in what
    changed = {"revision": table.revision + 1}
    if everything or "routes" in what:
        routes = [item for item in table.routes if rng.random() < 0.9]
        routes = [
            make_entry_route(int(item.name[1:]), rng) if rng.random() < 0.1 else item
            for item in routes
        ]
        first = 1000 * table.revision
        routes += [make_entry_route(first + n, rng) for n in range(rng.randrange(4))]
        rng.shuffle(routes)
        changed["routes"] = tuple(routes)
    if everything or "services" in what:
        services = {name: item for name, item in table.services.items() if rng.random() < 0.8}
        name = f"s{rng.randrange(9)}"
        changed["services"] = services | {name: SteeredService(name, rng.randrange(9))}
    if everything or "organisations" in what:
        kept = {item.name: item for item in table.organisations.organisations if rng.random() < 0.8}
        added = make_organisation(rng.randrange(30), rng)
        changed["organisations"] = OrganisationTable(tuple((kept | {added.name: added}).values()))
    if everything or "limits" in what:
        changed["limits"] = CallerLimits(header_bytes=rng.randrange(100, 20000))
    return attrs.evolve(table, **changed)


@given("{count:d} route tables that each differ from the one before in {what}")
def step_tables(context, count, what):
    rng = random.Random(what)
    context.tables = [make_table(40)]
    while len(context.tables) < count:
        context.tables.append(change_table(context.tables[-1], what, rng))


def encode_and_apply(base, table):
    """Return the table that the encoded changes make out of another one, and their bytes."""
    document = f"{base.revision}.x" if base else ""
    changes = diff_tables(base, table, document, f"{table.revision}.x")
    encoded = encode_update(CatalogueUpdate(table.revision, ("sofia-a",), changes))
    update = decode_update(encoded.data)
    assert update == CatalogueUpdate(table.revision, ("sofia-a",), changes)
    return apply_routing_changes(base, update.routing), encoded.data


def sort_entries(table):
    """Return the entries of a table in an order that doesn't depend on the changes."""
    return (
        table.revision,
        table.limits,
        sorted(table.routes, key=lambda item: item.name),
        sorted(table.services.items()),
        sorted(table.organisations.organisations, key=lambda item: item.name),
    )


@then("the encoded changes lead from each table to each later one")
def step_check_pairs(context):
    for first in range(0, len(context.tables), 7):
        for table in context.tables[first + 1 :: 5]:
            result, _ = encode_and_apply(context.tables[first], table)
            assert sort_entries(result) == sort_entries(table)


@then("the encoded changes lead from no table to each of them")
def step_check_whole(context):
    for table in context.tables:
        result, _ = encode_and_apply(None, table)
        assert sort_entries(result) == sort_entries(table)


@given("a route table with {routes:d} routes, and the same one in another order")
def step_reordered(context, routes):
    context.first = make_table(routes)
    shuffled = list(context.first.routes)
    random.Random(1).shuffle(shuffled)
    context.other = attrs.evolve(context.first, routes=tuple(shuffled))


@then("the changes between them have no entries")
def step_no_entries(context):
    changes = diff_tables(context.first, context.other, "1.x", "2.x")
    assert not changes.routes and not changes.removed_routes, len(changes.routes)


@given("a route table with {routes:d} routes")
def step_table(context, routes):
    context.first = make_table(routes)


@when("the weights of one route change")
def step_weights(context):
    first, *others = context.first.routes
    parts = (WeightedService("s0", 1), WeightedService("s1", 7))
    changed = attrs.evolve(first, targets=parts)
    context.other = attrs.evolve(context.first, revision=2, routes=(changed, *others))


@then("the encoded changes take at most {size:d} KB")
def step_size(context, size):
    result, data = encode_and_apply(context.first, context.other)
    assert result == context.other
    assert len(data) <= size * 1000, len(data)


@given("the encoded update to a route table with {routes:d} routes")
def step_update(context, routes):
    changes = diff_tables(None, make_table(routes), "", "1.x")
    context.data = encode_update(CatalogueUpdate(1, (), changes)).data
    context.limit = catalogue_update.MAX_UPDATE_BYTES


def edit_route(data, edit):
    """Return an update whose first route was edited."""
    value = json.loads(zlib.decompress(data))
    edit(value["routing"]["routes"][0])
    return zlib.compress(json.dumps(value).encode())


@when("the update is read and its last {count:d} bytes are missing")
def step_cut(context, count):
    context.data = context.data[:-count]


@when("the update is read and its bytes are no compressed data")
def step_not_compressed(context):
    context.data = b"x" * 100


@when("the update is read and its text is no JSON")
def step_no_json(context):
    context.data = zlib.compress(b"{")


@when("the update is read and its text is JSON of another form")
def step_other_form(context):
    context.data = zlib.compress(b"[1]")


@when("the update is read and a route has no host")
def step_no_host(context):
    context.data = edit_route(context.data, lambda route: route.pop("host"))


@when("the update is read and a duration is a text")
def step_text_duration(context):
    context.data = edit_route(context.data, lambda route: route.update(time_limit="1"))


@when("the update is read and its text is larger than allowed")
def step_too_large(context):
    context.limit = 1000


@then("the update is refused with a cause")
def step_refused(context):
    with mock.patch.object(catalogue_update, "MAX_UPDATE_BYTES", context.limit):
        try:
            decode_update(context.data)
        except ValueError as exc:
            assert str(exc), exc
        else:
            raise AssertionError("the update was accepted")
