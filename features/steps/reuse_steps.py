"""Steps about connections that carry several requests."""

from behave import when

from camphorspread.connection.client import open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead


async def send_on_one_connection(context):
    address = context.fleet.plan.entry_vms()[0].callers
    conn = await open_connection(context.caller, address, ConnectionLimits())
    for row in context.table:
        head = RequestHead(b"GET", row["target"].encode(), ((b"host", b"entry"),))
        await conn.send_head(head)
        await conn.finish_request()
        response = await conn.read_final_head()
        assert response.status == int(row["status"]), (row["target"], response)
        while await conn.read_body():
            pass
        assert conn.is_reusable, row["target"]
        conn.prepare_next_request()
    conn.close()


@when("a caller sends these requests on one connection")
def step_send_on_one_connection(context):
    context.loop.run_until_complete(send_on_one_connection(context))
