"""Steps of control processes that replicate the catalogue."""

import asyncio
import contextlib
import json
import socket
import subprocess
import sys
import time
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import SystemClock
from camphorspread.version.catalogue import RegionEntry
from camphorspread.version.changes import ChangeRequest, PutRegion
from camphorspread.version.codec import encode
from camphorspread.version.log_file import FileOperations
from camphorspread.version.replica_messages import ChangeEntry
from camphorspread.version.replica_storage import open_folder
from features.fixtures.control_group import REGIONS
from features.fixtures.data_folder import FullDisk
from features.fixtures.replica_group import change

CALL_TIMEOUT = timedelta(seconds=10)
ACCESS_KEY = b"key-of-one-control-process"


def encode_change(change_id, expected=0, service="a"):
    return encode(change(change_id, expected, service=service))


def find_follower(context):
    group = context.control_group
    return next(vm for vm in group.controls if vm != group.leader())


@given("three control processes with a leader")
def step_start_controls(context):
    context.leader_vm = context.control_group.wait_for_leader()


@when('an operator sends the change "{change_id}" to a control process that doesn\'t lead')
def step_send_to_follower(context, change_id):
    status, value = context.control_group.call(
        find_follower(context), "POST", "/v1/catalogue/changes", encode_change(change_id)
    )
    assert (status, value) == (200, {"version": 1}), (status, value)


@when('an operator sends the change "{change_id}" to a control process that still runs')
def step_send_again(context, change_id):
    context.control_group.wait_for_leader()
    step_send_to_follower(context, change_id)


@then("all control processes have version {version:d} and list the change in their history")
def step_check_all(context, version):
    group = context.control_group
    group.run(0.2)
    for vm, control in group.controls.items():
        assert control.catalogue.version == version, f"{vm}: {control.catalogue.version}"
        status, history = group.call(vm, "GET", "/v1/catalogue/history")
        assert status == 200 and len(history) == 1, history
        assert history[0]["change_id"] == "c1" and history[0]["operator"] == "operator", history


@then("the status of the leader lists all members as up to date")
def step_check_status(context):
    _, status = context.control_group.call(context.leader_vm, "GET", "/v1/status")
    assert status["is_ready"] and status["leader"] == context.leader_vm, status
    entries = [member["synced_entry"] for member in status["members"]]
    assert entries == [status["committed_entry"]] * 3, status


@when("the process of the leader ends")
def step_end_leader(context):
    context.control_group.stop(context.leader_vm)


@then("the remaining control processes have version {version:d}")
def step_check_remaining(context, version):
    context.control_group.run(0.5)
    versions = [item.catalogue.version for item in context.control_group.controls.values()]
    assert versions == [version] * 2, versions


@when("a control process is cut off for {seconds:g} seconds")
def step_cut_control(context, seconds):
    group = context.control_group
    context.cut_vm = find_follower(context)
    own = group.controls[context.cut_vm].settings.peers.host
    others = {item.settings.peers.host for item in group.controls.values()} - {own}
    group.network.cut({own}, others)
    group.run(seconds)


@then("its status and its log report that it is isolated")
def step_check_isolated(context):
    _, status = context.control_group.call(context.cut_vm, "GET", "/v1/status")
    assert status["is_isolated"] and status["last_contact_ms"] >= 10000, status
    assert '"event": "quorum_lost"' in context.control_group.logs[context.cut_vm].getvalue()


@then("it refuses a change and names no leader")
def step_check_refused(context):
    status, value = context.control_group.call(
        context.cut_vm, "POST", "/v1/catalogue/changes", encode_change("lost")
    )
    assert status == 503 and value["error"] == "not_leader", (status, value)
    assert value["limit"] == "no leader is known", value


@given("three control processes with a leader, each with a data folder")
def step_start_with_folders(context):
    group = context.control_group
    context.disks = {}
    for vm in REGIONS:
        group.stop(vm)
        group.start(vm, data_folder=str(context.data_folder / vm))
        context.disks[vm] = FullDisk()
        disk = context.disks[vm]
        group.controls[vm].file_calls = FileOperations(disk.write, disk.sync)
    step_start_controls(context)


@when("{count:d} changes of different services reach the leader at the same time")
def step_send_together(context, count):
    group = context.control_group
    address = group.controls[context.leader_vm].settings.operators
    context.disks[context.leader_vm].syncs = 0

    async def send_all():
        return await asyncio.gather(
            *(
                group.link.call(
                    address,
                    "POST",
                    "/v1/catalogue/changes",
                    encode_change(f"c{number}", service=f"s{number}"),
                )
                for number in range(count)
            )
        )

    context.responses = group.loop.run_until_complete(send_all())


@then("all are accepted and the leader has synced its log at most {count:d} times")
def step_check_syncs(context, count):
    assert {response.status for response in context.responses} == {200}, context.responses
    syncs = context.disks[context.leader_vm].syncs
    assert 1 <= syncs <= count, f"{syncs} syncs"


@when("the disk of the leader becomes full and a change is sent to it")
def step_fill_leader(context):
    context.disks[context.leader_vm].room = 20
    context.response = context.control_group.call(
        context.leader_vm, "POST", "/v1/catalogue/changes", encode_change("c1")
    )


@then("the change isn't accepted there and the status reports the cause")
def step_check_full_leader(context):
    assert context.response[0] == 503, context.response
    group = context.control_group
    _, status = group.call(context.leader_vm, "GET", "/v1/status")
    assert status["storage_fault"] == "the disk is full", status
    assert not status["is_ready"], status
    assert group.call(context.leader_vm, "GET", "/v1/catalogue")[0] == 200


@then("another control process leads and accepts the change")
def step_check_other_leader(context):
    group = context.control_group
    group.run(4)
    leader = group.leader()
    assert leader not in (None, context.leader_vm), leader
    status, value = group.call(leader, "POST", "/v1/catalogue/changes", encode_change("c1"))
    assert (status, value) == (200, {"version": 1}), (status, value)


@when("an operator replaces a control process by one with a blank disk")
def step_replace_control(context):
    group = context.control_group
    vm = find_follower(context)
    _, before = group.call(vm, "GET", "/v1/status")
    group.stop(vm)
    group.start(vm, seed=2)
    group.run(1)
    _, blank = group.call(vm, "GET", "/v1/status")
    assert blank["identity"] != before["identity"] and blank["members"] == [], blank
    settings = group.controls[vm].settings
    member = {
        "vm": vm,
        "identity": blank["identity"],
        "peers": encode(settings.peers),
        "operators": encode(settings.operators),
    }
    changes = (
        {"type": "AddLearner", "member": member},
        {"type": "PromoteLearner", "vm": vm, "identity": blank["identity"]},
        {"type": "RemoveMember", "vm": vm, "identity": before["identity"]},
    )
    for member_change in changes:
        status, value = group.call(group.leader(), "POST", "/v1/members", member_change)
        assert status == 200, (member_change, value)
        group.run(0.5)
    context.new_identity = blank["identity"]


@then("the members are the two old ones and the new one, and a change is accepted")
def step_check_replaced(context):
    group = context.control_group
    _, status = group.call(group.leader(), "GET", "/v1/status")
    identities = [member["identity"] for member in status["members"] if member["is_voter"]]
    assert len(identities) == 3 and context.new_identity in identities, status
    step_send_to_follower(context, "after")


@when("an operator sends a change with {fault}")
def step_send_faulty(context, fault):
    group = context.control_group
    value = encode_change("faulty")
    entry = value["change"]["entry"]
    match fault:
        case "an unknown field":
            entry["colour"] = "red"
        case "a negative cap":
            entry["shift_cap_per_second"] = -5
        case "a missing owner":
            entry["owner"] = "  "
        case "a fraction in place of a number":
            entry["region_limit"] = 1.5
        case "a text in place of a number":
            entry["region_limit"] = "many"
        case "a limit over a region's capacity":
            region = ChangeRequest("r", 0, "operator", PutRegion(RegionEntry("s", "o", 100, ())))
            group.call(context.leader_vm, "POST", "/v1/catalogue/changes", encode(region))
            entry["region_limit"] = 101
        case _:
            raise AssertionError(f"unknown fault {fault}")
    target = "/v1/catalogue/changes"
    context.refusal = group.call(context.leader_vm, "POST", target, value)


@then('the response names the field "{field}", the value "{given}" and the limit "{limit}"')
def step_check_refusal(context, field, given, limit):
    status, value = context.refusal
    assert status == 409 and value["error"] == "invalid", (status, value)
    assert (value["field"], value["value"], value["limit"]) == (field, given, limit), value


# Long enough for a busy machine; only a process that never starts reaches the limit.
START_TIMEOUT_S = 60


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def start_process(context, point):
    """Start the control process and wait until it accepts changes."""
    command = [sys.executable, "-m", "features.fixtures.killed_control", context.settings, point]
    context.process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    context.add_cleanup(kill_process, context.process)
    wait_until_listening(context)


def wait_until_listening(context):
    """Wait until the process accepts connections, which takes long on a busy machine."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and context.process.poll() is None:
        with contextlib.suppress(OSError):
            address = (context.operators.host, context.operators.port)
            socket.create_connection(address, timeout=1).close()
            return
        time.sleep(0.02)
    raise AssertionError(
        f"the process doesn't accept connections, exit code {context.process.poll()}"
    )


def kill_process(process):
    process.kill()
    process.wait()
    process.stdout.close()


def send_change(context, change_id, expected, attempts=100):
    """Send a change to the process; return its response, or None without one."""
    value = encode_change(change_id, expected)

    async def send():
        link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), ACCESS_KEY)
        try:
            return await link.call(context.operators, "POST", "/v1/catalogue/changes", value)
        finally:
            link.pool.close()

    for _ in range(attempts):
        try:
            return asyncio.run(send()).value
        except LinkError:
            time.sleep(0.02)
    return None


async def send_until_stopped(context, value):
    """Send a change and wait until the process reports that it has reached its stop point."""
    link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), ACCESS_KEY)
    reached = asyncio.Event()
    asyncio.get_running_loop().add_reader(context.process.stdout, reached.set)
    call = asyncio.create_task(
        link.call(context.operators, "POST", "/v1/catalogue/changes", value, CALL_TIMEOUT)
    )
    waiting = asyncio.create_task(reached.wait())
    await asyncio.wait({call, waiting}, return_when=asyncio.FIRST_COMPLETED)
    assert reached.is_set(), "the change was answered before the process stopped"
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)


@given("a control process that is killed {point}")
def step_kill_process(context, point):
    context.data_folder.mkdir(parents=True)
    peers, context.operators = (Address("127.0.0.1", free_port()) for _ in range(2))
    settings = {
        "role": "control",
        "place": {"vm": "a", "availability_zone": "z", "region": "r"},
        "peers": encode(peers),
        "operators": encode(context.operators),
        "replicas": [{"vm": "a", "peers": encode(peers), "operators": encode(context.operators)}],
        "access_key_file": "key",
        "data_folder": str(context.data_folder),
    }
    (context.data_folder.parent / "key").write_bytes(ACCESS_KEY)
    path = context.data_folder.parent / "settings.json"
    path.write_text(json.dumps(settings))
    context.settings = str(path)
    start_process(context, point)
    assert send_change(context, "first", 0) == {"version": 1}
    asyncio.run(send_until_stopped(context, encode_change("stop-here", 1)))
    assert context.process.stdout.readline().strip() == point
    kill_process(context.process)


@when("it is started again on the same data folder")
def step_start_again(context):
    start_process(context, "never")


@then("it has every acknowledged change and a resent one gets its first outcome")
def step_check_after_kill(context):
    assert send_change(context, "first", 0) == {"version": 1}
    assert send_change(context, "stop-here", 1) == {"version": 2}
    assert send_change(context, "stop-here", 1) == {"version": 2}
    assert send_change(context, "second", 2) == {"version": 3}
    kill_process(context.process)
    storage, stored = open_folder(context.data_folder, "other")
    storage.close()
    payloads = (entry.payload for entry in stored.entries)
    written = [item.request.change_id for item in payloads if isinstance(item, ChangeEntry)]
    assert written == ["first", "stop-here", "second"], written
