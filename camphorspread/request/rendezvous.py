"""Weighted rendezvous hashing: a stable choice that moves few keys when members change."""

import hashlib
import math
from collections.abc import Mapping

__all__ = ["order_by_rendezvous", "unit_hash"]

HASH_BYTES = 8
HASH_RANGE = 1 << (8 * HASH_BYTES)


def unit_hash(*parts: str) -> float:
    """Hash the parts to a number strictly between 0 and 1.

    Examples:
        >>> unit_hash("a", "b") == unit_hash("a", "b")
        True
    """
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE


def order_by_rendezvous(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the members in the preference order of a key.

    Over many keys each member comes first in proportion to its weight. When a member leaves, only
    the keys that preferred it move; when its weight changes, only keys that gain or lose by it do.

    Args:
        key: Key to be assigned, such as a client block.
        weights: Weight of each member; members of weight 0 come last.
    """

    def score(member: str) -> tuple[float, str]:
        weight = weights[member]
        # The logarithm of a number below 1 is negative, so the score increases with the weight.
        value = -weight / math.log(unit_hash(key, member)) if weight > 0 else 0.0
        return (-value, member)

    return sorted(weights, key=score)
