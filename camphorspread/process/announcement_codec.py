"""JSON encoding of announcements that control VMs and entry VMs forward to entry VMs."""

from datetime import timedelta

from camphorspread.connection.network import make_ip_address
from camphorspread.process.instances import LAST_SEQUENCE, InstanceReport

__all__ = ["decode_leave", "decode_report", "encode_leave", "encode_report"]

MILLISECOND = timedelta(milliseconds=1)


def encode_report(report: InstanceReport) -> dict:
    """Return the JSON of an announcement."""
    return {
        "instance": report.instance,
        "service": report.service,
        "host": report.address.host,
        "port": report.address.port,
        "availability_zone": report.availability_zone,
        "slots": report.slots,
        "is_leaving": report.is_leaving,
        "cold_ms": report.cold_for // MILLISECOND,
        "started_ms": report.started_ms,
        "sequence": report.sequence,
    }


def decode_report(value: object) -> InstanceReport:
    """Decode an announcement.

    Raises:
        ValueError: The value is malformed.
    """
    try:
        report = InstanceReport(
            str(value["instance"]),
            str(value["service"]),
            make_ip_address(str(value["host"]), int(value["port"])),
            str(value["availability_zone"]),
            int(value["slots"]),
            bool(value["is_leaving"]),
            value["cold_ms"] * MILLISECOND,
            int(value["started_ms"]),
            int(value["sequence"]),
        )
    except (KeyError, TypeError, OverflowError) as exc:
        raise ValueError(f"the announcement is malformed: {exc}") from exc
    numbers = (report.started_ms, report.sequence)
    if report.slots < 1 or not all(0 <= number < LAST_SEQUENCE for number in numbers):
        raise ValueError("the announcement is malformed: a number is out of range")
    return report


def encode_leave(name: str, order: tuple[int, int] | None) -> dict:
    """Return the JSON of a departure; `order` is None if no announcement reported it."""
    return {"instance": name, "order": list(order) if order else None}


def decode_leave(value: object) -> tuple[str, tuple[int, int] | None]:
    """Decode a departure.

    Raises:
        ValueError: The value is malformed.
    """
    match value:
        case {"instance": str(name), "order": None}:
            return name, None
        case {"instance": str(name), "order": [int(started), int(sequence)]}:
            return name, (started, sequence)
    raise ValueError("the departure is malformed")
