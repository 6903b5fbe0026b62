"""Error responses of an entry VM to requests that it doesn't send anywhere."""

from datetime import timedelta

from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.identify import KeyFault, RouteFault
from camphorspread.request.quota_decision import Over, Undecided
from camphorspread.request.routed_request import Denied

__all__ = [
    "PROMPT_RETRY_DELAY",
    "refuse_before_exit",
    "refuse_charge",
    "refuse_key",
    "refuse_missing_route",
    "refuse_placement",
    "refuse_without_region",
]

# Suggested delay where another VM can serve the caller at once.
PROMPT_RETRY_DELAY = timedelta(milliseconds=50)
# Newer routes arrive within a few round trips of their announcement, and a request that has to be
# identified anew can be sent at once.
ROUTES_RETRY_DELAY = timedelta(milliseconds=250)
# The next contact to a control VM takes about a poll.
CONTACT_RETRY_DELAY = timedelta(seconds=1)
# Only a change of the configuration helps a request that no region may run.
NO_REGION_RETRY_DELAY = timedelta(seconds=1)


def refuse_key(fault: KeyFault) -> Denied:
    """Return the refusal of a request without a valid key."""
    match fault:
        case _ if fault.is_certain:
            return Denied(Refusal(ErrorKind.KEY_REFUSED, "this request needs a valid key"))
        case KeyFault.NO_CONTACT:
            refusal = Refusal(ErrorKind.NOT_READY, "this VM can't check keys at present")
            return Denied(refusal, CONTACT_RETRY_DELAY)
        case _:
            refusal = Refusal(ErrorKind.NOT_READY, "this VM gets new routes at present")
            return Denied(refusal, ROUTES_RETRY_DELAY)


def refuse_missing_route(fault: RouteFault) -> Denied:
    """Return the refusal of a request without a route."""
    match fault:
        case RouteFault.UNKNOWN:
            return Denied(Refusal(ErrorKind.UNKNOWN_SERVICE, "no route has this host and path"))
        case RouteFault.OUTDATED_ROUTES:
            refusal = Refusal(ErrorKind.NOT_READY, "this VM gets new routes at present")
            return Denied(refusal, ROUTES_RETRY_DELAY)
        case RouteFault.NO_CONTACT:
            refusal = Refusal(ErrorKind.NOT_READY, "the routes of this VM may be outdated")
            return Denied(refusal, CONTACT_RETRY_DELAY)


def refuse_charge(result: Over | Undecided) -> Denied:
    """Return the refusal of a request that isn't within its organisation's limit."""
    match result:
        case Over(retry_after=retry_after):
            refusal = Refusal(ErrorKind.QUOTA_EXCEEDED, "the organisation's limit is reached")
        case Undecided(retry_after=retry_after):
            refusal = Refusal(ErrorKind.NOT_READY, "this VM has no share of the limit yet")
    return Denied(refusal, retry_after)


def refuse_without_region() -> Denied:
    """Return the refusal of a request that no region may run."""
    refusal = Refusal(ErrorKind.NO_BACKEND_SERVER, "no region may run the request")
    return Denied(refusal, NO_REGION_RETRY_DELAY)


def refuse_before_exit() -> Denied:
    """Return the refusal of a request that might still run when the process exits."""
    return Denied(Refusal(ErrorKind.LEAVING, "this VM is about to stop"), PROMPT_RETRY_DELAY)


def refuse_placement(is_known: bool, retry_after: timedelta) -> Denied:
    """Return the refusal of a request without a placement.

    Args:
        is_known: True if a backend server of its service is known.
        retry_after: Suggested delay.
    """
    kind = ErrorKind.OVERLOADED if is_known else ErrorKind.NO_BACKEND_SERVER
    return Denied(Refusal(kind, "no backend server has capacity"), retry_after)
