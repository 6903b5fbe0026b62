"""Organisations of a soak run: their keys and limits, and the requests of their callers."""

import random

import attrs

from soak.fleet import ZONES

__all__ = [
    "CHANGING_KEYS",
    "FIRST_OWNERS",
    "KEY_MARK",
    "NEAR_REGIONS",
    "STEADY_KEYS",
    "UNKNOWN_KEY",
    "CallerRequest",
    "draw_organisations",
    "draw_request",
    "find_limit",
    "find_owner",
    "find_regions",
    "list_keys",
]

# Part of every key, so that a key is found in a header or a log line.
KEY_MARK = "soakkey-"
STEADY_KEYS = {name: f"{KEY_MARK}{name}-1" for name in ("kelp", "coral", "reef", "tide")}
CHANGING_KEYS = {name: f"{KEY_MARK}{name}-2" for name in ("coral", "tide")}
UNKNOWN_KEY = f"{KEY_MARK}unknown"
# The organisation that has each key before any keys are swapped.
FIRST_OWNERS = {key: name for keys in (STEADY_KEYS, CHANGING_KEYS) for name, key in keys.items()}
# Callers of coral send about 60 requests per second, those of reef about 20.
RATES = {"coral": (8.0, 20.0, 40.0), "reef": (2.0, 4.0, 10.0)}
BURSTS = {"coral": 10, "reef": 2}
# A lower limit is judged only if it stays for some ten seconds; submissions are about 3 s apart.
KEY_CHANGE_PROBABILITY = 0.4
LIMIT_CHANGE_PROBABILITY = 0.4
REGIONS = tuple(dict.fromkeys(zone[:-2] for zone in ZONES))
# Regions of the only route that lists some. The organisations with lists may have others.
NEAR_REGIONS = REGIONS[:1]
ORGANISATIONS_WITH_REGIONS = ("coral", "tide")
REGION_CHANGE_PROBABILITY = 0.4
# The callers that must be served again after the repair use the key of the remaining organisation.
SWAPPED_ORGANISATIONS = ("coral", "reef", "tide")
SWAP_PROBABILITY = 0.25
CALLER_KEYS = (
    *[STEADY_KEYS["kelp"]] * 6,
    *[STEADY_KEYS["coral"]] * 4,
    *[CHANGING_KEYS["coral"]] * 2,
    *[STEADY_KEYS["reef"]] * 2,
    STEADY_KEYS["tide"],
    *[CHANGING_KEYS["tide"]] * 2,
    UNKNOWN_KEY,
    "",
)


@attrs.frozen
class CallerRequest:
    """A request that a caller is about to send.

    Attributes:
        method: Its method.
        target: Its target.
        key: Key that it carries, empty for none.
        is_public: True if its route is public.
        regions: Regions that its route lists, empty for none.
    """

    method: str
    target: str
    key: str
    is_public: bool
    regions: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """True if it may run more than once."""
        return self.method == "GET"

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Its key, and a claim to an organisation that must not reach an endpoint."""
        claim = (b"tenant", b"claimed")
        if not self.key:
            return (claim,)
        return (claim, (b"authorization", b"Token " + self.key.encode()))


def draw_request(rng: random.Random) -> CallerRequest:
    """Draw a caller's request."""
    key = rng.choice(CALLER_KEYS)
    kind = rng.random()
    if kind < 0.1:
        return CallerRequest("GET", "/open/x", key, True)
    if kind < 0.2:
        return CallerRequest("GET", "/near/x", key, False, NEAR_REGIONS)
    if kind < 0.7:
        return CallerRequest("GET", "/read/x", key, False)
    return CallerRequest("POST", "/file/x", key, False)


def draw_organisations(rng: random.Random, previous: list[dict]) -> list[dict]:
    """Draw the organisations of the next configuration: their values change now and then.

    Args:
        rng: Random source.
        previous: Organisations of the previous configuration, empty for the first one.
    """
    organisations = []
    held = list_keys({"tenants": previous}) or {*CHANGING_KEYS.values()}
    first_owners = draw_swap(rng, previous)
    for priority, name in enumerate(STEADY_KEYS):
        key = STEADY_KEYS[first_owners[name]]
        changing = CHANGING_KEYS.get(first_owners[name])
        has_changing = (changing in held) is not (rng.random() < KEY_CHANGE_PROBABILITY)
        keys = [key, changing] if changing and has_changing else [key]
        organisation = {"name": name, "apiKeys": keys, "priority": priority}
        if name in RATES:
            is_changed = not previous or rng.random() < LIMIT_CHANGE_PROBABILITY
            rate = rng.choice(RATES[name]) if is_changed else previous[priority]["ratePerS"]
            organisation |= {"ratePerS": rate, "burst": BURSTS[name]}
        if name in ORGANISATIONS_WITH_REGIONS:
            is_changed = not previous or rng.random() < REGION_CHANGE_PROBABILITY
            drawn = rng.sample(REGIONS, rng.randrange(len(REGIONS)))
            regions = drawn if is_changed else previous[priority]["allowedRegions"]
            organisation |= {"allowedRegions": regions}
        organisations.append(organisation)
    return organisations


def draw_swap(rng: random.Random, previous: list[dict]) -> dict[str, str]:
    """Return whose keys each organisation has; two of them swap theirs now and then.

    Args:
        rng: Random source.
        previous: Organisations of the previous configuration, empty for the first one.
    """
    first_owners = {item["name"]: FIRST_OWNERS[item["apiKeys"][0]] for item in previous}
    if not previous:
        return {name: name for name in STEADY_KEYS}
    if rng.random() < SWAP_PROBABILITY:
        one, other = rng.sample(SWAPPED_ORGANISATIONS, 2)
        first_owners[one], first_owners[other] = first_owners[other], first_owners[one]
    return first_owners


def list_keys(content: dict) -> set[str]:
    """Return all keys of a configuration."""
    return {key for item in content.get("tenants", ()) for key in item["apiKeys"]}


def find_owner(content: dict, key: str) -> str:
    """Return the name of the organisation that has a key, empty if none has it."""
    owners = (item["name"] for item in content.get("tenants", ()) if key in item["apiKeys"])
    return next(owners, "")


def find_limit(content: dict, name: str) -> tuple[float, float] | None:
    """Return the rate and burst of an organisation, None without a limit."""
    for item in content.get("tenants", ()):
        if item["name"] == name and item.get("ratePerS"):
            return item["ratePerS"], item["burst"]
    return None


def find_regions(content: dict, name: str, route_regions: tuple[str, ...]) -> set[str]:
    """Return the regions in which a request may run.

    Args:
        content: The configuration.
        name: Name of its organisation, empty for none.
        route_regions: Regions that its route lists, empty for none.
    """
    own = [item for item in content.get("tenants", ()) if item["name"] == name]
    lists = [route_regions, *(item.get("allowedRegions", ()) for item in own)]
    return set(REGIONS).intersection(*(listed for listed in lists if listed))
