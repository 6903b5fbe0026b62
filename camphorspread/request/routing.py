"""The choice of an endpoint for one request."""

from datetime import timedelta

from returns.result import Failure, Result, Success

from camphorspread.process.endpoints import Endpoint, Registry
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.reasons import Reason

__all__ = ["choose_endpoint"]


def choose_endpoint(
    registry: Registry, service: str, now: timedelta, excluded: frozenset[str] = frozenset()
) -> Result[Endpoint, Refusal]:
    """Return the live endpoint with the smallest share of slots in use.

    Args:
        registry: Endpoints that this VM owns.
        service: Name of the service.
        now: Current instant.
        excluded: Names of endpoints that this request has tried.

    Returns:
        The endpoint, or a refusal if there is none or all slots are in use.
    """
    live = registry.list_live(service, now)
    if not live:
        message = f"no backend server serves {service}"
        return Failure(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))
    open_endpoints = [
        endpoint
        for endpoint in live
        if endpoint.count_free_slots(now) and endpoint.announcement.endpoint not in excluded
    ]
    if not open_endpoints:
        message = f"all slots of {service} are in use"
        return Failure(Refusal(ErrorKind.OVERLOADED, message, Reason.SLOTS_FULL))
    return Success(min(open_endpoints, key=lambda endpoint: endpoint.rank(now)))
