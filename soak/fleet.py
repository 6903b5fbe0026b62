"""Processes of a soak run: control VMs and entry VMs, each on its own loopback address."""

import contextlib
import errno
import os
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs

from camphorspread.connection.network import Address

__all__ = ["ZONES", "Node", "SoakFleet", "reserve_network"]

ZONES = ("sofia-a", "plovdiv-a", "varna-a", "sofia-b", "plovdiv-b", "varna-b")
CONTROL_PORT, LOOKUP_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT = 8649, 8644, 8641, 8640, 7620
SEED_COUNT = 3
# Port that no process listens on; a socket that is bound to it reserves a network.
RESERVATION_PORT = 8600
NETWORKS = range(10, 210)
REPOSITORY = Path(__file__).parent.parent


@contextlib.contextmanager
def reserve_network(seed: int) -> Iterator[int]:
    """Reserve the loopback network of a soak and return its second octet.

    Two soaks with the same seed at the same time would otherwise use the same addresses, and the
    processes of the second one can't listen.

    Raises:
        OSError: No network is free.
    """
    first = seed % len(NETWORKS)
    for octet in (*NETWORKS[first:], *NETWORKS[:first]):
        with socket.socket() as reservation:
            try:
                reservation.bind((f"127.{octet}.0.1", RESERVATION_PORT))
            except OSError as exc:
                if exc.errno != errno.EADDRINUSE:
                    raise
                continue
            yield octet
            return
    raise OSError(errno.EADDRINUSE, "another soak runs in each loopback network")


@attrs.define(eq=False)
class Node:
    """A process under test and its address.

    Attributes:
        name: Name of its VM.
        zone: Its availability zone.
        host: Its loopback address.
        is_control: True for a control VM.
        process: The running process; None while it is down.
        is_suspended: True between SIGSTOP and SIGCONT.
        is_first_start: True until the process has been started once.
    """

    name: str
    zone: str
    host: str
    is_control: bool
    process: subprocess.Popen | None = None
    is_suspended: bool = False
    is_first_start: bool = True

    @property
    def is_up(self) -> bool:
        """True if the process runs and isn't suspended."""
        return self.process is not None and self.process.poll() is None and not self.is_suspended


@attrs.define(eq=False)
class SoakFleet:
    """All processes of a soak run.

    Attributes:
        folder: Folder of the settings, data folders and logs.
        second_octet: Second octet of the loopback addresses; differs so that several soaks can run
            at once.
        is_strict: True if VMs without contact to control VMs accept no keys.
        revocation_limit_s: Time without contact after which they don't.
        nodes: The processes, by name.
        is_without_controls: True while no control VM may be started.
    """

    folder: Path
    second_octet: int
    is_strict: bool = False
    revocation_limit_s: float = 5.0
    nodes: dict[str, Node] = attrs.field(factory=dict)
    is_without_controls: bool = False

    def add_all(self) -> None:
        """Add a control VM and an entry VM for each zone."""
        for number, zone in enumerate(ZONES, start=1):
            for is_control in (True, False):
                host = f"127.{self.second_octet}.{number}.{1 if is_control else 2}"
                name = f"{'core' if is_control else 'front'}-{zone}"
                self.nodes[name] = Node(name, zone, host, is_control)

    def list_nodes(self, is_control: bool) -> list[Node]:
        """Return the control VMs or the entry VMs."""
        return [node for node in self.nodes.values() if node.is_control is is_control]

    def start(self, node: Node) -> None:
        """Write the settings file of a process and start it."""
        settings = self.folder / f"{node.name}.conf"
        settings.write_text("\n".join(self.list_settings(node)) + "\n")
        with (self.folder / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, "-m", "camphorspread", "platform-node"],
                cwd=REPOSITORY,
                env={**os.environ, "CAMPHORSPREAD_NODE_FILE": str(settings)},
                stdout=log,
                stderr=log,
            )
        node.is_first_start = node.is_suspended = False

    def list_settings(self, node: Node) -> list[str]:
        """Return the lines of a settings file."""
        seeds = [item.host for item in self.list_nodes(is_control=True)[:SEED_COUNT]]
        lines = [
            f"self.node={node.name}",
            f"self.serves={'control,directory' if node.is_control else 'front'}",
            f"self.ip={node.host}",
            f"self.zone={node.zone}",
            f"self.region={node.zone[:-2]}",
            f"self.bootstrap={'true' if node.is_first_start else 'false'}",
            "self.limits.maxFds=1024",
            f"network.internalPortRange={INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "network.seeds=" + ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds),
            "provider.heartbeatMs=1500",
            "terms.faultTolerance.machines=2",
            f"terms.bounds.strictRevoke={'true' if self.is_strict else 'false'}",
            f"terms.bounds.revokeMs={self.revocation_limit_s * 1000:.0f}",
            *(f"network.zones.{zone}={zone[:-2]}" for zone in ZONES),
        ]
        if node.is_control:
            return [
                *lines,
                f"self.dataDir={self.data_folder(node)}",
                f"network.listen.control={node.host}:{CONTROL_PORT}",
                f"network.listen.directory={node.host}:{LOOKUP_PORT}",
            ]
        return [
            *lines,
            f"network.listen.front={node.host}:{FRONT_PORT}",
            f"network.listen.ready={node.host}:{READY_PORT}",
        ]

    def data_folder(self, node: Node) -> Path:
        """Return the data folder of a control VM."""
        return self.folder / f"data-{node.name}"

    def kill(self, node: Node) -> None:
        """Kill a process and wait until it has exited."""
        if node.process is not None:
            node.process.kill()
            node.process.wait()
        node.process, node.is_suspended = None, False

    def suspend(self, node: Node) -> None:
        """Suspend a process with SIGSTOP."""
        node.process.send_signal(signal.SIGSTOP)
        node.is_suspended = True

    def resume(self, node: Node) -> None:
        """Resume a suspended process."""
        if node.is_suspended and node.process is not None:
            node.process.send_signal(signal.SIGCONT)
        node.is_suspended = False

    def delete_data(self, node: Node) -> None:
        """Delete the data folder of a control VM that is down, as if its disk were lost."""
        shutil.rmtree(self.data_folder(node), ignore_errors=True)

    def append_torn_record(self, node: Node) -> None:
        """Append a torn record to the log of a control VM that is down."""
        log = self.data_folder(node) / "log"
        if log.exists():
            with log.open("ab") as file:
                file.write(b"\x00\x00\x01")

    def find_sender(self, source: Address, target: Address) -> str:
        """Return the entry VM that has a connection, empty if its process has ended.

        All processes connect from the same loopback address, so the socket tells them apart.

        Args:
            source: Address from which the VM connected.
            target: Address to which it connected.
        """
        ends = [encode_socket_address(source), encode_socket_address(target)]
        for line in Path("/proc/net/tcp").read_text().splitlines():
            fields = line.split()
            if fields[1:3] == ends:
                link = f"socket:[{fields[9]}]"
                nodes = self.list_nodes(is_control=False)
                return next((node.name for node in nodes if has_open_file(node, link)), "")
        return ""

    def control_address(self, node: Node) -> Address:
        """Return the address where a control VM accepts operator requests."""
        return Address(node.host, CONTROL_PORT)


def encode_socket_address(address: Address) -> str:
    """Return an address as in the kernel's table of TCP sockets."""
    return f"{socket.inet_aton(address.host)[::-1].hex().upper()}:{address.port:04X}"


def has_open_file(node: Node, link: str) -> bool:
    """Return True if a process has an open file with this name."""
    if node.process is None:
        return False
    # The process may end, or close a file, meanwhile.
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{node.process.pid}/fd"):
            with contextlib.suppress(OSError):
                if os.readlink(entry.path) == link:
                    return True
    return False
