"""JSON encoding of share renewals."""

from camphorspread.version.share_allocator import RenewalRequest
from camphorspread.version.shares import RenewalDemand, ShareKey, ShareKind

__all__ = ["decode_amounts", "decode_renewal", "encode_amounts", "encode_renewal"]


def encode_key(key: ShareKey) -> str:
    """Encode a key as `kind/region/service`."""
    return f"{key.kind.value}/{key.region}/{key.service}"


def decode_key(text: str) -> ShareKey:
    """Decode a key from `kind/region/service`.

    Raises:
        ValueError: The text isn't a key.
    """
    kind, region, service = text.split("/")
    return ShareKey(ShareKind(kind), region, service)


def encode_renewal(request: RenewalRequest) -> dict[str, object]:
    """Return the JSON form of a request."""
    return {
        "vm": request.vm,
        "incarnation": request.incarnation,
        "number": request.number,
        "holds": request.holds,
        "demand": {
            encode_key(key): [item.used, item.refused, item.running]
            for key, item in request.demand.items()
        },
        "returning": request.is_returning,
    }


def decode_renewal(value: object) -> RenewalRequest:
    """Decode a request.

    Raises:
        ValueError: The value isn't a request.
    """
    match value:
        case {
            "vm": str(vm),
            "incarnation": str(incarnation),
            "number": int(number),
            "holds": int(holds),
            "demand": dict(demand),
            "returning": bool(is_returning),
        }:
            decoded = {decode_key(key): decode_demand(item) for key, item in demand.items()}
            return RenewalRequest(vm, incarnation, number, holds, decoded, is_returning)
    raise ValueError("a renewal needs vm, incarnation, number, holds, demand and returning")


def decode_demand(value: object) -> RenewalDemand:
    """Decode the demand for one key.

    Raises:
        ValueError: The value isn't a demand.
    """
    match value:
        case [int(used), int(refused), int(running)]:
            return RenewalDemand(max(used, 0), max(refused, 0), max(running, 0))
    raise ValueError("a demand is [used, refused, running]")


def encode_amounts(amounts: dict[ShareKey, int]) -> dict[str, int]:
    """Return the JSON form of granted amounts."""
    return {encode_key(key): amount for key, amount in amounts.items()}


def decode_amounts(value: dict[str, int]) -> dict[ShareKey, int]:
    """Decode granted amounts.

    Raises:
        ValueError: A name isn't a key.
    """
    return {decode_key(text): int(amount) for text, amount in value.items()}
