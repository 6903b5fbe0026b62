"""Object affinity: the VMs and servers whose caches are warm for requests about an object."""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.request.placement_board import HomeCache, PlacementBoard
from camphorspread.request.rendezvous import order_by_rendezvous

__all__ = [
    "find_home_vms",
    "rank_instances",
]

# Summaries, which change the weights, arrive less often from each VM.
HOME_CACHE_TTL = timedelta(milliseconds=100)


def rank_instances(board: PlacementBoard, service: str, key: str) -> tuple[Instance, ...]:
    """Return the servers of a service in the preference order of an object, equal on all VMs."""
    if board.rankings_revision != board.registry.revision or len(board.rankings) > 20_000:
        board.rankings.clear()
        board.rankings_revision = board.registry.revision
    order = board.rankings.get((service, key))
    if order is None:
        by_name = {item.name: item for item in board.registry.by_service.get(service, ())}
        weights = {name: float(item.report.slots) for name, item in by_name.items()}
        names = order_by_rendezvous(f"{service}/{key}", weights)
        order = board.rankings[(service, key)] = tuple(by_name[name] for name in names)
    return order


def find_home_vms(
    board: PlacementBoard, service: str, key: str, slots: int, now: timedelta
) -> tuple[str, str]:
    """Return the home VMs of an object, to which requests about it are sent by preference.

    Args:
        board: State of servers and VMs.
        service: Name of the service.
        key: Key of the object.
        slots: Total slots of this VM's servers.
        now: Current monotonic time.

    Returns:
        The home in this region and the home in the other regions, each empty if there is none.
    """
    cache = board.homes.get(service)
    if cache is None or now >= cache.valid_until:
        near, far = weigh_vms(board, service, slots, now)
        if cache is None or (near, far) != (cache.near, cache.far):
            cache = board.homes[service] = HomeCache(near, far)
        cache.valid_until = now + HOME_CACHE_TTL
    homes = cache.homes.get(key)
    if homes is None:
        homes = cache.homes[key] = (
            order_by_rendezvous(f"{service}/{key}", cache.near)[0],
            order_by_rendezvous(f"{service}/{key}", cache.far)[0] if cache.far else "",
        )
    return homes


def weigh_vms(
    board: PlacementBoard, service: str, slots: int, now: timedelta
) -> tuple[dict[str, float], dict[str, float]]:
    """Return the slots of the VMs of this region, and those of the VMs of other regions."""
    near = {board.vm: float(slots)}
    far: dict[str, float] = {}
    for peer in board.peers.values():
        load = peer.loads.get(service)
        if load is not None and load.slots and now < peer.alive_until:
            weights = near if peer.region == board.region else far
            weights[peer.vm] = float(load.slots)
    return near, far
