"""`camphorspread explain-route`: where an entry VM would send a request now, and why."""

import asyncio
import sys
from datetime import timedelta
from urllib.parse import urlencode

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address, Network, TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import Clock, SystemClock
from camphorspread.process.command.commands import ExplainRoute
from camphorspread.process.command.operator import CALL_TIMEOUT
from camphorspread.process.command.output import (
    FAILURE,
    CommandResult,
    format_table,
    print_result,
)
from camphorspread.request.explained_facts import Question

__all__ = ["describe_explanation", "explain_route", "run_explain_route"]

SERVER_TITLES = (
    *("server", "zone", "cost s", "run s", "wait s", "busy", "load age s", "speed", "speed age s"),
    *("pause s", "limit/s", "cold", "warm", "obstacles"),
)
VM_TITLES = (
    *("VM", "zone", "cost s", "round trip s", "free", "queued", "summary age s", "warm"),
    "obstacles",
)


def run_explain_route(command: ExplainRoute) -> int:
    """Ask an entry VM, print its explanation and return the exit code."""
    question = Question(command.host, command.path, command.object_key, command.organisation)
    try:
        result = asyncio.run(explain_route(command.metrics, question, TcpNetwork(), SystemClock()))
    except LinkError as exc:
        print(exc, file=sys.stderr)
        return FAILURE
    return print_result(result, command.as_json)


async def explain_route(
    metrics: Address,
    question: Question,
    network: Network,
    clock: Clock,
    limit: timedelta = CALL_TIMEOUT,
) -> CommandResult:
    """Ask an entry VM where a request would go.

    Args:
        metrics: Metrics listener of the entry VM.
        question: The request.
        network: Opens the connection.
        clock: Source of instants.
        limit: Longest time until the response.

    Raises:
        LinkError: The VM doesn't respond in time.
    """
    values = {
        "host": question.host,
        "path": question.path,
        "object": question.object_key,
        "organisation": question.organisation,
    }
    pool = ConnectionPool(network, clock)
    try:
        target = f"/explain?{urlencode(values)}"
        response = await JsonLink(pool).call(metrics, "GET", target, limit=limit)
    finally:
        pool.close()
    if response.status == 200:
        return CommandResult(response.value, describe_explanation(response.value))
    value = response.value if isinstance(response.value, dict) else {}
    message = value.get("message") or f"status {response.status}"
    return CommandResult(value, str(message), FAILURE)


def describe_explanation(value: dict) -> str:
    """Return an explanation as text for the terminal."""
    route = value["route"]
    lines = [
        f"decision: {describe_decision(value['decision'])}",
        f"VM {value['vm']}, routes of revision {value['revision']}, {value['queued']} queued",
        f"route {route['name']}: service {route['service']}, priority {route['priority']}, "
        f"promised {route['promised_s']:g} s, limit {route['time_limit_s']:g} s, "
        f"home regions {' '.join(route['home_regions']) or 'all'}",
    ]
    if value["organisation"]:
        lines.append(describe_organisation(value["organisation"]))
    if not value["is_kept_at_home"]:
        lines.append("requests about the object prefer another region")
    servers = [format_server(item) for item in value["servers"]]
    vms = [format_vm(item) for item in value["other_vms"]]
    for titles, rows in ((SERVER_TITLES, servers), (VM_TITLES, vms)):
        if rows:
            lines += ["", format_table(titles, rows)]
    return "\n".join(lines)


def describe_decision(decision: dict) -> str:
    """Return a decision as a phrase."""
    match decision:
        case {"kind": "start_at", "server": server, "cost_s": cost_s}:
            return f"start at {server}, cost {cost_s:.3f} s"
        case {"kind": "wait_for", "server": server, "cost_s": cost_s, "is_late": is_late}:
            late = ", late" if is_late else ""
            return f"wait for {server}, cost {cost_s:.3f} s{late}"
        case {"kind": "forward_to", "vm": vm, "cost_s": cost_s}:
            return f"forward to {vm}, cost {cost_s:.3f} s"
        case {"kind": "wait_for_share", "cause": cause, "longest_s": longest_s}:
            return f"wait up to {longest_s:.3f} s until {cause}"
        case {"status": status, "message": message, "retry_after_s": retry_s, "cause": cause}:
            retry = "" if retry_s is None else f", retry after {retry_s:.2f} s"
            return f"refuse with {status}: {message}{retry}{cause and f' ({cause})'}"
    return str(decision)


def describe_organisation(value: dict) -> str:
    """Return one line about an organisation and its limit."""
    regions = " ".join(value["home_regions"]) or "all"
    text = f"organisation {value['name']}: priority {value['priority']}, home regions {regions}"
    quota = value["quota"]
    if quota is None:
        return f"{text}, no limit"
    return (
        f"{text}, limit {quota['rate']:g}/s; share {quota['share']} of {quota['usable']} requests "
        f"in a window, {quota['left']} left, age {format_number(quota['age_s'], 1)} s, "
        f"demand {quota['pressure']}"
    )


def format_server(item: dict) -> tuple[str, ...]:
    """Return the cells of a backend server."""
    return (
        item["name"],
        item["availability_zone"],
        format_number(item["cost_s"]),
        format_number(item["run_s"]),
        format_number(item["wait_s"]),
        f"{item['in_flight']}+{item['others_in_flight']}/{item['slots']}",
        format_number(item["load_age_s"], 1),
        f"{item['slow_factor']:.2f}",
        format_number(item["speed_age_s"], 1),
        format_number(item["pause_left_s"] or None, 1),
        format_number(item["rate_limit"], 1),
        format_flag(item["is_cold"]),
        format_flag(item["is_warm"]),
        " ".join(item["obstacles"]) or "-",
    )


def format_vm(item: dict) -> tuple[str, ...]:
    """Return the cells of another entry VM."""
    return (
        item["name"],
        item["availability_zone"],
        format_number(item["cost_s"]),
        format_number(item["round_trip_s"] or None),
        f"{item['free']}/{item['slots']}",
        str(item["queued"]),
        format_number(item["summary_age_s"], 1),
        format_flag(item["is_warm"]),
        " ".join(item["obstacles"]) or "-",
    )


def format_number(value: float | None, digits: int = 3) -> str:
    """Return a number as text, `-` for None."""
    return "-" if value is None else f"{value:.{digits}f}"


def format_flag(value: bool | None) -> str:
    """Return a flag as text, `-` if it isn't known."""
    return "-" if value is None else "yes" if value else "no"
