"""Decides on requests for which this VM has no route."""

import enum
from datetime import timedelta

from camphorspread.process.events import Event
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import describe_contact, measure_silence
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.identify import ContactState
from camphorspread.request.routed_request import Denied

__all__ = ["RouteFault", "deny_missing_route", "explain_missing_route"]

MILLISECOND = timedelta(milliseconds=1)


class RouteFault(enum.Enum):
    """Why a VM has no route for a request."""

    UNKNOWN = "unknown"
    # The route may be in a newer configuration, which hasn't arrived.
    OUTDATED_ROUTES = "outdated_routes"
    NO_CONTACT = "no_contact"


def explain_missing_route(contact: ContactState) -> RouteFault:
    """Return why no route has the host and path of a request.

    Args:
        contact: What this VM knows about the age of its routes.
    """
    match contact:
        case ContactState(is_behind=True):
            return RouteFault.OUTDATED_ROUTES
        case ContactState(has_contact=False):
            return RouteFault.NO_CONTACT
        case _:
            return RouteFault.UNKNOWN


def deny_missing_route(state: SteeringState, call: SteeredCall) -> Denied:
    """Count and log a request without a route, and return its refusal."""
    fault = explain_missing_route(describe_contact(state))
    silence = measure_silence(state)
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
    return Denied(Refusal(ErrorKind.UNKNOWN_SERVICE, "no route has this host and path"))
