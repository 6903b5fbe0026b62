"""Entry VMs tell each other how much room their backend servers have, and lend them.

Each summary brings an instant of its sender, which the next one in the other direction returns. So
the receiver knows how old the other VM's statements are at most, without comparing clocks.
"""

import asyncio
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import LinkError
from camphorspread.process.announcement_codec import decode_report, encode_report
from camphorspread.process.entry_vms import EntryVm, ServiceLoad
from camphorspread.process.loans import (
    extend_loans,
    list_lent,
    loan_time,
    take_loans,
)
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.placement import SUMMARY_TTL
from camphorspread.request.placement_board import PlacementBoard, usable_instances

__all__ = ["exchange_summaries", "measure_load", "serve_summary"]

SUMMARY_PATH = "/v1/entry/summary"
MILLISECOND = timedelta(milliseconds=1)
TICK = timedelta(milliseconds=50)
# Between regions each message is priced, and moved traffic follows slowly by design.
REGION_INTERVAL = timedelta(milliseconds=250)
FAR_INTERVAL = timedelta(milliseconds=800)
# With many VMs the interval grows, so that the messages of a VM take a bounded part of a thin link:
# about 17 a second within its region and 8 to the others. Loans hold for two intervals of 8 VMs.
REGION_STEP = timedelta(milliseconds=60)
FAR_STEP = timedelta(milliseconds=120)
SUMMARY_LIMIT = timedelta(milliseconds=1000)
ROUND_TRIP_WEIGHT = 0.3


def measure_load(state: SteeringState, service: str, now: timedelta) -> ServiceLoad | None:
    """Return the room at this VM's backend servers of a service, None if it has none."""
    board: PlacementBoard = state.board
    instances = [item for item in usable_instances(board, service, now) if not item.lender]
    if not instances:
        return None
    slots = sum(0 if item.is_cold(now) else item.report.slots for item in instances)
    used = sum(0 if item.is_cold(now) else item.count_busy(now) for item in instances)
    queued = state.waiting.count(service)
    times = [item for key, item in board.run_times.items() if key[0] == service]
    mean = sum(item.warm for item in times) / len(times) if times else 0.3
    return ServiceLoad(max(slots - used - queued, 0), slots, queued, mean)


def encode_summary(state: SteeringState, peer: EntryVm | None, now: timedelta) -> dict:
    """Return the summary of this VM for another one as JSON.

    VMs of the same region get the list of lent servers with it if they don't hold the newest one.
    """
    loads = {}
    for service in state.board.registry.by_service:
        load = measure_load(state, service, now)
        if load is not None:
            loads[service] = [load.free, load.slots, load.queued, round(load.mean_run_s, 3)]
    value = {"vm": state.settings.place.vm, "loads": loads}
    if peer is None or peer.region != state.board.region:
        return value
    value |= {"stamp": make_stamp(state, now), "echo": peer.stamp, "held": peer.lent_tag}
    if state.is_leaving:
        # What it lends goes on holding for a moment, while the next owners take over.
        return value
    list_lent(state.lent, state.board.registry, state.board.evacuated_zones, now)
    value["tag"] = tag = f"{state.incarnation:x}.{state.lent.number}"
    if peer.held_tag != tag:
        value["lent"] = [encode_report(report) for report in state.lent.reports]
    return value


def make_stamp(state: SteeringState, now: timedelta) -> str:
    """Return an instant in the form that is sent to other VMs and returned by them."""
    return f"{state.incarnation:x}.{now // MILLISECOND}"


def read_stamp(state: SteeringState, echo: object, now: timedelta) -> timedelta | None:
    """Return the instant that another VM has returned, None if it isn't of this process."""
    incarnation, _, number = str(echo).partition(".")
    if incarnation != f"{state.incarnation:x}" or not number.isdigit():
        return None
    instant = int(number) * MILLISECOND
    return instant if instant <= now else None


def take_lent(state: SteeringState, peer: EntryVm, value: dict, now: timedelta) -> None:
    """Take the servers that another VM lends.

    Raises:
        ValueError: The list has another form.
    """
    peer.stamp = str(value.get("stamp", ""))
    peer.held_tag = str(value.get("held", ""))
    contact = read_stamp(state, value.get("echo", ""), now)
    if contact is None:
        return
    registry = state.board.registry
    until = contact + loan_time(state.settings.bounds.drain_limit)
    tag = str(value.get("tag", ""))
    lent = value.get("lent")
    if isinstance(lent, list):
        take_loans(registry, peer.vm, [decode_report(item) for item in lent], until, now)
        peer.lent_tag, peer.lent_count = tag, len(lent)
    elif tag and tag == peer.lent_tag and extend_loans(registry, peer.vm, until) < peer.lent_count:
        # Some have expired here, or this VM was still their owner: the list is needed again.
        peer.lent_tag = ""


def take_summary(state: SteeringState, value: object, now: timedelta) -> EntryVm | None:
    """Take another VM's summary; return None if it has another form or names no known VM."""
    match value:
        case {"vm": str(name), "loads": dict(loads)}:
            peer = state.board.peers.get(name)
        case _:
            return None
    if peer is None:
        return None
    try:
        if peer.region == state.board.region:
            take_lent(state, peer, value, now)
        peer.loads = {
            service: ServiceLoad(int(free), int(slots), int(queued), float(mean))
            for service, (free, slots, queued, mean) in loads.items()
        }
    except (TypeError, ValueError):
        return None
    peer.summary_at = now
    return peer


async def serve_summary(state: SteeringState, exchange: Exchange) -> None:
    """Take another VM's summary and answer with this one's."""
    value = await exchange.read_json()
    now = state.clock.monotonic()
    if not isinstance(value, dict) or "loads" not in value:
        message = "a summary needs vm and loads"
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    peer = take_summary(state, value, now)
    await exchange.respond_json(200, encode_summary(state, peer, now))


async def exchange_summaries(state: SteeringState) -> None:
    """Exchange summaries with all other entry VMs, until cancelled.

    Of two VMs the one with the lower name begins, so that one message and its response serve both.
    """
    due: dict[str, timedelta] = {}
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            now = state.clock.monotonic()
            state.board.sharers = 1 + sum(
                peer.region == state.board.region and now < peer.alive_until
                for peer in state.board.peers.values()
            )
            for peer in list(state.board.peers.values()):
                begins = state.settings.place.vm < peer.vm
                if not begins or now >= peer.alive_until or now < due.get(peer.vm, now):
                    continue
                due[peer.vm] = now + summary_interval(state, peer, now)
                task = asyncio.create_task(exchange_summary(state, peer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
    finally:
        for task in tasks:
            task.cancel()


def summary_interval(state: SteeringState, peer: EntryVm, now: timedelta) -> timedelta:
    """Return the time between two summaries to another VM."""
    board = state.board
    if peer.region == board.region:
        longest = loan_time(state.settings.bounds.drain_limit) / 2
        return min(max(REGION_INTERVAL, REGION_STEP * (board.sharers - 1)), longest)
    far = sum(
        other.region != board.region and now < other.alive_until for other in board.peers.values()
    )
    return min(max(FAR_INTERVAL, FAR_STEP * far), SUMMARY_TTL / 2)


async def exchange_summary(state: SteeringState, peer: EntryVm) -> None:
    """Exchange one summary; a lost one shows by its age."""
    sent = state.clock.monotonic()
    try:
        response = await state.link.call(
            peer.peers, "POST", SUMMARY_PATH, encode_summary(state, peer, sent), SUMMARY_LIMIT
        )
    except LinkError:
        return  # A VM that doesn't answer is left out once its last summary is too old.
    now = state.clock.monotonic()
    if response.status != 200 or take_summary(state, response.value, now) is None:
        return
    measured = (now - sent).total_seconds()
    if peer.round_trip_s:
        peer.round_trip_s += (measured - peer.round_trip_s) * ROUND_TRIP_WEIGHT
    else:
        peer.round_trip_s = measured
