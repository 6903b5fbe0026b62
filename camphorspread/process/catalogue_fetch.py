"""Fetches newer catalogues from control VMs, one part from one of them at a time.

A slow link couldn't carry copies from several control VMs at once. What has arrived is kept when a
control VM fails: another one sends the rest.
"""

import asyncio
import contextlib
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.process.catalogue_transfer import (
    CATALOGUE_PATH,
    PartRequest,
    Transfer,
    add_part,
    decode_part,
    encode_part_request,
    is_intact,
)
from camphorspread.process.events import Event
from camphorspread.process.routes_in_force import put_in_force
from camphorspread.process.steering_state import ControlVm, SteeringState
from camphorspread.version.catalogue_update import decode_update
from camphorspread.version.routing_changes import apply_routing_changes

__all__ = ["CONFIRM_WAIT", "choose_source", "fetch_catalogues", "find_nearest", "is_behind"]

# Longer than a round trip between regions, within which the nearest control VM hears of a change
# that another one has announced.
NEAREST_WAIT = timedelta(milliseconds=250)
# Polls wait for an announced catalogue, so that the next one confirms it.
CONFIRM_WAIT = timedelta(milliseconds=250)
# A control VM of which no byte arrives within this time is left for another one. The time doubles
# with each failure in a row, since bytes of callers' requests may be ahead on a slow link.
STALL_LIMIT = timedelta(milliseconds=700)
MAX_STALL_LIMIT = timedelta(milliseconds=2800)
PART_TIMEOUT = timedelta(seconds=5)
# While another one has the catalogue, a control VM that failed isn't asked for this time.
AVOIDANCE_TIME = timedelta(seconds=2)
RETRY_INTERVAL = timedelta(milliseconds=100)
# A control VM that responded to a poll within this time may be the source of the catalogue.
SOURCE_TTL = timedelta(seconds=3)

MILLISECOND = timedelta(milliseconds=1)


def is_behind(state: SteeringState) -> bool:
    """Return True if a control VM has announced a newer catalogue than this VM has."""
    return state.announced_version > state.catalogue_version


def find_nearest(state: SteeringState, now: timedelta) -> ControlVm | None:
    """Return the nearest control VM that responded recently, None if none did."""
    return min(list_reachable(state, now), key=distance, default=None)


def choose_source(state: SteeringState, now: timedelta) -> ControlVm | None:
    """Return the control VM that is asked for the next part, None to wait.

    It is the nearest one that has a newer catalogue and hasn't failed just now, or else the one
    whose failure is longest ago. For a short time after the announcement, it is worth waiting for
    the nearest one of all.
    """
    reachable = list_reachable(state, now) or state.controls.values()
    sources = [item for item in reachable if item.catalogue_version > state.catalogue_version]
    is_recent = now - state.announced_at < NEAREST_WAIT
    if state.catalogue_version and is_recent and find_nearest(state, now) not in sources:
        return None
    return min(
        sources,
        key=lambda item: (max(item.avoided_until - now, timedelta(0)), distance(item)),
        default=None,
    )


def list_reachable(state: SteeringState, now: timedelta) -> list[ControlVm]:
    """Return the control VMs that responded recently."""
    return [
        item
        for item in state.controls.values()
        if item.last_response_at is not None and now - item.last_response_at < SOURCE_TTL
    ]


def distance(control: ControlVm) -> tuple[timedelta, str]:
    """Return the order of a control VM, the nearest first."""
    return control.round_trip or timedelta.max, str(control.peers)


async def fetch_catalogues(state: SteeringState) -> None:
    """Fetch each newer catalogue that is announced, until cancelled."""
    while True:
        while not is_behind(state):
            await state.announced.wait()
        source = choose_source(state, state.clock.monotonic())
        if source is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RETRY_INTERVAL.total_seconds()):
                    await state.announced.wait()
            continue
        announced_at, version = state.announced_at, state.catalogue_version
        if not await fetch_part(state, source):
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            continue
        is_late = state.clock.monotonic() - announced_at >= CONFIRM_WAIT
        if state.catalogue_version > version and is_late:
            state.confirmation_due.set()


async def fetch_part(state: SteeringState, source: ControlVm) -> bool:
    """Fetch the next part of the update from a control VM, and apply the update once complete.

    Returns:
        False if that failed.
    """
    transfer = state.transfer
    request = PartRequest(
        state.catalogue_version,
        state.document,
        transfer.digest if transfer else "",
        len(transfer.data) if transfer else 0,
    )
    requested_at = state.clock.monotonic()
    try:
        response = await state.link.call(
            source.peers,
            "POST",
            CATALOGUE_PATH,
            encode_part_request(request),
            PART_TIMEOUT,
            min(STALL_LIMIT * 2**state.failed_parts, MAX_STALL_LIMIT),
        )
        if response.status != 200:
            # It can't send updates, and is asked again once it states a version again.
            source.catalogue_version = state.catalogue_version
            raise ValueError(f"status {response.status}")
        part = decode_part(response.value)
    except (LinkError, ValueError) as exc:
        avoid_source(state, source, str(exc))
        return False
    state.failed_parts = 0
    if part is None or part.version <= state.catalogue_version:
        source.catalogue_version = min(source.catalogue_version, state.catalogue_version)
        return False
    state.transfer = add_part(transfer, part, requested_at)
    if state.transfer.is_complete:
        transfer, state.transfer = state.transfer, None
        try:
            apply_transfer(state, transfer)
        except ValueError as exc:
            avoid_source(state, source, str(exc))
            return False
    return True


def avoid_source(state: SteeringState, source: ControlVm, cause: str) -> None:
    """Leave a control VM for another one; what has arrived is kept."""
    source.avoided_until = state.clock.monotonic() + AVOIDANCE_TIME
    state.failed_parts += 1
    state.metrics.transfers[("failed",)] += 1
    state.log.write(
        Event.TRANSFER_FAILED,
        control=str(source.peers),
        cause=cause,
        received=len(state.transfer.data) if state.transfer else 0,
        size=state.transfer.size if state.transfer else None,
    )


def apply_transfer(state: SteeringState, transfer: Transfer) -> None:
    """Put the catalogue of a complete transfer in force.

    Raises:
        ValueError: The update is damaged, or is based on routes that this VM doesn't have.
    """
    if not is_intact(transfer):
        raise ValueError("the update doesn't match its digest")
    update = decode_update(bytes(transfer.data))
    table, document = state.table, state.document
    match update.routing:
        case None:
            pass
        case changes if changes.base in ("", state.document):
            table = apply_routing_changes(state.table if changes.base else None, changes)
            document = changes.document
        case changes:
            raise ValueError(f"the update is based on {changes.base}, not on {state.document}")
    if state.table is not None and table.revision < state.table.revision:
        raise ValueError(f"revision {table.revision} is older than {state.table.revision}")
    state.metrics.transfers[("complete",)] += 1
    state.metrics.transfer_bytes[()] += transfer.size
    took = state.clock.monotonic() - transfer.started_at
    put_in_force(
        state,
        update.version,
        table,
        document,
        frozenset(update.evacuated_zones),
        size=transfer.size,
        took_ms=took // MILLISECOND,
    )
