"""Refuses requests for which this VM has no route."""

from datetime import timedelta

import attrs

from camphorspread.process.events import Event
from camphorspread.process.poll_times import contact_limit
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import describe_contact, measure_silence
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.identify import explain_missing_route
from camphorspread.request.refusals import refuse_missing_route
from camphorspread.request.routed_request import Denied

__all__ = ["deny_missing_route"]

MILLISECOND = timedelta(milliseconds=1)


def deny_missing_route(state: SteeringState, call: SteeredCall) -> Denied:
    """Count and log a request without a route, and return its refusal."""
    silence = measure_silence(state)
    contact = describe_contact(state)
    if silence is None or silence > contact_limit(len(state.controls)):
        # The contact window is longer than the time within which a change must be in force.
        contact = attrs.evolve(contact, has_contact=False)
    fault = explain_missing_route(contact)
    state.metrics.missing_routes[(fault.value,)] += 1
    state.log.write(
        Event.ROUTE_NOT_FOUND,
        request=call.request_id,
        host=call.host,
        reason=fault.value,
        revision=state.table.revision,
        version=state.catalogue_version,
        announced=state.announced_version,
        contact_age_ms=None if silence is None else silence // MILLISECOND,
    )
    return refuse_missing_route(fault)
