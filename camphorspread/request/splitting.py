"""Weighted traffic split of a route among its services."""

import attrs

from camphorspread.version.routing import Route

__all__ = ["Splitter", "pick_service"]


@attrs.define(eq=False)
class Splitter:
    """Credits by route and service: the accumulated weight less the assigned requests."""

    credits: dict[str, dict[str, float]] = attrs.field(factory=dict)


def pick_service(splitter: Splitter, route: Route) -> str:
    """Return the service for the next request; any run of requests is split by weight.

    This is smooth weighted round-robin.

    Examples:
        >>> from datetime import timedelta
        >>> from camphorspread.version.routing import WeightedService
        >>> second = timedelta(seconds=1)
        >>> parts = (WeightedService("a", 3), WeightedService("b", 1))
        >>> route = Route("r", "h", "/", True, second, second, 0, parts)
        >>> splitter = Splitter()
        >>> [pick_service(splitter, route) for _ in range(4)]
        ['a', 'a', 'b', 'a']
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    if total <= 0:
        return route.targets[0].service
    balances = splitter.credits.setdefault(route.name, {})
    for name in [name for name in balances if all(part.service != name for part in route.targets)]:
        del balances[name]
    for part in route.targets:
        balances[part.service] = balances.get(part.service, 0.0) + part.weight / total
    chosen = max(route.targets, key=lambda part: balances[part.service]).service
    balances[chosen] -= 1.0
    return chosen
