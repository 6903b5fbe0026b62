"""Steps for requests that wait for their turn under a limit while the configuration changes."""

import asyncio
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace

from behave import given, then, when

from camphorspread.process.quota_contact import QuotaContact
from camphorspread.request.organisation_quota import Charge
from camphorspread.request.quota import apply_limits, charge_request, settle_ticket
from camphorspread.request.quota_admission import admit_quota
from camphorspread.version.organisations import Organisation, OrganisationTable
from features.steps.quota_decision_steps import ACME, START, make_table

# The only send of the window leaves it 0.3 s later.
ARRIVAL = START + timedelta(seconds=4.8)


@given("a request that waits for its turn")
def step_waiting(context):
    book, table = context.book, make_table(2)
    settle_ticket(book, charge_request(book, ACME, START).ticket, [START])
    context.loop.run_until_complete(asyncio.sleep(ARRIVAL.total_seconds()))
    state = SimpleNamespace(
        clock=context.clock,
        quotas=book,
        quota_contact=QuotaContact(START),
        controls={},
        table=SimpleNamespace(organisations=table, revision=1),
        metrics=SimpleNamespace(quota_requests=Counter()),
        log=SimpleNamespace(write=lambda *_, **__: None),
    )
    book.table = table
    context.decision = context.loop.create_task(admit_quota(state, table.organisations[0]))
    context.loop.run_until_complete(asyncio.sleep(0.01))
    assert book.quotas[ACME].waiting == 1 and not context.decision.done()


@when("the limit is removed")
def step_limit_removed(context):
    apply_limits(context.book, OrganisationTable((Organisation(ACME),)), 2)


@when("the limit is removed while another request is in flight")
def step_limit_removed_in_flight(context):
    context.book.quotas[ACME].charges[99] = Charge(ARRIVAL)
    step_limit_removed(context)


@when("the organisation is removed")
def step_organisation_removed(context):
    apply_limits(context.book, OrganisationTable(()), 2)


@when("the organisation is removed and added with a limit")
def step_added_again(context):
    step_organisation_removed(context)
    apply_limits(context.book, make_table(2), 3)


@then("the waiting request is {result}")
def step_decided(context, result):
    decision = context.loop.run_until_complete(context.decision)
    assert type(decision).__name__.lower() == result, decision
