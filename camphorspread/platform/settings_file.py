"""The platform's settings file: lines of `name=value`, lists separated by commas."""

from collections.abc import Callable
from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.network import Address, make_ip_address
from camphorspread.process.settings import PlaceSettings
from camphorspread.process.steering_settings import (
    ControlVmSettings,
    EntryVmSettings,
    FleetBounds,
    SteeringSettings,
)

__all__ = ["SETTINGS_PATH_VARIABLE", "decode_settings", "parse_address"]

SETTINGS_PATH_VARIABLE = "CAMPHORSPREAD_NODE_FILE"
# Port offsets in the internal range. They differ because both roles may run on one VM.
ENTRY_PORT_OFFSET, CONTROL_PORT_OFFSET = range(2)
# Fixed, since the deploy file names these ports and the internal range differs by deployment.
ENTRY_METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465
ZONE_PREFIX = "network.zones."
MEGABYTE = 1_000_000
# The product's own setting, which the platform doesn't write.
SCARCE_SERVICES = "camphorspread.scarceServices"
# File descriptors that the platform reserves for files outside the data folder.
RESERVED_DESCRIPTORS = 200


def parse_address(text: str) -> Address:
    """Parse an IP address and a port, `host:port`.

    Raises:
        ValueError: The text isn't an IP address and a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} isn't host:port")
    return make_ip_address(host, int(port))


@attrs.define
class FieldReader:
    """Converts fields and collects the faults of all of them.

    Attributes:
        fields: Values by name.
        faults: One message for each missing or invalid field.
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
        except (ValueError, OverflowError):
            self.faults.append(f"{name} is {text!r}; allowed: {allowed}")
            return default


def parse_flag(text: str) -> bool:
    """Parse `true` or `false`."""
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def parse_seeds(text: str) -> tuple[Address, ...]:
    """Parse addresses that are separated by commas."""
    return tuple(parse_address(item) for item in text.split(",") if item)


def parse_ports(text: str) -> int:
    """Parse a range of ports, `first,last`, and return the first port."""
    first, last = (int(part) for part in text.split(","))
    if not 0 < first <= last - CONTROL_PORT_OFFSET:
        raise ValueError(text)
    return first


def parse_milliseconds(text: str) -> timedelta:
    """Parse a duration in milliseconds."""
    return timedelta(milliseconds=float(text))


def parse_seconds(text: str) -> timedelta:
    """Parse a duration in seconds."""
    return timedelta(seconds=float(text))


def parse_megabytes(text: str) -> int:
    """Parse a size in megabytes, which must be positive, and return it in bytes."""
    size = int(text) * MEGABYTE
    if size <= 0:
        raise ValueError(text)
    return size


def parse_names(text: str) -> frozenset[str]:
    """Parse names that are separated by commas; none of them may be empty."""
    names = frozenset(item.strip() for item in text.split(","))
    if "" in names:
        raise ValueError(text)
    return names


def parse_lines(text: str) -> dict[str, str]:
    """Return the fields of a settings file; lines without `=` are ignored."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, separator, value in pairs if separator}


def decode_settings(text: str) -> Result[SteeringSettings, tuple[str, ...]]:
    """Decode a settings file.

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
    peers = Address(
        host or "", first_port + (ENTRY_PORT_OFFSET if is_entry else CONTROL_PORT_OFFSET)
    )
    metrics = Address(peers.host, ENTRY_METRICS_PORT if is_entry else CONTROL_METRICS_PORT)
    seeds = reader.read("network.seeds", parse_seeds, "addresses separated by commas", ())
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
            place, role, peers, seeds, first_port + CONTROL_PORT_OFFSET, metrics, regions, bounds
        )
    )


def decode_role(reader: FieldReader, is_entry: bool) -> EntryVmSettings | ControlVmSettings:
    """Decode the settings of the VM's role."""
    if is_entry:
        descriptors = reader.read("self.limits.maxFds", int, "a whole number", 1024)
        has_memory_limit = bool(reader.fields.get("self.limits.memoryMb"))
        return EntryVmSettings(
            reader.read("network.listen.front", parse_address, "host:port"),
            reader.read("network.listen.ready", parse_address, "host:port"),
            descriptors - RESERVED_DESCRIPTORS,
            reader.read("self.limits.memoryMb", parse_megabytes, "a whole number above 0")
            if has_memory_limit
            else None,
            reader.read(SCARCE_SERVICES, parse_names, "services separated by commas", frozenset()),
        )
    lookups = reader.fields.get("network.listen.directory")
    return ControlVmSettings(
        reader.read("network.listen.control", parse_address, "host:port"),
        reader.read("network.listen.directory", parse_address, "host:port") if lookups else None,
        reader.read("self.dataDir", str, "a folder"),
        reader.read("self.bootstrap", parse_flag, "true or false", False),
    )


def decode_bounds(reader: FieldReader) -> FleetBounds:
    """Decode the bounds; missing ones get the product's default values."""
    defaults = FleetBounds()

    def bound(name: str, convert: Callable, default: object) -> object:
        return reader.read(f"terms.bounds.{name}", convert, "a number", default)

    return FleetBounds(
        lost_disks=reader.read(
            "terms.faultTolerance.machines", int, "a number", defaults.lost_disks
        ),
        announcement_interval=reader.read(
            "provider.heartbeatMs", parse_milliseconds, "a number", defaults.announcement_interval
        ),
        contact_window=bound("contactWindowMs", parse_milliseconds, defaults.contact_window),
        drain_limit=bound("drainMs", parse_milliseconds, defaults.drain_limit),
        stop_limit=bound("graceS", parse_seconds, defaults.stop_limit),
        retry_ratio=bound("retryBudgetRatio", float, defaults.retry_ratio),
        retry_window=bound("budgetWindowS", parse_seconds, defaults.retry_window),
        retry_slack=bound("budgetSlack", lambda text: int(float(text)), defaults.retry_slack),
        cold_rate_factor=bound("coldOverage", float, defaults.cold_rate_factor),
        cold_rate_slack=bound("coldTolerance", float, defaults.cold_rate_slack),
        lookup_ttl_limit=bound("ttl_max_s", parse_seconds, defaults.lookup_ttl_limit),
        region_shift_limit=bound("maxRegionShift", float, defaults.region_shift_limit),
        quota_window=bound("quotaWindowS", parse_seconds, defaults.quota_window),
        quota_overage=bound("quotaOverage", float, defaults.quota_overage),
        quota_tolerance=bound(
            "quotaTolerance", lambda text: int(float(text)), defaults.quota_tolerance
        ),
        revocation_limit=bound("revokeMs", parse_milliseconds, timedelta(seconds=5))
        if reader.read("terms.bounds.strictRevoke", parse_flag, "true or false", False)
        else None,
    )
