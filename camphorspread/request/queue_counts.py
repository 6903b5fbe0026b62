"""Numbers of queued requests by priority, from which the wait of another request is estimated."""

from collections import Counter

__all__ = ["Priority", "QueueCounts", "count_ahead", "count_queued", "remove_queued"]

# Priority in the queue, the most urgent first: 0 for an underserved organisation and 1 for others,
# the organisation's rank, and the route's.
Priority = tuple[int, int, int]
# Queued requests by what they wait for (a server or any server of a service), then by priority.
QueueCounts = dict[str, Counter[Priority]]


def count_queued(counts: QueueCounts, name: str, priority: Priority) -> None:
    """Count one more queued request."""
    counts.setdefault(name, Counter())[priority] += 1


def remove_queued(counts: QueueCounts, name: str, priority: Priority) -> None:
    """Remove a request that was counted with this priority."""
    queued = counts[name]
    queued[priority] -= 1
    if not queued[priority]:
        del queued[priority]
    if not queued:
        del counts[name]


def count_ahead(counts: QueueCounts, name: str, priority: Priority | None) -> int:
    """Return the number of queued requests with the same or a higher priority.

    Args:
        counts: Queued requests.
        name: What they wait for.
        priority: The priority; None counts all of them.

    Examples:
        >>> counts = {"status": Counter({(1, 0, 1): 2, (1, 1, 0): 3})}
        >>> count_ahead(counts, "status", (1, 0, 1)), count_ahead(counts, "status", None)
        (2, 5)
    """
    queued = counts.get(name)
    if not queued:
        return 0
    if priority is None:
        return queued.total()
    return sum(number for other, number in queued.items() if other <= priority)
