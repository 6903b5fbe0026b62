"""Hands endpoints and once keys of a leaving entry VM over to its successor."""

import asyncio
import base64
from collections.abc import Iterator
from datetime import timedelta

import attrs
from cattrs.preconf.json import make_converter
from returns.result import Failure, Result, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import LinkError
from camphorspread.connection.messages import ResponseHead
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.process.ledger import (
    KeptResponse,
    LedgerRecord,
    OutcomeUnknown,
    RequestShape,
    ResponseTooLarge,
    Running,
    close_ledger,
    take_over_records,
)
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.once_key import (
    HomeIdentity,
    OnceKey,
    format_once_key,
    parse_once_key,
)

__all__ = [
    "HANDOVER_PATH",
    "HandedEndpoint",
    "Handover",
    "choose_successors",
    "decode_handover",
    "encode_handover",
    "hand_over",
    "serve_handover",
    "split_handover",
]

HANDOVER_PATH = "/v1/peer/handover"
HANDOVER_TIMEOUT = timedelta(seconds=2)
# Messages between processes are limited to 1 MiB; this leaves room for the overhead of encoding.
MAX_PART_BYTES = 262144
RECORD_OVERHEAD_BYTES = 512
ENDPOINTS_PER_PART = 1000
CONVERTER = make_converter()
CONVERTER.register_unstructure_hook(bytes, lambda data: base64.b64encode(data).decode())
CONVERTER.register_structure_hook(bytes, lambda text, _: base64.b64decode(text, validate=True))


@attrs.frozen
class HandedEndpoint:
    """An endpoint that its owner has released, and the slots that its requests still use."""

    service: str
    endpoint: str
    in_use: int


@attrs.frozen
class Handover:
    """What a leaving VM hands over, whole or in part.

    Attributes:
        home: Incarnation of the leaving VM.
        successor: VM that serves its once keys from now on.
        endpoints: Endpoints that it has released.
        records: Ledger records of its once keys.
    """

    home: HomeIdentity
    successor: str
    endpoints: tuple[HandedEndpoint, ...] = ()
    records: dict[OnceKey, LedgerRecord] = attrs.field(factory=dict)


def choose_successors(fleet: FleetView) -> list[VmRecord]:
    """Return the candidate successors in the region, the preferred one first."""
    own = fleet.own
    candidates = [
        vm
        for vm in fleet.vms.values()
        if vm.region == own.region and vm.vm != own.vm and vm.state is VmState.ALIVE
    ]
    return sorted(candidates, key=lambda vm: (vm.availability_zone != own.availability_zone, vm.vm))


def split_handover(handover: Handover) -> Iterator[Handover]:
    """Split a handover into one or more parts that each fit into a message."""
    for start in range(0, len(handover.endpoints), ENDPOINTS_PER_PART):
        chunk = handover.endpoints[start : start + ENDPOINTS_PER_PART]
        yield Handover(handover.home, handover.successor, chunk)
    part: dict[OnceKey, LedgerRecord] = {}
    size = 0
    for key, record in handover.records.items():
        added = RECORD_OVERHEAD_BYTES + count_kept_bytes(record)
        if part and size + added > MAX_PART_BYTES:
            yield Handover(handover.home, handover.successor, (), part)
            part, size = {}, 0
        part[key] = record
        size += added
    yield Handover(handover.home, handover.successor, (), part)


def count_kept_bytes(record: LedgerRecord) -> int:
    """Return the approximate size of the request and response in a record, in bytes."""
    size = len(record.shape.target)
    match record.state:
        case KeptResponse(head=head, body=body):
            return size + len(body) + sum(len(name) + len(value) for name, value in head.headers)
    return size


def encode_handover(handover: Handover) -> object:
    """Return the JSON form of a handover."""
    return {
        "home": CONVERTER.unstructure(handover.home),
        "successor": handover.successor,
        "endpoints": CONVERTER.unstructure(handover.endpoints),
        "records": [
            {
                "key": format_once_key(key),
                "shape": CONVERTER.unstructure(record.shape),
                "state": encode_state(record),
            }
            for key, record in handover.records.items()
        ],
    }


def encode_state(record: LedgerRecord) -> object:
    """Return the JSON form of the state of a request."""
    match record.state:
        case KeptResponse(head=head, body=body):
            return {"head": CONVERTER.unstructure(head), "body": CONVERTER.unstructure(body)}
        case ResponseTooLarge():
            return "too_large"
        case OutcomeUnknown() | Running():
            return "unknown"


def decode_handover(value: object) -> Result[Handover, Refusal]:
    """Decode a handover; return a refusal if it is invalid."""
    try:
        return Success(
            Handover(
                CONVERTER.structure(value["home"], HomeIdentity),
                str(value["successor"]),
                CONVERTER.structure(value["endpoints"], tuple[HandedEndpoint, ...]),
                dict(decode_record(item) for item in value["records"]),
            )
        )
    except Exception:
        message = "the handover has a missing or invalid field"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))


def decode_record(value: dict) -> tuple[OnceKey, LedgerRecord]:
    """Decode a once key and its ledger record."""
    key = parse_once_key(value["key"].encode()).unwrap()
    shape = CONVERTER.structure(value["shape"], RequestShape)
    match value["state"]:
        case "too_large":
            state = ResponseTooLarge()
        case "unknown":
            state = OutcomeUnknown()
        case {"head": head, "body": body}:
            structured = CONVERTER.structure(head, ResponseHead)
            state = KeptResponse(structured, CONVERTER.structure(body, bytes))
        case other:
            raise ValueError(f"unknown state {other!r}")
    return key, LedgerRecord(shape, state)


async def hand_over(state: EntryState) -> bool:
    """Release all endpoints, close the ledger and send both to a successor.

    Returns:
        False if no VM of the region accepted them; repeated requests with once keys of this VM
        then end with outcome unknown.
    """
    state.is_handed_over = True
    endpoints = tuple(release_endpoints(state))
    records = close_ledger(state.ledger)
    for vm in choose_successors(state.fleet):
        handover = Handover(state.ledger.home, vm.vm, endpoints, records)
        try:
            for part in split_handover(handover):
                await send_part(state, vm, part)
        except LinkError as exc:
            state.log.write(Event.HANDOVER_FAILED, successor=vm.vm, cause=str(exc))
            continue
        state.log.write(
            Event.HANDOVER_SENT, successor=vm.vm, endpoints=len(endpoints), keys=len(records)
        )
        await announce_successor(state, vm.vm)
        return True
    return False


def release_endpoints(state: EntryState) -> Iterator[HandedEndpoint]:
    """Stop sending to all endpoints and yield them."""
    for service, endpoints in state.registry.services.items():
        for name, endpoint in endpoints.items():
            endpoint.is_released = True
            yield HandedEndpoint(service, name, endpoint.in_use)


async def send_part(state: EntryState, vm: VmRecord, part: Handover) -> None:
    """Send one part of a handover.

    Raises:
        LinkError: The VM didn't accept it.
    """
    value = encode_handover(part)
    response = await state.link.call(vm.peers, "POST", HANDOVER_PATH, value, HANDOVER_TIMEOUT)
    if response.status != 200:
        raise LinkError(f"the successor responded with status {response.status}")


async def announce_successor(state: EntryState, successor: str) -> None:
    """Notify the other VMs which VM serves this VM's once keys from now on.

    A VM that misses the message forwards requests to this VM and reports it as unreachable.
    """
    notice = Handover(state.ledger.home, successor)
    others = [vm for vm in state.fleet.vms.values() if vm.vm not in (state.fleet.own_vm, successor)]
    sending = (send_part(state, vm, notice) for vm in others if vm.state is not VmState.LOST)
    for result in await asyncio.gather(*sending, return_exceptions=True):
        if isinstance(result, LinkError):
            state.log.write(Event.HANDOVER_FAILED, successor=successor, cause=str(result))


async def serve_handover(state: EntryState, exchange: Exchange) -> None:
    """Serve `POST /v1/peer/handover`."""
    match decode_handover(await exchange.read_json()):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
        case Success(handover):
            pass
    if handover.successor == state.fleet.own_vm:
        if state.is_leaving:
            refusal = Refusal(ErrorKind.LEAVING, "this VM is leaving too")
            await exchange.refuse(refusal)
            return
        accept_handover(state, handover)
    state.successors[handover.home] = handover.successor
    await exchange.respond_json(200, {"taken": True})


def accept_handover(state: EntryState, handover: Handover) -> None:
    """Add the endpoints and ledger records that a leaving VM handed over."""
    now = state.clock.monotonic()
    take_over_records(state.ledger, handover.home, handover.records, now)
    former = f"{handover.home.vm}/{handover.home.incarnation}"
    for item in handover.endpoints:
        state.handed_over_slots[item.service, item.endpoint, former] = item.in_use
    state.log.write(
        Event.HANDOVER_RECEIVED,
        home=handover.home.vm,
        endpoints=len(handover.endpoints),
        keys=len(handover.records),
    )
