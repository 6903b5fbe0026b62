"""Checks of settings beyond their types: addresses, places, files, replicas."""

import ipaddress
import os
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from camphorspread.connection.network import Address
from camphorspread.process.schema import Fault, shorten_value
from camphorspread.process.settings import ControlSettings, EntrySettings, Settings

__all__ = ["find_setting_faults"]

PORTS = range(1, 65536)
MIN_HEADER_BYTES, MAX_HEADER_BYTES = 1024, 1048576
MAX_MILLISECONDS = 3_600_000
MAX_CONNECTIONS = 100_000


def find_setting_faults(settings: Settings) -> Iterator[Fault]:
    """Yield every fault of settings whose fields have the right types.

    This reads the access key file and checks the permissions of the data folder.
    """
    listeners = {"peers": settings.peers, "operators": settings.operators}
    if isinstance(settings, EntrySettings):
        listeners["callers"] = settings.callers
        listeners["backend_servers"] = settings.backend_servers
    yield from find_address_faults(listeners)
    yield from find_replica_faults(settings)
    yield from find_limit_faults(settings)
    yield from find_file_faults(settings)
    match settings:
        case EntrySettings():
            yield from find_place_faults(settings)
            yield from find_block_faults(settings)
        case ControlSettings():
            if all(item.vm != settings.place.vm for item in settings.replicas):
                names = ", ".join(item.vm for item in settings.replicas)
                yield Fault(
                    "settings.place.vm", shorten_value(settings.place.vm), f"one of {names}"
                )


def find_address_faults(listeners: dict[str, Address]) -> Iterator[Fault]:
    """Yield addresses of listeners that are invalid or given twice."""
    for name, address in listeners.items():
        yield from check_address(address, f"settings.{name}")
    counts = Counter(listeners.values())
    for name, address in listeners.items():
        if counts[address] > 1:
            allowed = "an address that no other listener has"
            yield Fault(f"settings.{name}", str(address), allowed)


def check_address(address: Address, path: str) -> Iterator[Fault]:
    """Yield the faults of one address."""
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        yield Fault(f"{path}.host", shorten_value(address.host), "an IP address")
    if address.port not in PORTS:
        yield Fault(f"{path}.port", str(address.port), f"{PORTS.start} to {PORTS.stop - 1}")


def find_replica_faults(settings: Settings) -> Iterator[Fault]:
    """Yield faults of the list of control processes."""
    count = len(settings.replicas)
    if count % 2 == 0:
        yield Fault("settings.replicas", f"a list of {count}", "an odd number of control processes")
    yield from find_repeated_names([item.vm for item in settings.replicas], "settings.replicas")
    for position, item in enumerate(settings.replicas):
        yield from check_address(item.peers, f"settings.replicas[{position}].peers")
        yield from check_address(item.operators, f"settings.replicas[{position}].operators")


def find_repeated_names(names: list[str], path: str) -> Iterator[Fault]:
    """Yield names that a list gives more than once."""
    for name, count in Counter(names).items():
        if count > 1:
            yield Fault(path, f"{count} times {name!r}", "each VM once")


def find_limit_faults(settings: Settings) -> Iterator[Fault]:
    """Yield limits out of range."""
    limits = settings.limits
    ranges = (
        ("header_bytes", limits.header_bytes, MIN_HEADER_BYTES, MAX_HEADER_BYTES),
        ("connections_per_peer", limits.connections_per_peer, 1, MAX_CONNECTIONS),
        ("idle_ms", limits.idle_ms, 1, MAX_MILLISECONDS),
        ("progress_ms", limits.progress_ms, 1, MAX_MILLISECONDS),
    )
    for name, value, low, high in ranges:
        if not low <= value <= high:
            yield Fault(f"settings.limits.{name}", str(value), f"{low} to {high}")
    if isinstance(settings, EntrySettings) and not 0 <= settings.trace_sampling <= 1:
        yield Fault("settings.trace_sampling", str(settings.trace_sampling), "0 to 1")


def find_file_faults(settings: Settings) -> Iterator[Fault]:
    """Yield faults of the access key file and the data folder."""
    path = "settings.access_key_file"
    try:
        if not Path(settings.access_key_file).read_bytes().strip():
            yield Fault(path, shorten_value(settings.access_key_file), "a file that isn't empty")
    except OSError as exc:
        yield Fault(
            path, shorten_value(settings.access_key_file), f"a readable file ({exc.strerror})"
        )
    folder = Path(settings.data_folder)
    if not folder.is_dir():
        yield Fault("settings.data_folder", shorten_value(str(folder)), "an existing folder")
    elif not os.access(folder, os.W_OK | os.X_OK):
        yield Fault(
            "settings.data_folder", shorten_value(str(folder)), "a folder that can be written"
        )


def find_place_faults(settings: EntrySettings) -> Iterator[Fault]:
    """Yield faults of the list of entry VMs and of this VM's own place."""
    place = settings.place
    yield from find_repeated_names([item.vm for item in settings.entry_vms], "settings.entry_vms")
    for position, item in enumerate(settings.entry_vms):
        path = f"settings.entry_vms[{position}]"
        yield from check_address(item.callers, f"{path}.callers")
        yield from check_address(item.peers, f"{path}.peers")
        for name in ("backend_servers", "operators"):
            if getattr(item, name) is not None:
                yield from check_address(getattr(item, name), f"{path}.{name}")
    own = next((item for item in settings.entry_vms if item.vm == place.vm), None)
    if own is None:
        names = ", ".join(item.vm for item in settings.entry_vms)
        allowed = f"one of settings.entry_vms: {names}"
        yield Fault("settings.place.vm", shorten_value(place.vm), allowed)
        return
    for name in ("availability_zone", "region"):
        listed, given = getattr(own, name), getattr(place, name)
        if given != listed:
            allowed = f"{listed!r}, as in settings.entry_vms"
            yield Fault(f"settings.place.{name}", shorten_value(given), allowed)
    for name in ("callers", "backend_servers", "peers", "operators"):
        listed, given = getattr(own, name), getattr(settings, name)
        if listed is not None and given != listed:
            yield Fault(f"settings.{name}", str(given), f"{listed}, as in settings.entry_vms")


def find_block_faults(settings: EntrySettings) -> Iterator[Fault]:
    """Yield client blocks that aren't networks."""
    for position, item in enumerate(settings.client_blocks):
        try:
            ipaddress.ip_network(item.block)
        except ValueError:
            path = f"settings.client_blocks[{position}].block"
            yield Fault(path, shorten_value(item.block), "a network such as 192.0.2.0/24")
