"""JSON encoding of quota renewals and of the responses to them."""

import contextlib
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.quota_shares import Pressure, QuotaGrant, QuotaNeed, QuotaRequest
from camphorspread.process.vm_record_codec import decode_address, encode_address

__all__ = [
    "QUOTA_PATH",
    "Granted",
    "QuotaResponse",
    "decode_quota_request",
    "decode_quota_response",
    "encode_grants",
    "encode_leader",
    "encode_quota_request",
]

QUOTA_PATH = "/v1/vm/quota"
MILLISECOND = timedelta(milliseconds=1)
# Larger numbers are no counts of requests or milliseconds.
MAX_NUMBER = 2**53


@attrs.frozen
class Granted:
    """The leader's response to a renewal.

    Attributes:
        revision: Revision of the routes whose limits were divided.
        grants: New shares by organisation.
    """

    revision: int
    grants: dict[str, QuotaGrant]


# What a control VM responds: grants of the leader, the address of the leader, or neither.
QuotaResponse = Granted | Address | None


def encode_quota_request(request: QuotaRequest, revision: int) -> dict[str, object]:
    """Return the JSON form of a renewal.

    Args:
        request: The renewal.
        revision: Revision of the routes in force at the VM.
    """
    return {
        "vm": request.vm,
        "incarnation": request.incarnation,
        "number": request.number,
        "age_ms": request.age // MILLISECOND,
        "revision": revision,
        "needs": {
            name: [need.demand, need.usual, need.used, need.held]
            for name, need in request.needs.items()
        },
        "returning": request.is_returning,
    }


def decode_quota_request(value: object) -> QuotaRequest:
    """Decode a renewal.

    Raises:
        ValueError: The value isn't a renewal.
    """
    match value:
        case {
            "vm": str(vm),
            "incarnation": incarnation,
            "number": number,
            "age_ms": age_ms,
            "needs": dict(needs),
            "returning": bool(is_returning),
        }:
            return QuotaRequest(
                vm,
                decode_count(incarnation),
                decode_count(number),
                decode_count(age_ms) * MILLISECOND,
                {str(name): decode_need(item) for name, item in needs.items()},
                is_returning,
            )
    raise ValueError("a renewal needs vm, incarnation, number, age_ms, needs and returning")


def decode_count(value: object) -> int:
    """Decode a number from 0 on.

    Raises:
        ValueError: The value isn't one.
    """
    if type(value) is not int or not 0 <= value < MAX_NUMBER:
        raise ValueError("a number of a renewal isn't a count")
    return value


def decode_need(value: object) -> QuotaNeed:
    """Decode the need of one organisation.

    Raises:
        ValueError: The value isn't a need.
    """
    match value:
        case [demand, usual, used, held]:
            return QuotaNeed(*map(decode_count, (demand, usual, used, held)))
    raise ValueError("a need is [demand, usual, used, held]")


def encode_grants(number: int, revision: int, grants: dict[str, QuotaGrant]) -> dict[str, object]:
    """Return the JSON form of the leader's response to a renewal."""
    return {
        "number": number,
        "revision": revision,
        "grants": {
            name: [grant.share, grant.usable, grant.pressure.value]
            for name, grant in grants.items()
        },
    }


def encode_leader(leader: Address | None) -> dict[str, object]:
    """Return the JSON form of a response that names the leader, if it is known."""
    return {"leader": leader and encode_address(leader)}


def decode_quota_response(value: object, number: int) -> QuotaResponse:
    """Decode the response to a renewal, None if it is malformed or for another one.

    Args:
        value: The response.
        number: Number of the renewal.
    """
    match value:
        case {"number": answered, "revision": revision, "grants": dict(grants)} if (
            answered == number
        ):
            try:
                return Granted(decode_count(revision), decode_grants(grants))
            except ValueError:
                return None
        case {"leader": [_, _] as leader}:
            return decode_address(leader)
    return None


def decode_grants(values: dict) -> dict[str, QuotaGrant]:
    """Decode grants; a malformed one leaves the others in force."""
    grants = {}
    for name, value in values.items():
        with contextlib.suppress(ValueError):
            grants[str(name)] = decode_grant(value)
    return grants


def decode_grant(value: object) -> QuotaGrant:
    """Decode a grant.

    Raises:
        ValueError: The value isn't a grant.
    """
    match value:
        case [share, usable, pressure]:
            level = Pressure(decode_count(pressure))
            return QuotaGrant(decode_count(share), decode_count(usable), level)
    raise ValueError("a grant is [share, usable, pressure]")
