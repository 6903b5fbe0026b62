"""Puts a catalogue version in force at an entry VM."""

from typing import Any

from camphorspread.process.events import Event
from camphorspread.process.instances import mark_zone_cold
from camphorspread.process.quota_renewal import update_limits
from camphorspread.process.steering_state import SteeringState
from camphorspread.version.routing import RouteTable

__all__ = ["put_in_force"]


def put_in_force(
    state: SteeringState,
    version: int,
    table: RouteTable | None,
    document: str,
    evacuated: frozenset[str],
    **transfer: Any,
) -> None:
    """Put a newer catalogue version in force; it never decreases within this process.

    Args:
        state: State of the entry VM.
        version: Version of the catalogue.
        table: Its routes; None before the first ones.
        document: Identity of the document of these routes, empty if it isn't known.
        evacuated: Evacuated availability zones.
        transfer: Fields of the log line on how it arrived.
    """
    for zone in state.board.evacuated_zones - evacuated:
        # Its backend servers may have become cold meanwhile without having reported it yet.
        mark_zone_cold(state.board.registry, zone)
    state.board.evacuated_zones = evacuated
    state.catalogue_version = version
    state.transfer = None
    if table is not None:
        state.table, state.document = table, document
        state.board.has_organisations = bool(table.organisations)
        update_limits(state)
        bounds = state.settings.bounds
        state.board.cold_rate_limits = {
            name: service.cold_per_second * bounds.cold_rate_factor + bounds.cold_rate_slack
            for name, service in table.services.items()
        }
    state.log.write(
        Event.CATALOGUE_IN_FORCE,
        version=version,
        revision=table.revision if table else 0,
        evacuated=sorted(evacuated),
        **transfer,
    )
    state.wake_polls()
