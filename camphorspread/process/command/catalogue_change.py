"""`camphorspread catalogue apply`, `drain` and `undrain`: change the catalogue."""

import asyncio
import json
import uuid
from datetime import timedelta
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.link import JsonResponse, LinkError
from camphorspread.process.command.check_catalogue import read_catalogue_file
from camphorspread.process.command.operator import Operator, UnreachableError
from camphorspread.process.command.output import FAILURE, CommandResult
from camphorspread.process.command.wait import wait_until_in_effect
from camphorspread.process.settings import FleetSettings
from camphorspread.version.catalogue import DrainEntry, DrainKind
from camphorspread.version.changes import Change, PutDrain, RemoveDrain, entry_version
from camphorspread.version.codec import decode_catalogue, decode_change_request, encode

__all__ = ["ChangeOptions", "apply_changes", "drain", "read_change_file", "send_change", "undrain"]

# A replica responds within 5 s, which includes forwarding to the leader.
SEND_TIMEOUT = timedelta(seconds=5)
RESEND_INTERVAL = timedelta(milliseconds=300)
# Each round tries every replica once. The pauses between the rounds alone last longer than an
# election, which takes up to 2.4 s.
MAX_ROUNDS = 12
RETRIED_ERRORS = frozenset({"not_leader", "no_quorum", "disk_full"})


@attrs.frozen
class ChangeOptions:
    """Options for sending a change.

    Attributes:
        operator: Name of the person or tool that makes the change, which the history records.
        change_id: Change identifier; generated if None.
        expected_version: Overrides the expected version in the file unless it is None.
        wait: Longest wait until the change is in effect on all VMs; None doesn't wait.
    """

    operator: str
    change_id: str | None = None
    expected_version: int | None = None
    wait: timedelta | None = None


def read_change_file(path: Path, options: ChangeOptions) -> Result[tuple, tuple[str, ...]]:
    """Read a file with a change request, a change or a whole catalogue.

    Returns:
        Change requests in JSON form, each with a change identifier, or all faults.
    """
    try:
        value = json.loads(path.read_bytes())
    except OSError as exc:
        return Failure((f"{path}: {exc.strerror}",))
    except ValueError as exc:
        return Failure((f"{path}: no valid JSON: {exc}",))
    if isinstance(value, dict) and ("regions" in value or "services" in value):
        return read_catalogue_file(path).map(
            lambda requests: tuple(
                {**encode(item), "change_id": new_change_id(), "operator": options.operator}
                for item in requests
            )
        )
    if not isinstance(value, dict):
        return Failure((f"{path}: allowed: an object",))
    request = make_request(value if "change" in value else {"change": value}, options)
    match decode_change_request(request):
        case Failure(error):
            return Failure((f"{path}: {error.message}",))
        case _:
            return Success((request,))


def make_request(value: dict, options: ChangeOptions) -> dict:
    """Return a change request with defaults for the missing fields."""
    request = {"expected_version": 0, "operator": options.operator, **value}
    if options.expected_version is not None:
        request["expected_version"] = options.expected_version
    request["change_id"] = options.change_id or value.get("change_id") or new_change_id()
    return request


def new_change_id() -> str:
    """Return a random change identifier."""
    return str(uuid.uuid4())


async def apply_changes(
    operator: Operator, requests: tuple[dict, ...], options: ChangeOptions
) -> CommandResult:
    """Send changes one at a time and stop at the first that isn't accepted."""
    results, lines = [], []
    for request in requests:
        response = await send_change(operator, request)
        value = {"change_id": request["change_id"], **response.value}
        results.append(value)
        if response.status != 200:
            lines.append(f"not accepted: {value.get('message', response.status)}")
            return CommandResult({"changes": results}, "\n".join(lines), FAILURE)
        lines.append(f"accepted as version {value['version']}, change {value['change_id']}")
    summary = {"changes": results}
    if options.wait is None or not results:
        return CommandResult(summary, "\n".join(lines))
    delivery = await wait_until_in_effect(operator, results[-1]["version"], options.wait)
    lines.append(delivery.text)
    return CommandResult({**summary, "delivery": delivery.value}, "\n".join(lines), delivery.code)


async def send_change(operator: Operator, request: dict) -> JsonResponse:
    """Send a change repeatedly until a control process accepts or refuses it.

    If a response is lost, the change is sent again with the same change identifier, so that it is
    applied only once. The response of a follower names the leader, which is tried next.

    Raises:
        UnreachableError: No control process accepted or refused the change.
    """
    replicas = {item.vm: item for item in operator.fleet.replicas}
    order = list(replicas)
    for attempt in range(MAX_ROUNDS * len(order)):
        vm = order[attempt % len(order)]
        try:
            response = await operator.link.call(
                replicas[vm].operators, "POST", "/v1/catalogue/changes", request, SEND_TIMEOUT
            )
        except LinkError as exc:
            operator.report_skipped(vm, exc)
        else:
            error = response.value.get("error") if isinstance(response.value, dict) else None
            if error not in RETRIED_ERRORS:
                return response
            swap_to_next_attempt(order, find_leader(response.value, operator.fleet), attempt + 1)
        if (attempt + 1) % len(order) == 0:
            await asyncio.sleep(RESEND_INTERVAL.total_seconds())
    raise UnreachableError(
        "no control process accepted or refused the change; "
        f"send it again with --change-id {request['change_id']}"
    )


def find_leader(value: dict, fleet: FleetSettings) -> str | None:
    """Return the VM of the leader, found by its address in a follower's error response."""
    address = value.get("value")
    return next((item.vm for item in fleet.replicas if str(item.operators) == address), None)


def swap_to_next_attempt(order: list[str], leader: str | None, next_attempt: int) -> None:
    """Swap the leader into the position that is tried next."""
    if leader in order:
        position = next_attempt % len(order)
        current = order.index(leader)
        order[position], order[current] = order[current], order[position]


async def drain(
    operator: Operator, kind: str, name: str, owner: str, options: ChangeOptions
) -> CommandResult:
    """Drain a VM, availability zone or region, so that callers are routed elsewhere."""
    entry = DrainEntry(DrainKind(kind), name, owner)
    request = make_request({"change": encode(PutDrain(entry), Change)}, options)
    return await apply_changes(operator, (request,), options)


async def undrain(
    operator: Operator, kind: str, name: str, options: ChangeOptions
) -> CommandResult:
    """Remove the drain of a VM, availability zone or region."""
    change = RemoveDrain(DrainKind(kind), name)
    catalogue = decode_catalogue(await operator.fetch_newest("/v1/catalogue"))
    value = {
        "change": encode(change, Change),
        "expected_version": entry_version(catalogue, change),
    }
    return await apply_changes(operator, (make_request(value, options),), options)
