"""Identifies the callers of requests at an entry VM, and refuses those without a valid key."""

from datetime import timedelta

import attrs

from camphorspread.process.events import Event
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.dialect import KeyCredential, SteeredCall
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.identify import (
    ContactState,
    ForwardedCaller,
    Identified,
    Identity,
    KeyFault,
    KeyHolder,
    KeylessCaller,
    Unidentified,
    UnidentifiedCaller,
    find_identity_fault,
    identify,
)
from camphorspread.request.peer_forward_codec import ForwardMetadata
from camphorspread.request.refusals import refuse_key
from camphorspread.request.routed_request import Denied, RoutedRequest
from camphorspread.version.organisations import Organisation
from camphorspread.version.routing import Route

__all__ = [
    "IdentifiedCall",
    "check_identity",
    "describe_contact",
    "identify_caller",
    "identify_forwarded",
    "is_still_identified",
    "measure_silence",
]

MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class IdentifiedCall:
    """A request that may be served.

    Attributes:
        call: The request without its key.
        identity: For whom it was accepted, which is checked again before each send.
        organisation: Its organisation, None for none.
    """

    call: SteeredCall
    identity: Identity
    organisation: Organisation | None = None


def identify_caller(
    state: SteeringState, call: SteeredCall, route: Route
) -> IdentifiedCall | Denied:
    """Identify the organisation of a caller's request, or refuse the request."""
    table = state.table
    match identify(table, route, call.credential, describe_contact(state)):
        case Unidentified(fault=fault):
            return deny(state, call, route.name, fault)
        case Identified() if not table.organisations:
            return IdentifiedCall(call, UnidentifiedCaller())
        case Identified(organisation=None):
            return IdentifiedCall(remove_key(state, call, ""), KeylessCaller())
        case Identified(organisation=organisation):
            identity = make_key_holder(call, organisation)
            identified = remove_key(state, call, organisation.name)
            return IdentifiedCall(identified, identity, organisation)


def remove_key(state: SteeringState, call: SteeredCall, organisation: str) -> SteeredCall:
    """Return a request without its key and with the name of its organisation."""
    keys = state.table.organisations.by_key if state.table is not None else {}
    return state.dialect.identify_call(call, organisation, lambda text: text in keys)


def make_key_holder(call: SteeredCall, organisation: Organisation) -> Identity:
    """Return the identity of a request whose key was found."""
    match call.credential:
        case KeyCredential(key=key):
            return KeyHolder(key, organisation.name)
    raise ValueError("the request has no key")


def identify_forwarded(
    state: SteeringState, call: SteeredCall, forward: ForwardMetadata
) -> IdentifiedCall:
    """Return a request that another VM forwarded, whose key that VM has checked.

    A process that doesn't know organisations yet forwards the head as the caller sent it. Its key
    and its claim to an organisation are removed here.
    """
    table = state.table
    has_organisations = table is not None and bool(table.organisations)
    if not has_organisations and not forward.organisation:
        return IdentifiedCall(call, UnidentifiedCaller())
    identified = remove_key(state, call, forward.organisation)
    if not forward.organisation:
        return IdentifiedCall(identified, KeylessCaller())
    known = table.organisations.by_name.get(forward.organisation) if table is not None else None
    identity = ForwardedCaller(forward.organisation, forward.routes_revision, known)
    return IdentifiedCall(identified, identity, known)


def is_still_identified(state: SteeringState, job: RoutedRequest) -> bool:
    """Return True if a request may still be sent for the caller that it was accepted for."""
    return find_fault(state, job) is None


def check_identity(state: SteeringState, job: RoutedRequest) -> Denied | None:
    """Return the refusal of a request that may no longer be sent, None if it may."""
    fault = find_fault(state, job)
    if fault is None:
        return None
    denied = deny(state, job.call, job.route.name, fault)
    if job.may_have_run and not fault.is_certain:
        # Status 503 would assure the caller that the request didn't run.
        return Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt got a response"))
    return denied


def find_fault(state: SteeringState, job: RoutedRequest) -> KeyFault | None:
    """Check a request against the newest routes."""
    if state.table is None:
        return None
    return find_identity_fault(job.identity, state.table, describe_contact(state))


def describe_contact(state: SteeringState) -> ContactState:
    """Return what this VM knows about the age of its routes."""
    bounds = state.settings.bounds
    silence = measure_silence(state)
    limit = bounds.revocation_limit
    return ContactState(
        state.announced_version > state.catalogue_version,
        silence is not None and silence <= bounds.contact_window,
        limit is None or (silence is not None and silence <= limit),
    )


def measure_silence(state: SteeringState) -> timedelta | None:
    """Return the time since a control VM last confirmed the newest catalogue, None if none did."""
    if state.confirmed_at is None:
        return None
    return state.clock.monotonic() - state.confirmed_at


def deny(state: SteeringState, call: SteeredCall, route: str, fault: KeyFault) -> Denied:
    """Count and log a refused key, without the key, and return the refusal."""
    silence = measure_silence(state)
    state.metrics.key_refusals[(fault.value,)] += 1
    state.log.write(
        Event.KEY_REFUSED,
        request=call.request_id,
        route=route,
        reason=fault.value,
        revision=state.table.revision,
        contact_age_ms=None if silence is None else silence // MILLISECOND,
    )
    return refuse_key(fault)
