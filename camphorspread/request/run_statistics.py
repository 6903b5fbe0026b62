"""Statistics updated by each run: run times, slow and failing servers, and warm objects."""

from datetime import timedelta

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance
from camphorspread.process.run import Run
from camphorspread.request.placement_board import PlacementBoard, PlacementRequest, RunTimes
from camphorspread.request.remaining_work import learn_run
from camphorspread.request.server_limit import record_limited_send
from camphorspread.request.server_pause import record_ramp_send
from camphorspread.request.server_speed import is_slow_now
from camphorspread.request.window import record_event

__all__ = [
    "record_peer_warmth",
    "record_reported_load",
    "record_run_end",
    "record_run_start",
]

# Weights of the newest run in the moving averages of run times and failures.
RUN_TIME_WEIGHT = 0.08
FAILURE_WEIGHT = 0.2
MIN_REMEMBERED = 4
MAX_REMEMBERED = 4096
# Runs of a server that is slower by this factor are left out of the mean run times.
SLOW_SERVER_FACTOR = 1.7
# Starts of runs that are kept for a server; further ones count with the mean run time.
MAX_KEPT_RUNS = 64
PROBE_INTERVAL = timedelta(seconds=1)


def record_run_start(instance: Instance, now: timedelta, run: Run | None = None) -> None:
    """Record that a request is about to be sent to a backend server.

    Args:
        instance: The server.
        now: Current monotonic time.
        run: Its placement, by which the start of the run is kept; None to keep none.
    """
    instance.in_flight += 1
    if run is not None and len(instance.runs) < MAX_KEPT_RUNS:
        instance.runs[run] = now
    if instance.is_cold(now):
        record_event(instance.cold_sends, now)
    record_limited_send(instance, now)
    record_ramp_send(instance.stated, now)
    instance.sends += 1
    instance.probe_due = now + PROBE_INTERVAL


def record_run_end(
    board: PlacementBoard,
    instance: Instance,
    req: PlacementRequest,
    is_good: bool,
    run_s: float | None,
    now: timedelta,
    requests: int | None = None,
    run: Run | None = None,
) -> None:
    """Update the statistics from a request that has ended.

    Args:
        board: State of servers and VMs.
        instance: The backend server that the request was sent to.
        req: The request.
        is_good: False if the run counts as a failure of the server.
        run_s: Time from sending to the response in seconds, None if there was none.
        now: Current monotonic time.
        requests: Running and queued requests reported by the server, None if not stated.
        run: Its placement, as at its start.
    """
    record_reported_load(instance, requests, now)
    instance.runs.pop(run, None)
    instance.in_flight -= 1
    target = 0.0 if is_good else 1.0
    instance.failure_rate += (target - instance.failure_rate) * FAILURE_WEIGHT
    times = board.run_times.get((req.service, req.route))
    if not is_good or run_s is None or times is None:
        return
    if instance.is_cold(now):
        return
    if requests is None or requests <= instance.report.slots:
        # With a queue at the server, the time would include the wait there.
        work = board.work.get(req.service)
        if work is None:
            update_from_run(instance, times, req, run_s)
        elif not is_slow_now(instance.stated, now):
            # Leaving these runs out of the mean times gave about as many requests on time as
            # dividing them by the factor, and a wrong report can't make the means too low.
            learn_run(work, req.route, req.object_key in instance.warm_objects, run_s)
            update_from_run(instance, times, req, run_s)
    if req.object_key:
        instance.warm_objects[req.object_key] = None
        instance.warm_objects.move_to_end(req.object_key)
        while len(instance.warm_objects) > int(times.remembered):
            instance.warm_objects.popitem(last=False)


def update_from_run(
    instance: Instance, times: RunTimes, req: PlacementRequest, run_s: float
) -> None:
    """Update the statistics from the time of a run that the server didn't queue."""
    was_warm = req.object_key in instance.warm_objects
    update_slowdown(instance, run_s / max(times.warm_s if was_warm else times.cold_s, 0.001))
    is_slow = instance.slowdown >= SLOW_SERVER_FACTOR
    is_fast = run_s <= (times.warm_s + times.cold_s) / 2
    if not is_slow:
        update_run_times(times, run_s, is_fast)
    if not was_warm:
        return
    if is_fast:
        times.remembered = min(times.remembered + 0.05, MAX_REMEMBERED)
    elif not is_slow:
        lower_remembered(times, instance, req.object_key)


def record_reported_load(instance: Instance, requests: int | None, now: timedelta) -> None:
    """Record the load that a server reported, before the ended request is subtracted.

    The report is only a hint. It can't lower the count below the requests of this VM, and it
    expires soon, so that a report that never changes doesn't keep the server idle.

    Args:
        instance: The server.
        requests: Running and queued requests of all VMs at the server, None if not stated.
        now: Current monotonic time.
    """
    if requests is not None:
        instance.others_in_flight = max(requests - instance.in_flight, 0)
        instance.others_reported_at = now


def update_slowdown(instance: Instance, ratio: float) -> None:
    """Update the slowdown of a server from the ratio of actual to expected run time.

    The slowdown is the minimum of the recent ratios: a server that has evicted some objects mixes
    slow and normal runs, while all runs of a slow server are slow.
    """
    instance.run_ratios.append(min(ratio, 20.0))
    if len(instance.run_ratios) == instance.run_ratios.maxlen:
        instance.slowdown = max(min(instance.run_ratios), 1.0)


def update_run_times(times: RunTimes, run_s: float, is_fast: bool) -> None:
    """Update the mean run times from a run at a server of normal speed."""
    times.runs += 1
    times.mean_s += (min(run_s, 2 * times.cold_s) - times.mean_s) * RUN_TIME_WEIGHT
    if is_fast:
        times.warm_s += (run_s - times.warm_s) * RUN_TIME_WEIGHT
    else:
        times.cold_s += (min(run_s, 2 * times.cold_s) - times.cold_s) * RUN_TIME_WEIGHT


def lower_remembered(times: RunTimes, instance: Instance, key: str) -> None:
    """Lower the estimate of remembered objects after a server has evicted one."""
    newer = 0
    for name in reversed(instance.warm_objects):
        if name == key:
            break
        newer += 1
    lower = max(newer, MIN_REMEMBERED)
    times.remembered += (min(lower, times.remembered) - times.remembered) * 0.1


def record_peer_warmth(peer: EntryVm, req: PlacementRequest, is_fast: bool) -> None:
    """Record whether the servers of another VM are warm for an object."""
    if not req.object_key:
        return
    key = (req.service, req.object_key)
    peer.warm_objects[key] = is_fast
    peer.warm_objects.move_to_end(key)
    while len(peer.warm_objects) > MAX_REMEMBERED:
        peer.warm_objects.popitem(last=False)
