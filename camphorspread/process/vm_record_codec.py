"""JSON encoding of the records of entry VMs in polls and their responses."""

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm

__all__ = ["decode_address", "decode_vm", "encode_address", "encode_vm"]


def encode_address(address: Address) -> list:
    """Return the JSON form of host and port."""
    return [address.host, address.port]


def decode_address(value: list) -> Address:
    """Decode host and port."""
    host, port = value
    return Address(str(host), int(port))


def encode_vm(vm: EntryVm) -> dict:
    """Return the JSON form of the record of an entry VM."""
    return {
        "vm": vm.vm,
        "incarnation": vm.incarnation,
        "zone": vm.availability_zone,
        "region": vm.region,
        "callers": encode_address(vm.callers),
        "peers": encode_address(vm.peers),
        "accepting": vm.is_accepting,
        "leaving": vm.is_leaving,
        "rate": round(vm.caller_rate, 1),
    }


def decode_vm(value: object) -> EntryVm | None:
    """Decode the record of an entry VM; return None if it is malformed."""
    try:
        return EntryVm(
            str(value["vm"]),
            int(value["incarnation"]),
            str(value["zone"]),
            str(value["region"]),
            decode_address(value["callers"]),
            decode_address(value["peers"]),
            bool(value["accepting"]),
            bool(value["leaving"]),
            float(value["rate"]),
        )
    except (KeyError, TypeError, ValueError):
        return None
