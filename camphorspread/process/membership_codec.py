"""JSON encoding of heartbeats and summaries."""

from datetime import timedelta

from camphorspread.connection.network import Address
from camphorspread.process.fleet import VmRecord, VmState
from camphorspread.process.liveness import StatedRecord, Summary

__all__ = [
    "decode_digest",
    "decode_heartbeat",
    "encode_digest",
    "encode_heartbeat",
]


def encode_heartbeat(stated: StatedRecord, now: timedelta) -> dict[str, object]:
    """Return the JSON form of a stated record; the start time is encoded as the uptime."""
    record = stated.record
    return {
        "vm": record.vm,
        "availability_zone": record.availability_zone,
        "region": record.region,
        "callers": [record.callers.host, record.callers.port],
        "peers": [record.peers.host, record.peers.port],
        "backend_servers": encode_address(record.backend_servers),
        "incarnation": record.incarnation,
        "state": record.state.value,
        "uptime_ms": int((now - stated.started).total_seconds() * 1000),
        "slots": {
            service: [
                record.free_slots.get(service, 0),
                total,
                record.offered_per_second.get(service, 0),
            ]
            for service, total in record.total_slots.items()
        },
        "catalogue_version": record.catalogue_version,
    }


def decode_heartbeat(value: object, now: timedelta) -> tuple[StatedRecord, timedelta]:
    """Decode a stated record and its uptime.

    Raises:
        ValueError: The value isn't a valid record.
    """
    match value:
        case {
            "vm": str(vm),
            "availability_zone": str(zone),
            "region": str(region),
            "callers": [str(callers_host), int(callers_port)],
            "peers": [str(peers_host), int(peers_port)],
            "backend_servers": backend_servers,
            "incarnation": str(incarnation),
            "state": str(state),
            "uptime_ms": int(uptime_ms),
            "slots": dict(slots),
            "catalogue_version": int(version),
        }:
            record = VmRecord(
                vm,
                zone,
                region,
                Address(callers_host, callers_port),
                Address(peers_host, peers_port),
                incarnation,
                VmState(state),
                free_slots={service: int(load[0]) for service, load in slots.items()},
                total_slots={service: int(load[1]) for service, load in slots.items()},
                catalogue_version=version,
                backend_servers=decode_address(backend_servers),
                offered_per_second={service: int(load[2]) for service, load in slots.items()},
            )
            uptime = timedelta(milliseconds=uptime_ms)
            return StatedRecord(record, now - uptime), uptime
    raise ValueError("the heartbeat has a missing or invalid field")


def encode_address(address: Address | None) -> list | None:
    """Return the JSON form of an address, None if the address isn't known."""
    return None if address is None else [address.host, address.port]


def decode_address(value: object) -> Address | None:
    """Decode an address or None.

    Raises:
        ValueError: The value is neither an address nor None.
    """
    match value:
        case None:
            return None
        case [str(host), int(port)]:
            return Address(host, port)
    raise ValueError("the heartbeat has an invalid address")


def encode_digest(sender: str, summaries: tuple[Summary, ...], now: timedelta) -> object:
    """Return the JSON form of a digest; summaries are compact lists, as most have no members."""
    return {
        "sender": sender,
        "summaries": [
            [
                item.availability_zone,
                item.source,
                item.incarnation,
                item.sequence,
                int(item.is_full),
                [encode_heartbeat(member, now) for member in item.members],
            ]
            for item in summaries
        ],
    }


def decode_digest(value: object, now: timedelta) -> tuple[str, tuple[Summary, ...]]:
    """Decode the sender and the summaries of a digest.

    Raises:
        ValueError: The value isn't a valid digest.
    """
    match value:
        case {"sender": str(sender), "summaries": list(summaries)}:
            return sender, tuple(decode_summary(item, now) for item in summaries)
    raise ValueError("a digest needs sender and summaries")


def decode_summary(value: object, now: timedelta) -> Summary:
    """Decode one summary.

    Raises:
        ValueError: The value isn't a valid summary.
    """
    match value:
        case [str(zone), str(source), str(incarnation), int(sequence), 0 | 1 as is_full, members]:
            decoded = tuple(decode_heartbeat(item, now)[0] for item in members)
            return Summary(zone, source, incarnation, sequence, bool(is_full), decoded)
    raise ValueError("the summary has a missing or invalid field")
