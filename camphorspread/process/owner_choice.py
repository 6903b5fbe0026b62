"""Chooses the entry VM that a backend server announces an endpoint to, with failover."""

from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.endpoints import ENDPOINT_LEASE, FAILOVER_MARGIN, HandoverToken

__all__ = ["AnnounceResponse", "OwnerChoice", "OwnerTarget", "apply_response", "record_no_response"]

FAILOVER_AFTER = ENDPOINT_LEASE + FAILOVER_MARGIN


@attrs.frozen
class OwnerTarget:
    """An entry VM that may own the endpoint; its name is empty while unknown."""

    vm: str
    address: Address


@attrs.frozen
class AnnounceResponse:
    """Response of an entry VM to an announcement.

    Attributes:
        accepted_by: `VM/incarnation` of the VM that accepted, or empty after a redirect.
        owners: Candidate owners, the preferred one first.
        token: Handover token if the responding VM released the endpoint.
    """

    accepted_by: str
    owners: tuple[OwnerTarget, ...]
    token: HandoverToken | None = None


@attrs.define(eq=False)
class OwnerChoice:
    """Announcement state of an endpoint.

    Attributes:
        targets: Candidate owners, the preferred one first.
        position: Index of the target to announce to.
        last_contact: When an entry VM last responded.
        former_owner: `VM/incarnation` that last accepted, or may have while its response was lost.
        failed_owners: VMs that haven't responded since then.
        token: Handover token for the next owner.
    """

    targets: tuple[OwnerTarget, ...]
    last_contact: timedelta
    position: int = 0
    former_owner: str = ""
    failed_owners: tuple[str, ...] = ()
    token: HandoverToken | None = None

    @property
    def current(self) -> OwnerTarget:
        """The entry VM to announce to."""
        return self.targets[self.position]


def apply_response(choice: OwnerChoice, response: AnnounceResponse, now: timedelta) -> bool:
    """Apply a response; return True if another entry VM must be announced to now."""
    choice.last_contact = now
    answering = choice.current
    if response.owners:
        choice.targets = response.owners
        choice.position = 0
    if response.accepted_by:
        choice.former_owner = response.accepted_by
        choice.failed_owners = ()
        choice.token = None
        return False
    choice.token = response.token or choice.token
    return choice.current != answering


def record_no_response(choice: OwnerChoice, now: timedelta) -> bool:
    """Handle an announcement without a response; return True to try the next owner now.

    The silent VM may have accepted the announcement and may be sending requests. So it counts as a
    former owner, and the token of the previous owner is void.
    """
    if now - choice.last_contact < FAILOVER_AFTER or len(choice.targets) == 1:
        return False
    silent = choice.current.vm
    choice.former_owner = choice.former_owner or f"{silent}/"
    choice.token = None
    if silent not in choice.failed_owners:
        choice.failed_owners = (*choice.failed_owners, silent)
    choice.position = (choice.position + 1) % len(choice.targets)
    return True
