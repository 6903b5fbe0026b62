"""Steps of status lines that HTTP doesn't know."""

from behave import given, then, when

from features.steps.platform_fault_steps import list_ended

# Longer than the lease of an announcement, so that no entry VM uses an endpoint that has ended.
SETTLE_S = 10


@given('the status "{text}" is sent {place} by the endpoints of "{service}"')
def step_odd_status(context, service, text, place):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == service:
            endpoint.status_text, endpoint.status_place = text.encode(), place


@given('the status "{text}" is sent at once by the endpoint "{name}"')
def step_one_odd_status(context, name, text):
    context.fleet.endpoints[name].status_text = text.encode()


@given('those of "{service}" in "{region}" have ended')
def step_ended(context, service, region):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == service and endpoint.zone.startswith(f"{region}-"):
            context.fleet.run_coroutine(endpoint.stop())
    context.fleet.run(SETTLE_S)


@when('a client of "{zone}" sends a body of {size:d} bytes to "filing"')
def step_send_body(context, zone, size):
    request = context.fleet.request(zone, "/file/x", "POST", bytes(size))
    context.answer = context.fleet.run_coroutine(request)


@then("it gets {status:d} without a signature")
def step_status(context, status):
    assert context.answer is not None
    assert context.answer[0] == status, context.answer
    assert b"response-signature" not in context.answer[1], context.answer


@then("the request was forwarded")
def step_forwarded(context):
    trails = [item["trail"] for item in list_ended(context)]
    assert any(step.startswith("pass ") for trail in trails for step in trail), trails
