"""Organisations whose requests are identified by a key, and their limits."""

from collections import Counter
from functools import cached_property

import attrs

__all__ = ["Organisation", "OrganisationTable", "list_organisation_errors"]


@attrs.frozen
class Organisation:
    """A customer whose callers identify themselves by a key.

    Attributes:
        name: Name of the organisation, which backend servers see instead of the key.
        keys: Keys of its callers; left out of the text form, so that no log or error contains one.
        rank: Priority under overload; 0 is the highest.
        rate: Requests per second of all VMs together; 0 for no limit.
        burst: Requests on top of the rate.
        home_regions: Regions in which its requests may run; empty for all.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    rank: int = 0
    rate: float = 0.0
    burst: float = 0.0
    home_regions: tuple[str, ...] = ()

    @property
    def is_limited(self) -> bool:
        """True if its request rate is limited."""
        return self.rate > 0


@attrs.frozen(slots=False)
class OrganisationTable:
    """All organisations at one revision; without any, requests need no key."""

    organisations: tuple[Organisation, ...] = ()

    def __bool__(self) -> bool:
        """Return True if requests need a key."""
        return bool(self.organisations)

    @cached_property
    def by_key(self) -> dict[str, Organisation]:
        """Organisations by key."""
        return {key: item for item in self.organisations for key in item.keys}

    @cached_property
    def by_name(self) -> dict[str, Organisation]:
        """Organisations by name."""
        return {item.name: item for item in self.organisations}

    def find_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self.by_key.get(key)


def list_organisation_errors(table: OrganisationTable) -> list[str]:
    """Return the errors that make the organisations invalid; no message contains a key."""
    faults = []
    holders: dict[str, str] = {}
    for name, count in Counter(item.name for item in table.organisations).items():
        if count > 1:
            faults.append(f"organisation {name} is listed {count} times")
    for item in table.organisations:
        for key in item.keys:
            holder = holders.setdefault(key, item.name)
            if holder != item.name:
                faults.append(f"organisations {holder} and {item.name} share a key")
    return faults
