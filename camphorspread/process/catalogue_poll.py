"""Keeps the catalogue of an entry process up to date by polling a control process."""

import asyncio
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.version.codec import decode_catalogue

__all__ = ["poll_catalogue"]

POLL_LIMIT = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(milliseconds=200)


async def poll_catalogue(state: EntryState) -> None:
    """Poll the control processes in turn until cancelled."""
    position = 0
    while True:
        replica = state.settings.replicas[position % len(state.settings.replicas)]
        version = state.catalogue.version if state.catalogue else -1
        message = {"vm": state.settings.place.vm, "version": version}
        try:
            response = await state.link.call(
                replica.peers, "POST", "/v1/catalogue/poll", message, POLL_LIMIT
            )
        except LinkError as exc:
            state.log.write(Event.CATALOGUE_POLL_FAILED, replica=replica.vm, cause=str(exc))
            position += 1
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            continue
        take_response(state, response.value)


def take_response(state: EntryState, value: object) -> None:
    """Put a newer catalogue in force."""
    if not isinstance(value, dict) or value.get("catalogue") is None:
        return
    catalogue = decode_catalogue(value["catalogue"])
    if state.catalogue is None or catalogue.version > state.catalogue.version:
        state.catalogue = catalogue
        state.log.write(Event.CATALOGUE_IN_FORCE, version=catalogue.version)
