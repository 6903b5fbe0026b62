"""Exchanges load summaries and lists of lent backend servers between entry VMs.

Each summary contains a timestamp of its sender, which the next summary in the other direction
echoes. So a VM knows an upper bound on the age of the other one's statements without comparing
clocks.
"""

import asyncio
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import LinkError
from camphorspread.process.announcement_codec import decode_report, encode_report
from camphorspread.process.entry_vms import EntryVm, ServiceLoad
from camphorspread.process.loans import (
    extend_loans,
    loan_duration,
    replace_loans,
    update_lent_list,
)
from camphorspread.process.reported_load import measure_loads, measure_owned_loads
from camphorspread.process.steering_state import SteeringState
from camphorspread.process.summary_partners import choose_partners, is_large_region
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.peer_placement import SUMMARY_TTL

__all__ = [
    "desired_interval",
    "exchange_summaries",
    "read_round_trip",
    "record_round_trip",
    "same_region_interval",
    "serve_summary",
]

SUMMARY_PATH = "/v1/entry/summary"
MILLISECOND = timedelta(milliseconds=1)
CHECK_INTERVAL = timedelta(milliseconds=50)
# Traffic between regions is charged for, and shifts between regions are slow by design.
SAME_REGION_INTERVAL = timedelta(milliseconds=250)
OTHER_REGION_INTERVAL = timedelta(milliseconds=800)
# With many VMs the interval grows, so that the messages of a VM use a bounded part of a slow link:
# about 17 per second within its region and 8 to others. Two intervals are shorter than a loan by
# this slack, as a VM that only responds learns of a contact one interval later.
SAME_REGION_STEP = timedelta(milliseconds=60)
OTHER_REGION_STEP = timedelta(milliseconds=120)
LOAN_SLACK = timedelta(milliseconds=200)
SUMMARY_TIMEOUT = timedelta(milliseconds=1000)
ROUND_TRIP_WEIGHT = 0.3
ROUND_TRIP_FIELD = "round_trip_ms"


def encode_summary(state: SteeringState, peer: EntryVm | None, now: timedelta) -> dict:
    """Return the JSON form of the summary of this VM for another one.

    For VMs of the same region it includes the list of lent servers unless they hold the newest one,
    a timestamp (`stamp`), the newest timestamp of the other VM (`echo`), the version of the list
    (`tag`) and the version of the other VM's list that this VM holds (`held`). The VM that begins
    the exchanges also states the round-trip time (`round_trip_ms`), which the other one can't
    measure.
    """
    is_same_region = peer is not None and peer.region == state.board.region
    if not is_same_region:
        loads = measure_loads(state.board, state.waiting, state.region_loads, now)
    elif state.board.is_large_region:
        # All its warm servers are lent, and forwarding to cold ones isn't possible.
        loads = {}
    else:
        loads = measure_owned_loads(state.board, state.waiting, now)
    value = {
        "vm": state.settings.place.vm,
        "loads": {
            service: [load.free, load.slots, load.queued, round(load.mean_run_s, 3)]
            for service, load in loads.items()
        },
    }
    if peer is not None and peer.is_round_trip_measured:
        value[ROUND_TRIP_FIELD] = round(peer.round_trip_s * 1000, 1)
    if not is_same_region:
        return value
    value |= {
        "stamp": encode_timestamp(state, now),
        "echo": peer.peer_timestamp,
        "held": peer.peer_list_version,
    }
    if state.is_leaving:
        # Without a list the loans aren't extended. They expire while the next owners take over.
        return value
    update_lent_list(state.lent_instances, state.board.registry, state.board.evacuated_zones, now)
    value["tag"] = tag = f"{state.incarnation:x}.{state.lent_instances.number}"
    if peer.own_list_version != tag:
        value["lent"] = [encode_report(report) for report in state.lent_instances.reports]
    return value


def encode_timestamp(state: SteeringState, now: timedelta) -> str:
    """Encode an instant of this process as a timestamp that other VMs echo."""
    return f"{state.incarnation:x}.{now // MILLISECOND}"


def decode_timestamp(state: SteeringState, echo: object, now: timedelta) -> timedelta | None:
    """Decode an echoed timestamp; return None if it isn't from this process."""
    incarnation, _, number = str(echo).partition(".")
    if incarnation != f"{state.incarnation:x}" or not number.isdigit():
        return None
    instant = int(number) * MILLISECOND
    return instant if instant <= now else None


def apply_lent_list(state: SteeringState, peer: EntryVm, value: dict, now: timedelta) -> None:
    """Apply the list of servers that another VM lends.

    Raises:
        ValueError: The list isn't valid.
    """
    peer.peer_timestamp = str(value.get("stamp", ""))
    peer.own_list_version = str(value.get("held", ""))
    contact = decode_timestamp(state, value.get("echo", ""), now)
    if contact is None:
        return
    registry = state.board.registry
    until = contact + loan_duration(
        state.settings.bounds.drain_limit, desired_interval(state.board.sharers)
    )
    tag = str(value.get("tag", ""))
    lent = value.get("lent")
    if isinstance(lent, list):
        replace_loans(registry, peer.vm, [decode_report(item) for item in lent], until, now)
        peer.peer_list_version, peer.peer_list_length = tag, len(lent)
    elif (
        tag
        and tag == peer.peer_list_version
        and extend_loans(registry, peer.vm, until) < peer.peer_list_length
    ):
        # Some have expired here, or this VM still owned them: request the complete list again.
        peer.peer_list_version = ""


def apply_vm_summary(state: SteeringState, value: object, now: timedelta) -> EntryVm | None:
    """Apply another VM's summary; return None if it is invalid or from an unknown VM."""
    match value:
        case {"vm": str(name), "loads": dict(loads)}:
            peer = state.board.peers.get(name)
        case _:
            return None
    if peer is None:
        return None
    try:
        if peer.region == state.board.region:
            apply_lent_list(state, peer, value, now)
        peer.loads = {
            service: ServiceLoad(int(free), int(slots), int(queued), float(mean))
            for service, (free, slots, queued, mean) in loads.items()
        }
        stated = read_round_trip(value)
    except (TypeError, ValueError):
        return None
    if stated is not None and not peer.is_round_trip_measured:
        peer.round_trip_s = stated
    peer.summary_at = now
    return peer


def read_round_trip(value: dict) -> float | None:
    """Return the stated round-trip time in seconds, None without one or if it is out of range.

    Raises:
        TypeError, ValueError: It isn't a number.
    """
    stated_s = float(value.get(ROUND_TRIP_FIELD, 0.0)) / 1000
    return stated_s if 0.0 < stated_s <= SUMMARY_TIMEOUT.total_seconds() else None


async def serve_summary(state: SteeringState, exchange: Exchange) -> None:
    """Apply another VM's summary and respond with the summary of this one."""
    value = await exchange.read_json()
    now = state.clock.monotonic()
    if not isinstance(value, dict) or "loads" not in value:
        message = "a summary needs vm and loads"
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    peer = apply_vm_summary(state, value, now)
    await exchange.respond_json(200, encode_summary(state, peer, now))


async def exchange_summaries(state: SteeringState) -> None:
    """Exchange summaries with other entry VMs, until cancelled.

    Of two VMs one sends, and its summary and the response serve both.
    """
    due: dict[str, timedelta] = {}
    alive: frozenset[str] = frozenset()
    partners: frozenset[str] = frozenset()
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            now = state.clock.monotonic()
            peers = state.board.peers
            newly_alive = frozenset(name for name, peer in peers.items() if now < peer.alive_until)
            if newly_alive != alive:
                alive = newly_alive
                partners = update_partners(state, alive)
            for name in partners:
                if now < due.get(name, now):
                    continue
                peer = peers[name]
                due[name] = now + summary_interval(state, peer, now)
                task = asyncio.create_task(exchange_summary(state, peer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
    finally:
        for task in tasks:
            task.cancel()


def update_partners(state: SteeringState, alive: frozenset[str]) -> frozenset[str]:
    """Update the size of the region; return the VMs with which this VM begins exchanges."""
    board, place = state.board, state.settings.place
    regions = {name: peer.region for name, peer in board.peers.items()} | {place.vm: place.region}
    board.is_large_region = is_large_region(regions, board.region)
    board.sharers = 1 + sum(regions[name] == board.region for name in alive)
    return choose_partners(place.vm, regions, alive)


def summary_interval(state: SteeringState, peer: EntryVm, now: timedelta) -> timedelta:
    """Return the time between two summaries to another VM."""
    board = state.board
    if peer.region == board.region:
        return same_region_interval(board.sharers, state.settings.bounds.drain_limit)
    others = sum(
        other.summary_at is not None
        and now - other.summary_at <= SUMMARY_TTL
        and other.region != board.region
        for other in board.peers.values()
    )
    return min(max(OTHER_REGION_INTERVAL, OTHER_REGION_STEP * others), SUMMARY_TTL / 2)


def same_region_interval(sharers: int, drain_limit: timedelta) -> timedelta:
    """Return the time between two summaries within a region, which must keep loans alive.

    Args:
        sharers: Number of entry VMs of the region.
        drain_limit: Time after a confirmed departure by which requests to the server must stop.
    """
    desired = desired_interval(sharers)
    return min(desired, (loan_duration(drain_limit, desired) - LOAN_SLACK) / 2)


def desired_interval(sharers: int) -> timedelta:
    """Return the time between two summaries within a region that bounds the number of messages.

    Args:
        sharers: Number of entry VMs of the region.
    """
    return max(SAME_REGION_INTERVAL, SAME_REGION_STEP * (sharers - 1))


async def exchange_summary(state: SteeringState, peer: EntryVm) -> None:
    """Exchange one summary with another VM; a failed exchange isn't repeated."""
    sent = state.clock.monotonic()
    try:
        response = await state.link.call(
            peer.peers, "POST", SUMMARY_PATH, encode_summary(state, peer, sent), SUMMARY_TIMEOUT
        )
    except LinkError:
        # Placement excludes an unresponsive VM once its last summary is older than SUMMARY_TTL.
        return
    now = state.clock.monotonic()
    if response.status != 200 or apply_vm_summary(state, response.value, now) is None:
        return
    record_round_trip(peer, (now - sent).total_seconds())


def record_round_trip(peer: EntryVm, measured_s: float) -> None:
    """Add a measurement to the moving average; the first one replaces a stated value."""
    if peer.is_round_trip_measured:
        peer.round_trip_s += (measured_s - peer.round_trip_s) * ROUND_TRIP_WEIGHT
    else:
        peer.round_trip_s, peer.is_round_trip_measured = measured_s, True
