"""Steps for the table of client blocks."""

import ipaddress
import random

from behave import given, then, when

from camphorspread.process.client_blocks import (
    Block,
    build_table,
    find_site,
    mask,
    merge_step,
    needs_merge,
    parse_block,
    remove_block,
    set_block,
)

SITES = 150


def make_random_block(rng):
    # Few possible starts per length, so that blocks overlap and changes hit existing blocks.
    bits = rng.choice((32, 64))
    length = rng.randint(4, 16 if bits == 32 else 20)
    return Block(bits, mask(rng.getrandbits(bits), bits, length), length)


def make_random_address(rng):
    if rng.random() < 0.5:
        return str(ipaddress.IPv4Address(rng.getrandbits(32)))
    return str(ipaddress.IPv6Address(rng.getrandbits(128)))


def search_linearly(expected, address):
    parsed = ipaddress.ip_address(address)
    bits = 32 if parsed.version == 4 else 64
    value = int(parsed) if bits == 32 else int(parsed) >> 64
    for length in range(bits, -1, -1):
        site = expected.get(Block(bits, mask(value, bits, length), length))
        if site is not None:
            return site
    return None


@given("{count:d} random blocks of both address families with seed {seed:d}")
def step_random_blocks(context, count, seed):
    context.rng = random.Random(seed)
    context.expected = {
        make_random_block(context.rng): context.rng.randrange(SITES) for _ in range(count)
    }
    context.blocks = build_table(context.expected.items())
    context.blocks.merge_threshold = 64


@when("{count:d} random blocks are set or removed, with merge steps of {entries:d} entries between")
def step_change_blocks(context, count, entries):
    steps = 0
    for _ in range(count):
        block = make_random_block(context.rng)
        if context.rng.random() < 0.3:
            context.expected.pop(block, None)
            remove_block(context.blocks, block)
        else:
            context.expected[block] = context.rng.randrange(SITES)
            set_block(context.blocks, block, context.expected[block])
        if needs_merge(context.blocks) and context.rng.random() < 0.01:
            merge_step(context.blocks, entries)
            steps += 1
    assert steps > 10, steps


@then("{count:d} random addresses have the same site as in a search of all blocks")
def step_compare_search(context, count):
    for _ in range(count):
        address = make_random_address(context.rng)
        expected = search_linearly(context.expected, address)
        assert find_site(context.blocks, address) == expected, address
    while merge_step(context.blocks):
        pass
    for _ in range(count):
        address = make_random_address(context.rng)
        expected = search_linearly(context.expected, address)
        assert find_site(context.blocks, address) == expected, address


@when('the block "{text}" is read')
def step_read_block(context, text):
    context.parsed = parse_block(text)


@then('it is refused because it "{fault}"')
def step_block_refused(context, fault):
    assert fault in context.parsed.failure(), context.parsed
