"""The platform's settings file: lines of `name=value`, lists joined by commas."""

from collections.abc import Callable
from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.network import Address
from camphorspread.process.settings import PlaceSettings
from camphorspread.process.steering_settings import (
    ControlVmSettings,
    EntryVmSettings,
    FleetBounds,
    SteeringSettings,
)

__all__ = ["SETTINGS_PATH_VARIABLE", "decode_settings", "parse_address"]

SETTINGS_PATH_VARIABLE = "CAMPHORSPREAD_NODE_FILE"
# Ports of the internal range, counted from its first one. Both roles may share a VM.
ENTRY_PEERS, CONTROL_PEERS = range(2)
# The deploy file names these ports, so they can't follow the range, which differs by deployment.
ENTRY_METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465
ZONE_PREFIX = "network.zones."
# Descriptors that the platform reserves for files outside the data folder.
RESERVED_DESCRIPTORS = 200


def parse_address(text: str) -> Address:
    """Read `host:port`.

    Raises:
        ValueError: The text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} isn't host:port")
    return Address(host, int(port))


@attrs.define
class FieldReader:
    """Reads fields and collects all faults.

    Attributes:
        fields: Values by name.
        faults: What is wrong, a line for each field.
    """

    fields: dict[str, str]
    faults: list[str] = attrs.field(factory=list)

    def read(self, name: str, convert: Callable, allowed: str, default: object = None) -> object:
        """Return a converted field; a missing one is a fault unless it has a default."""
        text = self.fields.get(name, "")
        if not text:
            if default is None:
                self.faults.append(f"{name} is missing; allowed: {allowed}")
            return default
        try:
            return convert(text)
        except ValueError:
            self.faults.append(f"{name} is {text!r}; allowed: {allowed}")
            return default


def parse_flag(text: str) -> bool:
    """Read true or false."""
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def parse_seeds(text: str) -> tuple[Address, ...]:
    """Read addresses joined by commas."""
    return tuple(parse_address(item) for item in text.split(",") if item)


def parse_ports(text: str) -> int:
    """Read a range of ports and return its first one."""
    first, last = (int(part) for part in text.split(","))
    if not 0 < first <= last - CONTROL_PEERS:
        raise ValueError(text)
    return first


def milliseconds(text: str) -> timedelta:
    """Read a time in milliseconds."""
    return timedelta(milliseconds=float(text))


def seconds(text: str) -> timedelta:
    """Read a time in seconds."""
    return timedelta(seconds=float(text))


def parse_lines(text: str) -> dict[str, str]:
    """Return the fields of a settings file; lines without a name are passed over."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, separator, value in pairs if separator}


def decode_settings(text: str) -> Result[SteeringSettings, tuple[str, ...]]:
    """Read a settings file.

    Returns:
        The settings, or all faults.
    """
    reader = FieldReader(parse_lines(text))
    place = PlaceSettings(
        reader.read("self.node", str, "a name", ""),
        reader.read("self.zone", str, "a zone"),
        reader.read("self.region", str, "a region"),
    )
    host = reader.read("self.ip", str, "an IP address")
    first_port = reader.read("network.internalPortRange", parse_ports, "first,last port", 0)
    serves = reader.fields.get("self.serves", "").split(",")
    role = decode_role(reader, "front" in serves)
    is_entry = isinstance(role, EntryVmSettings)
    peers = Address(host or "", first_port + (ENTRY_PEERS if is_entry else CONTROL_PEERS))
    metrics = Address(peers.host, ENTRY_METRICS_PORT if is_entry else CONTROL_METRICS_PORT)
    seeds = reader.read("network.seeds", parse_seeds, "addresses joined by commas", ())
    regions = {
        name.removeprefix(ZONE_PREFIX): region
        for name, region in reader.fields.items()
        if name.startswith(ZONE_PREFIX)
    }
    bounds = decode_bounds(reader)
    if reader.faults:
        return Failure(tuple(reader.faults))
    return Success(
        SteeringSettings(
            place, role, peers, seeds, first_port + CONTROL_PEERS, metrics, regions, bounds
        )
    )


def decode_role(reader: FieldReader, is_entry: bool) -> EntryVmSettings | ControlVmSettings:
    """Read what only one kind of VM has."""
    if is_entry:
        descriptors = reader.read("self.limits.maxFds", int, "a whole number", 1024)
        return EntryVmSettings(
            reader.read("network.listen.front", parse_address, "host:port"),
            reader.read("network.listen.ready", parse_address, "host:port"),
            descriptors - RESERVED_DESCRIPTORS,
        )
    lookups = reader.fields.get("network.listen.directory")
    return ControlVmSettings(
        reader.read("network.listen.control", parse_address, "host:port"),
        reader.read("network.listen.directory", parse_address, "host:port") if lookups else None,
        reader.read("self.dataDir", str, "a folder"),
        reader.read("self.bootstrap", parse_flag, "true or false", False),
    )


def decode_bounds(reader: FieldReader) -> FleetBounds:
    """Read the bounds; missing ones keep the product's own values."""
    own = FleetBounds()

    def bound(name: str, convert: Callable, default: object) -> object:
        return reader.read(f"terms.bounds.{name}", convert, "a number", default)

    return FleetBounds(
        lost_disks=reader.read("terms.faultTolerance.machines", int, "a number", own.lost_disks),
        announcement_interval=reader.read(
            "provider.heartbeatMs", milliseconds, "a number", own.announcement_interval
        ),
        contact_window=bound("contactWindowMs", milliseconds, own.contact_window),
        drain_limit=bound("drainMs", milliseconds, own.drain_limit),
        stop_limit=bound("graceS", seconds, own.stop_limit),
        retry_ratio=bound("retryBudgetRatio", float, own.retry_ratio),
        retry_window=bound("budgetWindowS", seconds, own.retry_window),
        retry_slack=bound("budgetSlack", lambda text: int(float(text)), own.retry_slack),
        cold_overage=bound("coldOverage", float, own.cold_overage),
        cold_slack=bound("coldTolerance", float, own.cold_slack),
        lookup_ttl_limit=bound("ttl_max_s", seconds, own.lookup_ttl_limit),
        region_shift_limit=bound("maxRegionShift", float, own.region_shift_limit),
    )
