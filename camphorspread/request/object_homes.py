"""Where requests about one object meet, so that servers which know it get them."""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.request.placement_board import PlacementBoard
from camphorspread.request.rendezvous import order_by_rendezvous

__all__ = [
    "find_homes",
    "find_order",
]


def find_order(board: PlacementBoard, service: str, key: str) -> tuple[Instance, ...]:
    """Return the servers of a service in the order for an object, the same on every VM."""
    if board.orders_at != board.registry.changes or len(board.orders) > 20_000:
        board.orders.clear()
        board.orders_at = board.registry.changes
    order = board.orders.get((service, key))
    if order is None:
        known = {item.name: item for item in board.registry.by_service.get(service, ())}
        weights = {name: float(item.report.slots) for name, item in known.items()}
        names = order_by_rendezvous(f"{service}/{key}", weights)
        order = board.orders[(service, key)] = tuple(known[name] for name in names)
    return order


def find_homes(
    board: PlacementBoard, service: str, key: str, slots: int, now: timedelta
) -> tuple[str, str]:
    """Return the VMs at which requests about an object should meet.

    Args:
        board: State of servers and VMs.
        service: Name of the service.
        key: The object.
        slots: Slots of this VM's servers.
        now: The present instant.

    Returns:
        Its home among the VMs of this region, and its home in the other regions; empty if none.
    """
    near = {board.vm: float(slots)}
    far: dict[str, float] = {}
    for peer in board.peers.values():
        load = peer.loads.get(service)
        if load is not None and load.slots and now < peer.alive_until:
            part = near if peer.region == board.region else far
            part[peer.vm] = float(load.slots)
    known = (service, tuple(near.items()), tuple(far.items()))
    cache = board.homes.get(service)
    if cache is None or cache[0] != known:
        cache = board.homes[service] = (known, {})
    homes = cache[1].get(key)
    if homes is None:
        homes = cache[1][key] = (
            order_by_rendezvous(f"{service}/{key}", near)[0],
            order_by_rendezvous(f"{service}/{key}", far)[0] if far else "",
        )
    return homes
