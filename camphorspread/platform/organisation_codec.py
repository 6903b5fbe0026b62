"""Decodes the organisations of the platform's JSON configuration.

No error contains a key: errors go to operators and into logs.
"""

import math
from collections.abc import Iterator

from camphorspread.connection.messages import is_header_value
from camphorspread.version.organisations import Organisation, OrganisationTable

__all__ = ["build_organisations", "contains_key", "parse_flag"]

KEYS_FIELD = "apiKeys"
# Part of a key that identifies it in an error, which may contain the beginning of a long value.
PROBE_LENGTH = 16
# A higher rate or burst is no limit: no deployment gets as many requests, and counts of requests in
# messages are below 2**53.
MAX_AMOUNT = 1e9


def build_organisations(value: object) -> OrganisationTable:
    """Build the organisations from their JSON value, None if the configuration has none.

    Raises:
        ValueError: An entry can't be read; the text names it, without its keys.
    """
    if value is None:
        return OrganisationTable()
    if not isinstance(value, list):
        raise ValueError("tenants isn't a list")
    return OrganisationTable(
        tuple(build_organisation(item, number) for number, item in enumerate(value, start=1))
    )


def build_organisation(value: object, number: int) -> Organisation:
    """Build one organisation.

    Args:
        value: JSON value of the organisation.
        number: Its position in the list, for errors.
    """
    if not isinstance(value, dict):
        raise ValueError(f"organisation number {number} isn't an object")
    name = value.get("name")
    if not isinstance(name, str) or not is_header_value(name):
        raise ValueError(f"organisation number {number} has no name that fits in a header")
    keys = parse_strings(value, KEYS_FIELD, name)
    if not all(is_header_value(key) and len(key.split()) == 1 for key in keys):
        raise ValueError(f"organisation {name}: a key is empty or has spaces or controls")
    return Organisation(
        name,
        keys,
        parse_priority(value, name),
        *parse_limit(value, name),
        parse_strings(value, "allowedRegions", name),
    )


def parse_strings(value: dict, field: str, name: str) -> tuple[str, ...]:
    """Return an optional field that is a list of strings."""
    items = value.get(field)
    if items is None:
        return ()
    if not isinstance(items, list) or not all(isinstance(item, str) for item in items):
        raise ValueError(f"organisation {name}: {field} isn't a list of strings")
    return tuple(items)


def parse_priority(value: dict, name: str) -> int:
    """Return the optional priority, a whole number of at least 0."""
    priority = value.get("priority")
    if priority is None:
        return 0
    if type(priority) is not int or priority < 0:
        raise ValueError(f"organisation {name}: the priority isn't a whole number of at least 0")
    return priority


def parse_limit(value: dict, name: str) -> tuple[float, float]:
    """Return the optional rate and burst, (0, 0) for no limit."""
    rate, burst = parse_amount(value, "ratePerS", name), parse_amount(value, "burst", name)
    return (0.0, 0.0) if max(rate, burst) > MAX_AMOUNT else (rate, burst)


def parse_amount(value: dict, field: str, name: str) -> float:
    """Return an optional field that is a finite number of at least 0; a huge one is shortened."""
    amount = value.get(field)
    if amount is None:
        return 0.0
    if type(amount) not in (int, float) or not 0 <= amount < math.inf:
        raise ValueError(f"organisation {name}: {field} isn't a number of at least 0")
    # An integer may be too large for a float.
    return float(min(amount, 2 * MAX_AMOUNT))


def parse_flag(value: object, field: str) -> bool:
    """Return an optional flag, False if it is absent."""
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{field} isn't true or false")
    return bool(value)


def contains_key(text: str, value: object) -> bool:
    """Return True if a text contains a key of a configuration, or the beginning of one.

    Args:
        text: An error about the configuration.
        value: JSON value of the configuration, of any form.
    """
    for key in find_keys(value, False):
        probe = key[:PROBE_LENGTH]
        if probe and (probe in text or repr(probe)[1:-1] in text):
            return True
    return False


def find_keys(value: object, is_within: bool) -> Iterator[str]:
    """Yield each text below a field for keys, whatever the form of the value.

    Args:
        value: A part of the configuration.
        is_within: True if the part is below such a field.
    """
    match value:
        case str() if is_within:
            yield value
        case list():
            for item in value:
                yield from find_keys(item, is_within)
        case dict():
            for name, item in value.items():
                if is_within:
                    yield name
                yield from find_keys(item, is_within or name == KEYS_FIELD)
