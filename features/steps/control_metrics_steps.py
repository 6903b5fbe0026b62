"""Steps for the metrics of control processes."""

from behave import then, when

from camphorspread.connection.messages import RequestHead
from camphorspread.connection.pool import ConnectionPool
from camphorspread.version.codec import encode
from features.fixtures.control_group import ACCESS_KEY
from features.fixtures.replica_group import change


async def fetch(pool, address):
    """Return the metrics page of a control process."""
    conn = await pool.acquire(address)
    headers = ((b"host", b"control"), (b"camphorspread-access-key", ACCESS_KEY))
    await conn.send_head(RequestHead(b"GET", b"/metrics", headers))
    await conn.finish_request()
    head = await conn.read_head()
    assert head.status == 200, head
    text = b""
    while part := await conn.read_body():
        text += part
    conn.abort()
    return text.decode()


def read_metrics(context, vm):
    """Return the metrics of a control process by name and labels, without the prefix."""
    group = context.control_group
    pool = ConnectionPool(group.network.host("127.0.9.8"), context.clock)
    text = context.loop.run_until_complete(fetch(pool, group.controls[vm].settings.operators))
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    pairs = [line.removeprefix("camphorspread_").rsplit(" ", 1) for line in lines]
    return {name: float(value) for name, value in pairs}


@when("entry VMs poll the leader, one of them then stops and the other one misses a change")
def step_poll_leader(context):
    group = context.control_group
    leader = context.leader_vm
    peers = group.controls[leader].settings.peers

    def poll(vm, version):
        message = {"vm": vm, "version": version, "hold_ms": 0}
        call = group.link.call(peers, "POST", "/v1/catalogue/poll", message)
        return context.loop.run_until_complete(call).value

    poll("stopped-1", 0)
    group.run(2)
    status, _ = group.call(leader, "POST", "/v1/catalogue/changes", encode(change("c1", 0)))
    assert status == 200, status
    poll("behind-1", 0)


@then("the metrics of the leader show role, term, versions, syncs, polls and both VMs")
def step_check_leader_metrics(context):
    group = context.control_group
    _, status = group.call(context.leader_vm, "GET", "/v1/status")
    found = read_metrics(context, context.leader_vm)
    expected = {
        'role{role="leader"}': 1,
        'role{role="follower"}': 0,
        "term": status["term"],
        "commit_index": status["committed_entry"],
        "catalogue_version": 1,
        'polls_total{result="lease"}': 2,
        "entry_vms_current": 0,
        "entry_vms_lagging": 1,
        "entry_vms_isolated": 1,
        "storage_fault": 0,
        # One sync each for the first entry of the leader and for the change.
        "sync_seconds_count": 2,
        "log_bytes": (context.data_folder / context.leader_vm / "log").stat().st_size,
    }
    assert {name: found[name] for name in expected} == expected, found
    assert found["quorum_contact_seconds"] < 0.6, found


@then("those of a control process that was cut off for {seconds:d} seconds show this")
def step_check_cut_metrics(context, seconds):
    context.execute_steps(f"When a control process is cut off for {seconds} seconds")
    found = read_metrics(context, context.cut_vm)
    # The last heartbeat arrived up to 150 + 55 ms before; the response takes 165 ms.
    assert seconds <= found["quorum_contact_seconds"] <= seconds + 0.4, found
    assert found['role{role="leader"}'] == 0, found
