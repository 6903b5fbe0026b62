"""What is learnt from each run: usual times, slow and failing servers, who knows which object."""

from datetime import timedelta

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance
from camphorspread.request.placement_board import PlacementBoard, PlacementRequest, RunTimes
from camphorspread.request.window import record_event

__all__ = [
    "end_run",
    "learn_load",
    "learn_pass",
    "start_run",
]

# Weight of the newest run in a mean.
RUN_WEIGHT = 0.08
FAILURE_WEIGHT = 0.2
FEWEST_REMEMBERED = 4
MOST_REMEMBERED = 4096
# Runs of a server that takes this many times as long say nothing about the usual times.
UNUSUAL_SPEED = 1.7
PROBE_INTERVAL = timedelta(seconds=1)


def start_run(instance: Instance, now: timedelta) -> None:
    """Count a request that is about to be sent to a backend server."""
    instance.in_flight += 1
    if instance.is_cold(now):
        record_event(instance.cold_sends, now)
    instance.sends += 1
    instance.probe_due = now + PROBE_INTERVAL


def end_run(
    board: PlacementBoard,
    instance: Instance,
    req: PlacementRequest,
    is_good: bool,
    run_s: float | None,
    now: timedelta,
    requests: int | None = None,
) -> None:
    """Learn from a request that has ended.

    Args:
        board: State of servers and VMs.
        instance: The backend server that had it.
        req: The request.
        is_good: True if the server answered it as it should.
        run_s: Time from sending to the response; None if there was none.
        now: The present instant.
        requests: Requests that the server said it works on or lets wait; None if it didn't say.
    """
    learn_load(instance, requests, now)
    instance.in_flight -= 1
    target = 0.0 if is_good else 1.0
    instance.failures += (target - instance.failures) * FAILURE_WEIGHT
    times = board.run_times.get((req.service, req.route))
    if not is_good or run_s is None or times is None:
        return
    if instance.is_cold(now):
        return
    if requests is None or requests <= instance.report.slots:
        # With a queue at the server the time says how long it waited there, not how long it takes.
        learn_run(instance, times, req, run_s)
    if req.object_key:
        instance.warm_objects[req.object_key] = None
        instance.warm_objects.move_to_end(req.object_key)
        while len(instance.warm_objects) > int(times.remembered):
            instance.warm_objects.popitem(last=False)


def learn_run(instance: Instance, times: RunTimes, req: PlacementRequest, run_s: float) -> None:
    """Learn from the time of a run that began at once."""
    was_warm = req.object_key in instance.warm_objects
    learn_speed(instance, run_s / max(times.warm if was_warm else times.cold, 0.001))
    is_slow = instance.speed >= UNUSUAL_SPEED
    is_fast = run_s <= (times.warm + times.cold) / 2
    if not is_slow:
        learn_times(times, run_s, is_fast)
    if not was_warm:
        return
    if is_fast:
        times.remembered = min(times.remembered + 0.05, MOST_REMEMBERED)
    elif not is_slow:
        forget_oldest(times, instance, req.object_key)


def learn_load(instance: Instance, requests: int | None, now: timedelta) -> None:
    """Take how many requests a server said it has, while the one that ended still counts here.

    Its report is a hint only: it can't show fewer requests than this VM has there itself, and it
    counts for a moment only, so that one that never changes doesn't keep a server from work.

    Args:
        instance: The server.
        requests: Requests that it works on or lets wait, of all VMs; None if it didn't say.
        now: The present instant.
    """
    if requests is not None:
        instance.others = max(requests - instance.in_flight, 0)
        instance.others_at = now


def learn_speed(instance: Instance, ratio: float) -> None:
    """Take how long a run took relative to what was expected.

    The lowest of the newest ratios counts: a server that has forgotten some objects has slow runs
    among usual ones, a slow server has only slow ones.
    """
    instance.run_ratios.append(min(ratio, 20.0))
    if len(instance.run_ratios) == instance.run_ratios.maxlen:
        instance.speed = max(min(instance.run_ratios), 1.0)


def learn_times(times: RunTimes, run_s: float, is_fast: bool) -> None:
    """Move the mean times towards a run of a server of usual speed."""
    times.runs += 1
    times.mean += (min(run_s, 2 * times.cold) - times.mean) * RUN_WEIGHT
    if is_fast:
        times.warm += (run_s - times.warm) * RUN_WEIGHT
    else:
        times.cold += (min(run_s, 2 * times.cold) - times.cold) * RUN_WEIGHT


def forget_oldest(times: RunTimes, instance: Instance, key: str) -> None:
    """Lower the number of remembered objects after a server had forgotten one."""
    newer = 0
    for name in reversed(instance.warm_objects):
        if name == key:
            break
        newer += 1
    lower = max(newer, FEWEST_REMEMBERED)
    times.remembered += (min(lower, times.remembered) - times.remembered) * 0.1


def learn_pass(peer: EntryVm, req: PlacementRequest, is_fast: bool) -> None:
    """Remember whether another VM's servers know an object."""
    if not req.object_key:
        return
    key = (req.service, req.object_key)
    peer.warm_objects[key] = is_fast
    peer.warm_objects.move_to_end(key)
    while len(peer.warm_objects) > MOST_REMEMBERED:
        peer.warm_objects.popitem(last=False)
