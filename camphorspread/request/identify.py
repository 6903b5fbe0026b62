"""Decides which organisation a request belongs to, on arrival and again before each send.

A VM whose routes may be outdated neither calls a key unknown nor denies a route.
"""

import enum

import attrs

from camphorspread.request.dialect import (
    Credential,
    KeyCredential,
    MalformedCredential,
    NoCredential,
)
from camphorspread.version.organisations import Organisation
from camphorspread.version.routing import Route, RouteTable

__all__ = [
    "ContactState",
    "ForwardedCaller",
    "Identified",
    "Identity",
    "KeyFault",
    "KeyHolder",
    "KeylessCaller",
    "RouteFault",
    "Unidentified",
    "UnidentifiedCaller",
    "combine_home_regions",
    "explain_missing_route",
    "find_identity_fault",
    "identify",
]


class KeyFault(enum.Enum):
    """Why a request isn't served for any organisation."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"
    # The key, or the whole organisation, was withdrawn while the request waited.
    WITHDRAWN = "withdrawn"
    # The key belongs to another organisation now, or keys became necessary.
    REASSIGNED = "reassigned"
    OUTDATED_ROUTES = "outdated_routes"
    NO_CONTACT = "no_contact"

    @property
    def is_certain(self) -> bool:
        """True if the key is known to be wrong, False if the caller should try again."""
        return self in CERTAIN_FAULTS


CERTAIN_FAULTS = frozenset(
    {KeyFault.MISSING, KeyFault.MALFORMED, KeyFault.UNKNOWN, KeyFault.WITHDRAWN}
)


class RouteFault(enum.Enum):
    """Why a VM has no route for a request."""

    UNKNOWN = "unknown"
    OUTDATED_ROUTES = "outdated_routes"
    NO_CONTACT = "no_contact"


@attrs.frozen
class ContactState:
    """What a VM knows about the age of its routes.

    Attributes:
        is_behind: True if a control VM has announced a newer catalogue.
        has_contact: True if a control VM that knows the newest catalogue responded recently.
        accepts_keys: False if no such control VM has responded within the limit of strict
            revocation.
    """

    is_behind: bool = False
    has_contact: bool = True
    accepts_keys: bool = True


@attrs.frozen
class Identified:
    """The request is served; for an organisation, or for none on a public route."""

    organisation: Organisation | None


@attrs.frozen
class Unidentified:
    """The request isn't served."""

    fault: KeyFault


@attrs.frozen
class UnidentifiedCaller:
    """The request arrived when no organisations were configured."""


@attrs.frozen
class KeylessCaller:
    """The request arrived on a public route without a known key."""


@attrs.frozen
class KeyHolder:
    """The request arrived with a key of an organisation; the key is left out of the text form."""

    key: str = attrs.field(repr=False)
    organisation: str


@attrs.frozen
class ForwardedCaller:
    """Another VM, which checked the key, forwarded the request for an organisation.

    Attributes:
        organisation: Name of the organisation.
        revision: Revision of the routes of the VM that checked the key.
        known: The organisation at this VM when the request arrived, None if it didn't know it.
    """

    organisation: str
    revision: int
    known: Organisation | None = None


Identity = UnidentifiedCaller | KeylessCaller | KeyHolder | ForwardedCaller


def identify(
    table: RouteTable, route: Route, credential: Credential, contact: ContactState
) -> Identified | Unidentified:
    """Decide which organisation an arriving request belongs to.

    A public route needs no key: a request with an unknown or malformed one is served like one
    without any.
    """
    if not table.organisations:
        return Identified(None)
    match credential:
        case KeyCredential(key=key):
            found = table.organisations.find_by_key(key) if contact.accepts_keys else None
            if found is not None or route.is_public:
                return Identified(found)
            return Unidentified(explain_unknown_key(contact))
        case NoCredential() | MalformedCredential() if route.is_public:
            return Identified(None)
        case NoCredential():
            return Unidentified(KeyFault.MISSING)
        case MalformedCredential():
            return Unidentified(KeyFault.MALFORMED)


def explain_unknown_key(contact: ContactState) -> KeyFault:
    """Return why a key isn't accepted: it may have been added to routes that haven't arrived."""
    match contact:
        case ContactState(accepts_keys=False) | ContactState(has_contact=False):
            return KeyFault.NO_CONTACT
        case ContactState(is_behind=True):
            return KeyFault.OUTDATED_ROUTES
        case _:
            return KeyFault.UNKNOWN


def explain_missing_route(contact: ContactState) -> RouteFault:
    """Return why no route has the host and path of a request: it may have been added since."""
    match contact:
        case ContactState(is_behind=True):
            return RouteFault.OUTDATED_ROUTES
        case ContactState(has_contact=False):
            return RouteFault.NO_CONTACT
        case _:
            return RouteFault.UNKNOWN


def find_identity_fault(
    identity: Identity, table: RouteTable, contact: ContactState
) -> KeyFault | None:
    """Return why a request that was accepted on arrival may not be sent any more, None if it may.

    Args:
        identity: For whom it was accepted.
        table: The newest routes of this VM.
        contact: What this VM knows about their age.
    """
    match identity:
        case KeylessCaller():
            return None
        case UnidentifiedCaller():
            # Its key was neither checked nor removed from the head.
            return KeyFault.REASSIGNED if table.organisations else None
        case KeyHolder(key=key, organisation=name):
            if not table.organisations:
                return KeyFault.REASSIGNED
            if not contact.accepts_keys:
                return KeyFault.NO_CONTACT
            found = table.organisations.find_by_key(key)
            if found is None:
                return KeyFault.WITHDRAWN
            return None if found.name == name else KeyFault.REASSIGNED
        case ForwardedCaller():
            return find_forwarded_fault(identity, table)


def find_forwarded_fault(identity: ForwardedCaller, table: RouteTable) -> KeyFault | None:
    """Return why a forwarded request may not be sent, None if it may.

    Only the VM that forwarded it has the key. Routes that are older than those against which the
    key was checked prove nothing: the organisation may have been added since, and refusing it would
    fail requests after each such change.
    """
    if not table.organisations or table.revision < identity.revision:
        return None
    found = table.organisations.by_name.get(identity.organisation)
    if found is None:
        return KeyFault.WITHDRAWN
    if identity.known is None or found is identity.known:
        return None
    # A key was withdrawn or exchanged while the request waited here. Whether it was the key of this
    # request is for the other VM to find out before it sends the request again.
    return None if set(identity.known.keys) <= set(found.keys) else KeyFault.REASSIGNED


def combine_home_regions(route: Route, organisation: Organisation | None) -> tuple[str, ...] | None:
    """Return the regions in which a request may run: empty for all, None if there is none."""
    own = organisation.home_regions if organisation else ()
    if not own or not route.home_regions:
        return own or route.home_regions
    return tuple(item for item in route.home_regions if item in own) or None
