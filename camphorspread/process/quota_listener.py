"""Answers the renewals of entry VMs' shares at a control VM."""

from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.network import Address
from camphorspread.process.events import Event
from camphorspread.process.quota_allocator import (
    begin_term,
    observe_limits,
    renew_quotas,
)
from camphorspread.process.quota_codec import (
    decode_quota_request,
    encode_grants,
    encode_leader,
)
from camphorspread.process.steering_control import SteeringControl
from camphorspread.process.update_store import find_table
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["serve_quota"]


async def serve_quota(steering: SteeringControl, exchange: Exchange) -> None:
    """Serve `POST /v1/vm/quota`: grant shares as the leader, or name the leader."""
    metrics = steering.control.metrics
    try:
        request = decode_quota_request(await exchange.read_json())
    except ValueError as exc:
        metrics.quota_renewals[("malformed",)] += 1
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    now = steering.control.clock.monotonic()
    view = steering.control.view
    # The limits of earlier leaders hold until this one knows the newest configuration.
    if not view.is_leader or view.lease_end <= now or not view.has_own_term_entry:
        metrics.quota_renewals[("leader",)] += 1
        await exchange.respond_json(200, encode_leader(find_leader(steering)))
        return
    read_limits(steering)
    if steering.quotas.term != view.term:
        begin_term(steering.quotas, view.term, list_heard(steering), now)
    grants = renew_quotas(steering.quotas, request, now)
    metrics.quota_renewals[("stale" if grants is None else "granted",)] += 1
    value = (
        {} if grants is None else encode_grants(request.number, steering.quotas.revision, grants)
    )
    await exchange.respond_json(200, value)


def find_leader(steering: SteeringControl) -> Address | None:
    """Return where the leader listens for other processes, None if it isn't known."""
    view = steering.control.view
    if view.is_leader:
        return None
    members = steering.shell.state.members
    return next((item.peers for item in members if item.vm == view.leader), None)


def read_limits(steering: SteeringControl) -> None:
    """Use the limits of the newest configuration."""
    document = steering.control.catalogue.routing
    if document is None or document.revision == steering.quotas.revision:
        return
    try:
        table = find_table(steering.updates, document)
    except ValueError as exc:
        # It was valid where it was accepted, so that this program is older than that one.
        steering.quotas.revision = document.revision
        steering.control.log.write(Event.DOCUMENT_REFUSED, cause=str(exc))
        return
    observe_limits(steering.quotas, table.organisations, document.revision)


def list_heard(steering: SteeringControl) -> dict[str, timedelta]:
    """Return when each entry VM last polled, without those that have stopped as planned."""
    return {
        name: item.last_poll_at
        for name, item in steering.vms.items()
        if item.is_alive or not item.record.is_leaving
    }
