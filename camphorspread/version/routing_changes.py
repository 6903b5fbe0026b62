"""The difference between two route tables, whose size follows the change and not the table."""

from collections.abc import Callable, Hashable, Iterable

import attrs

from camphorspread.version.organisations import Organisation, OrganisationTable
from camphorspread.version.routing import CallerLimits, Route, RouteTable, SteeredService

__all__ = ["RoutingChanges", "apply_routing_changes", "diff_tables"]


@attrs.frozen
class RoutingChanges:
    """What makes one route table out of another one.

    Attributes:
        base: Identity of the document whose table it applies to, empty for no table.
        document: Identity of the document whose table is the result.
        revision: Revision of the result.
        limits: Limits for callers of the result.
        routes: Routes that are new or differ.
        removed_routes: Host and path prefix of each route that is gone.
        services: Services that are new or differ.
        removed_services: Names of the services that are gone.
        organisations: Organisations that are new or differ.
        removed_organisations: Names of the organisations that are gone.
    """

    base: str
    document: str
    revision: int
    limits: CallerLimits
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[tuple[str, str], ...] = ()
    services: tuple[SteeredService, ...] = ()
    removed_services: tuple[str, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    removed_organisations: tuple[str, ...] = ()


def diff_tables(
    base: RouteTable | None, table: RouteTable, base_document: str, document: str
) -> RoutingChanges:
    """Return what makes `table` out of `base`.

    Args:
        base: The older table, None for none.
        table: The newer table.
        base_document: Identity of the document of the older table.
        document: Identity of the document of the newer table.
    """
    routes, removed_routes = diff_entries(base.routes if base else (), table.routes, route_key)
    services, removed_services = diff_entries(
        base.services.values() if base else (), table.services.values(), entry_name
    )
    organisations, removed_organisations = diff_entries(
        base.organisations.organisations if base else (),
        table.organisations.organisations,
        entry_name,
    )
    return RoutingChanges(
        base_document,
        document,
        table.revision,
        table.limits,
        routes,
        removed_routes,
        services,
        removed_services,
        organisations,
        removed_organisations,
    )


def apply_routing_changes(base: RouteTable | None, changes: RoutingChanges) -> RouteTable:
    """Return the table that results from changes; unchanged entries are shared with the base.

    The caller checks that `base` is the table of the document `changes.base`.
    """
    services = merge_entries(
        base.services.values() if base else (),
        changes.services,
        changes.removed_services,
        entry_name,
    )
    return RouteTable(
        changes.revision,
        merge_entries(
            base.routes if base else (), changes.routes, changes.removed_routes, route_key
        ),
        {item.name: item for item in services},
        changes.limits,
        OrganisationTable(
            merge_entries(
                base.organisations.organisations if base else (),
                changes.organisations,
                changes.removed_organisations,
                entry_name,
            )
        ),
    )


def route_key(route: Route) -> tuple[str, str]:
    """Return the host and path prefix of a route, which no other route of its table has."""
    return route.host.lower(), route.path_prefix


def entry_name(entry: SteeredService | Organisation) -> str:
    """Return the name of a service or an organisation."""
    return entry.name


def diff_entries(old: Iterable, new: Iterable, key: Callable[..., Hashable]) -> tuple[tuple, tuple]:
    """Return the entries that are new or differ, and the keys of those that are gone."""
    known = {key(entry): entry for entry in old}
    kept = {key(entry) for entry in new}
    changed = tuple(entry for entry in new if known.get(key(entry)) != entry)
    return changed, tuple(item for item in known if item not in kept)


def merge_entries(
    old: Iterable, changed: Iterable, removed: Iterable, key: Callable[..., Hashable]
) -> tuple:
    """Return the old entries without the removed ones, and with the changed ones."""
    entries = {key(entry): entry for entry in old}
    for item in removed:
        entries.pop(item, None)
    entries.update((key(entry), entry) for entry in changed)
    return tuple(entries.values())
