"""JSON encoding of the records of entry VMs in polls and their responses."""

from camphorspread.connection.network import Address, make_ip_address
from camphorspread.process.entry_vms import EntryVm

__all__ = ["decode_address", "decode_vm", "encode_address", "encode_vm"]

# Errors of conversions of a JSON value that has another form than expected.
CONVERSION_ERRORS = (KeyError, TypeError, ValueError, OverflowError)


def encode_address(address: Address) -> list:
    """Return the JSON form of host and port."""
    return [address.host, address.port]


def decode_address(value: object) -> Address | None:
    """Decode host and port; return None if they are malformed."""
    try:
        host, port = value
        return make_ip_address(str(host), int(port))
    except CONVERSION_ERRORS:
        return None


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
        callers, peers = decode_address(value["callers"]), decode_address(value["peers"])
        if callers is None or peers is None:
            return None
        return EntryVm(
            str(value["vm"]),
            int(value["incarnation"]),
            str(value["zone"]),
            str(value["region"]),
            callers,
            peers,
            bool(value["accepting"]),
            bool(value["leaving"]),
            float(value["rate"]),
        )
    except CONVERSION_ERRORS:
        return None
