"""Measures the replicated catalogue: `python -m benchmarks.replica [FOLDER]`.

Times between regions are virtual and come from the in-memory network of the tests with a one-way
delay of 55 ms. Sync times are those of the disk of FOLDER, by default the current directory.
"""

import statistics
import sys
import tempfile
import time
import types
from collections import Counter
from pathlib import Path

from camphorspread.version.codec import encode
from camphorspread.version.replica_codec import encode_entry
from camphorspread.version.replica_messages import ChangeEntry, LogEntry
from camphorspread.version.replica_storage import open_folder
from features.fixtures import control_group as fixture
from features.fixtures.memory_network import MemoryStream
from features.fixtures.replica_group import change
from features.fixtures.virtual_time import open_virtual_loop

CHANGES = 200
LEADER_LOSSES = 100
FIVE_REGIONS = (*fixture.REGIONS, "burgas", "ruse")
MISSED_CHANGES = 1000
IDLE_SECONDS = 60
SYNC_COUNT = 200
GROUP_SIZE = 20


def print_value(name: str, value: object) -> None:
    """Print one measured quantity."""
    print(f"{name:58} {value}")


def print_times(name: str, values: list[float]) -> None:
    """Print median and 99th percentile of times in seconds."""
    p99 = statistics.quantiles(values, n=100)[98]
    print_value(name, f"p50 {1000 * statistics.median(values):.2f} ms, p99 {1000 * p99:.2f} ms")


def count_bytes(sent: Counter) -> None:
    """Count the bytes that each replica's host sends to other replicas."""
    write = MemoryStream.write

    async def write_counted(self: MemoryStream, data: bytes) -> None:
        if fixture.OPERATOR_HOST not in (self.own.host, self.peer.host):
            sent[self.own.host] += len(data)
        await write(self, data)

    MemoryStream.write = write_counted


def send_change(group: fixture.ControlGroup, vm: str, number: int) -> None:
    """Add a service named after the number and check that the change is accepted."""
    request = change(f"c{number}", 0, service=f"service-{number}")
    status, value = group.call(vm, "POST", "/v1/catalogue/changes", encode(request))
    assert status == 200, value


def measure_commits(group: fixture.ControlGroup) -> None:
    """Measure the time from sending a change to its response."""
    leader = group.wait_for_leader()
    follower = next(vm for vm in fixture.REGIONS if vm != leader)
    for name, vm in (("the leader", leader), ("another replica", follower)):
        times = []
        for number in range(CHANGES):
            start = group.loop.time()
            send_change(group, vm, number + (CHANGES if vm == leader else 0))
            times.append(group.loop.time() - start)
            group.run(0.0137)
        print_times(f"change sent to {name} until accepted", times)


def measure_idle_traffic(group: fixture.ControlGroup, sent: Counter) -> None:
    """Measure bytes between replicas while the catalogue doesn't change."""
    sent.clear()
    group.run(IDLE_SECONDS)
    for host, count in sorted(sent.items()):
        is_leader = group.controls[group.leader()].settings.peers.host == host
        print_value(
            f"idle bytes per second sent by {'the leader' if is_leader else 'a follower'}",
            count // IDLE_SECONDS,
        )


def measure_rejoin(group: fixture.ControlGroup, sent: Counter) -> None:
    """Measure how a replica catches up after a network partition."""
    leader = group.leader()
    vm = next(item for item in fixture.REGIONS if item != leader)
    hosts = {item: group.controls[item].settings.peers.host for item in fixture.REGIONS}
    group.network.cut({hosts[vm]}, set(hosts.values()) - {hosts[vm]})
    for number in range(MISSED_CHANGES):
        send_change(group, leader, 5000 + number)
    group.network.heal()
    sent.clear()
    start = group.loop.time()
    version = group.controls[leader].catalogue.version
    while group.controls[vm].catalogue.version < version:
        group.run(0.005)
    print_value(
        f"rejoin after {MISSED_CHANGES} missed changes, until current",
        f"{group.loop.time() - start:.3f} s, {sent[hosts[leader]]} bytes from the leader",
    )


def measure_catch_up(group: fixture.ControlGroup, sent: Counter) -> None:
    """Measure how a learner without any log entries catches up."""
    leader = group.leader()
    vm = next(item for item in fixture.REGIONS if item != leader)
    group.stop(vm)
    for number in range(MISSED_CHANGES):
        send_change(group, leader, 1000 + number)
    group.start(vm, seed=2)
    group.run(0.01)
    settings = group.controls[vm].settings
    status = group.call(vm, "GET", "/v1/status")[1]
    member = {
        "vm": vm,
        "identity": status["identity"],
        "peers": encode(settings.peers),
        "operators": encode(settings.operators),
    }
    sent.clear()
    start = group.loop.time()
    group.call(leader, "POST", "/v1/members", {"type": "AddLearner", "member": member})
    version = group.controls[leader].catalogue.version
    while group.controls[vm].catalogue.version < version:
        group.run(0.005)
    host = group.controls[leader].settings.peers.host
    print_value(
        f"blank learner, catalogue of {version} changes, until current",
        f"{group.loop.time() - start:.3f} s, {sent[host]} bytes from the leader",
    )


def measure_leader_loss(context: types.SimpleNamespace, regions: tuple[str, ...]) -> None:
    """Measure the time without a leader that accepts changes."""
    times = []
    for seed in range(LEADER_LOSSES):
        with open_virtual_loop(context):
            group = fixture.make_control_group(context, seed, regions)
            leader = group.wait_for_leader()
            group.run(0.037 * seed)
            group.stop(leader)
            start = group.loop.time()
            while group.leader() is None:
                group.run(0.005)
            times.append(group.loop.time() - start)
    print_value(
        f"time without a leader, {len(regions)} members, {LEADER_LOSSES} seeds",
        f"p50 {statistics.median(times):.2f} s, longest {max(times):.2f} s",
    )


def measure_disk(folder: Path) -> None:
    """Measure log size and sync times on a real disk."""
    entries = [
        LogEntry(index, 1, ChangeEntry(change(f"c{index}", 0, service=f"service-{index}"), "t"))
        for index in range(1, SYNC_COUNT * (GROUP_SIZE + 1) + 1)
    ]
    sizes = [len(encode_entry(entry)) + 12 for entry in entries]
    print_value("log bytes per change", f"{statistics.mean(sizes):.0f}")
    storage, _ = open_folder(folder, "benchmark")
    alone, grouped = [], []
    for number in range(SYNC_COUNT):
        start = time.perf_counter()
        storage.write((entries[number],))
        storage.sync()
        alone.append(time.perf_counter() - start)
    for number in range(SYNC_COUNT):
        first = SYNC_COUNT + number * GROUP_SIZE
        start = time.perf_counter()
        for entry in entries[first : first + GROUP_SIZE]:
            storage.write((entry,))
        storage.sync()
        grouped.append((time.perf_counter() - start) / GROUP_SIZE)
    storage.close()
    print_times("write and sync of one change alone", alone)
    print_times(f"the same per change in groups of {GROUP_SIZE}", grouped)


def main() -> None:
    """Run all measurements."""
    context = types.SimpleNamespace()
    sent: Counter = Counter()
    count_bytes(sent)
    with open_virtual_loop(context):
        group = fixture.make_control_group(context)
        measure_commits(group)
        measure_idle_traffic(group, sent)
        measure_rejoin(group, sent)
        measure_catch_up(group, sent)
    for regions in (fixture.REGIONS, FIVE_REGIONS):
        measure_leader_loss(context, regions)
    parent = Path(sys.argv[1]) if len(sys.argv) > 1 else Path.cwd()
    with tempfile.TemporaryDirectory(dir=parent) as name:
        measure_disk(Path(name) / "data")


if __name__ == "__main__":
    main()
