"""Maps blocks of client addresses to their nearest site by longest prefix match.

Each prefix length has sorted arrays of block starts and site numbers, so that 4.6 million blocks
take some tens of megabytes, where one object for each block would take gigabytes.
"""

import socket
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator

import attrs
from returns.result import Failure, Result, Success

__all__ = [
    "MERGE_ENTRIES",
    "Block",
    "BlockTable",
    "build_table",
    "find_site",
    "get_placement_block",
    "merge_step",
    "needs_merge",
    "parse_address",
    "parse_block",
    "remove_block",
    "set_block",
]

IPV4_BITS = 32
# Of an IPv6 address only the network half is kept, which fits an unsigned 64-bit array.
IPV6_BITS = 64
IPV4_PLACEMENT_LENGTH = 24
IPV6_PLACEMENT_LENGTH = 48
SITE_BITS = 16
REMOVED = 0xFFFF
MAX_SITES = REMOVED
# Changes wait in a dict until there are enough to justify copying the arrays of a prefix length.
MERGE_THRESHOLD = 4096
MERGE_ENTRIES = 16384
# Applying one change costs about as much as copying this many consecutive entries.
CHANGE_COST_ENTRIES = 64


@attrs.frozen
class Block:
    """A block of client addresses.

    Attributes:
        bits: 32 for IPv4, 64 for the network half of IPv6.
        start: First address as a whole number of `bits` bits.
        length: Prefix length.
    """

    bits: int
    start: int
    length: int


@attrs.define(eq=False)
class Merge:
    """An incremental merge of changes into new arrays.

    Attributes:
        changes: Sorted starts and sites that are merged.
        position: Entries of the old arrays that have been copied or dropped.
        next_change: Changes that have been applied.
        starts: The new starts so far.
        sites: The new sites so far.
    """

    changes: list[tuple[int, int]]
    starts: array
    sites: array
    position: int = 0
    next_change: int = 0


@attrs.define(eq=False)
class LengthTable:
    """All blocks of one prefix length.

    Attributes:
        starts: Sorted starts.
        sites: Site number of each start.
        changes: Sites by start that the arrays don't hold yet; `REMOVED` for a removed block.
        merging: Changes that a running merge puts into new arrays.
        merge: The running merge, or None.
    """

    starts: array
    sites: array = attrs.field(factory=lambda: array("H"))
    changes: dict[int, int] = attrs.field(factory=dict)
    merging: dict[int, int] = attrs.field(factory=dict)
    merge: Merge | None = None

    def find(self, start: int) -> int:
        """Return the site of the block with this start, or `REMOVED`."""
        for recent in (self.changes, self.merging):
            if recent and start in recent:
                return recent[start]
        position = bisect_left(self.starts, start)
        if position < len(self.starts) and self.starts[position] == start:
            return self.sites[position]
        return REMOVED


@attrs.define(eq=False)
class BlockTable:
    """Blocks of client addresses by address family and prefix length.

    Attributes:
        lengths: Tables by bits of the address and prefix length.
        longest_first: Prefix lengths in use by bits of the address.
        merge_threshold: Changes of one prefix length that wait before a merge begins.

    Examples:
        >>> table = BlockTable()
        >>> set_block(table, parse_block("10.0.0.0/8").unwrap(), 1)
        >>> set_block(table, parse_block("10.1.0.0/16").unwrap(), 2)
        >>> [find_site(table, item) for item in ("10.1.2.3", "10.2.2.3", "192.0.2.1")]
        [2, 1, None]
    """

    lengths: dict[int, dict[int, LengthTable]] = attrs.field(
        factory=lambda: {IPV4_BITS: {}, IPV6_BITS: {}}
    )
    longest_first: dict[int, list[int]] = attrs.field(
        factory=lambda: {IPV4_BITS: [], IPV6_BITS: []}
    )
    merge_threshold: int = MERGE_THRESHOLD


def parse_address(text: str) -> tuple[int, int] | None:
    """Return the bit width and value of an address, or None if it isn't an IP address."""
    try:
        return IPV4_BITS, int.from_bytes(socket.inet_pton(socket.AF_INET, text), "big")
    except OSError:
        pass
    try:
        packed = socket.inet_pton(socket.AF_INET6, text)
    except OSError:
        return None
    return IPV6_BITS, int.from_bytes(packed[: IPV6_BITS // 8], "big")


def get_placement_block(address: str) -> str:
    """Return the block by which requests of an address are placed: its /24 or, for IPv6, its /48.

    Text that isn't an address is returned unchanged, as a block of its own.
    """
    parsed = parse_address(address)
    if parsed is None:
        return address
    bits, value = parsed
    length = IPV4_PLACEMENT_LENGTH if bits == IPV4_BITS else IPV6_PLACEMENT_LENGTH
    return f"{mask(value, bits, length):x}/{length}"


def parse_block(text: str) -> Result[Block, str]:
    """Read a block such as `10.1.0.0/16`.

    Returns:
        The block, or a message that says what is invalid.
    """
    address_text, _, length_text = text.partition("/")
    address = parse_address(address_text)
    if address is None or not length_text.isdigit():
        return Failure(f"{text!r} isn't an IP network such as 10.1.0.0/16")
    bits, value = address
    length = int(length_text)
    if length > bits:
        return Failure(f"the prefix of {text!r} is longer than {bits} bits")
    if value != mask(value, bits, length):
        return Failure(f"{text!r} has bits set beyond its prefix")
    return Success(Block(bits, value, length))


def mask(value: int, bits: int, length: int) -> int:
    """Return the value with the bits beyond the prefix cleared."""
    host_bits = bits - length
    return (value >> host_bits) << host_bits


def set_block(table: BlockTable, block: Block, site: int) -> None:
    """Add a block or change its site.

    Args:
        table: The table to change.
        block: The block.
        site: Site number below `MAX_SITES`.
    """
    get_length_table(table, block).changes[block.start] = site


def get_length_table(table: BlockTable, block: Block) -> LengthTable:
    """Return the table for the prefix length of a block; create it if needed."""
    tables = table.lengths[block.bits]
    length_table = tables.get(block.length)
    if length_table is None:
        type_code = "I" if block.bits == IPV4_BITS else "Q"
        length_table = tables[block.length] = LengthTable(array(type_code))
        table.longest_first[block.bits] = sorted(tables, reverse=True)
    return length_table


def build_table(blocks: Iterable[tuple[Block, int]]) -> BlockTable:
    """Return a table of many blocks; used at process start.

    Args:
        blocks: Distinct blocks with their site numbers.
    """
    table = BlockTable()
    for block, site in blocks:
        length_table = get_length_table(table, block)
        length_table.starts.append(block.start)
        length_table.sites.append(site)
    for length_table in list_length_tables(table):
        sort_entries(length_table)
    return table


def sort_entries(length_table: LengthTable) -> None:
    """Sort the arrays by start.

    Start and site are packed into one number, since a list of pairs needs three times the memory.
    """
    pairs = zip(length_table.starts, length_table.sites, strict=True)
    packed = sorted((start << SITE_BITS) | site for start, site in pairs)
    type_code = length_table.starts.typecode
    length_table.starts = array(type_code, (item >> SITE_BITS for item in packed))
    length_table.sites = array("H", (item & REMOVED for item in packed))


def remove_block(table: BlockTable, block: Block) -> None:
    """Remove a block; addresses in it then belong to the next shorter prefix."""
    if block.length in table.lengths[block.bits]:
        set_block(table, block, REMOVED)


def find_site(table: BlockTable, address: str) -> int | None:
    """Return the site of the longest prefix that contains the address, or None."""
    parsed = parse_address(address)
    if parsed is None:
        return None
    bits, value = parsed
    tables = table.lengths[bits]
    for length in table.longest_first[bits]:
        site = tables[length].find(mask(value, bits, length))
        if site != REMOVED:
            return site
    return None


def needs_merge(table: BlockTable) -> bool:
    """Return True if any prefix length has a running merge or enough changes for one."""
    return any(is_due(table, length_table) for length_table in list_length_tables(table))


def merge_step(table: BlockTable, entries: int = MERGE_ENTRIES) -> bool:
    """Advance one merge by about `entries` entries at most.

    A merge of a large table takes many calls. Between them the event loop serves lookups from the
    old arrays and the pending changes.

    Returns:
        True if there is more to do.
    """
    for length_table in list_length_tables(table):
        if is_due(table, length_table):
            advance_merge(length_table, entries)
            return needs_merge(table)
    return False


def list_length_tables(table: BlockTable) -> Iterator[LengthTable]:
    """Return the tables of all prefix lengths."""
    for tables in table.lengths.values():
        yield from tables.values()


def is_due(table: BlockTable, length_table: LengthTable) -> bool:
    """Return True if a merge is running or enough changes wait for one."""
    return length_table.merge is not None or len(length_table.changes) >= table.merge_threshold


def advance_merge(length_table: LengthTable, entries: int) -> None:
    """Start a merge if none is running, copy some entries, and finish it when all are copied."""
    merge = length_table.merge
    if merge is None:
        length_table.merging, length_table.changes = length_table.changes, {}
        empty = array(length_table.starts.typecode)
        merge = Merge(sorted(length_table.merging.items()), empty, array("H"))
        length_table.merge = merge
    copied = 0
    while copied < entries and not is_merged(length_table, merge):
        copied += copy_run(length_table, merge, entries - copied)
    if is_merged(length_table, merge):
        length_table.starts, length_table.sites = merge.starts, merge.sites
        length_table.merging, length_table.merge = {}, None


def is_merged(length_table: LengthTable, merge: Merge) -> bool:
    """Return True if all old entries and all changes are in the new arrays."""
    return merge.position >= len(length_table.starts) and merge.next_change >= len(merge.changes)


def copy_run(length_table: LengthTable, merge: Merge, entries: int) -> int:
    """Copy old entries up to the next change, then apply it; return the cost in entries."""
    limit = min(merge.position + entries, len(length_table.starts))
    if merge.next_change >= len(merge.changes):
        return copy_entries(length_table, merge, limit)
    start, site = merge.changes[merge.next_change]
    end = bisect_left(length_table.starts, start, merge.position)
    if end > limit:
        return copy_entries(length_table, merge, limit)
    copied = copy_entries(length_table, merge, end)
    if end < len(length_table.starts) and length_table.starts[end] == start:
        merge.position += 1
    if site != REMOVED:
        merge.starts.append(start)
        merge.sites.append(site)
    merge.next_change += 1
    return copied + CHANGE_COST_ENTRIES


def copy_entries(length_table: LengthTable, merge: Merge, end: int) -> int:
    """Copy old entries up to a position; return their number."""
    begin = merge.position
    merge.starts.extend(length_table.starts[begin:end])
    merge.sites.extend(length_table.sites[begin:end])
    merge.position = end
    return end - begin
