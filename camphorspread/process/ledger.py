"""The ledger of once keys: which requests have run, run now, or may have run."""

from datetime import timedelta

import attrs

from camphorspread.connection.messages import ResponseHead
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.once_key import HomeIdentity, OnceKey
from camphorspread.request.reasons import Reason

__all__ = [
    "ACCEPTED_AGE",
    "KEPT_AGE",
    "MAX_KEYS",
    "Claimed",
    "Ending",
    "KeptResponse",
    "Ledger",
    "LedgerRecord",
    "OutcomeUnknown",
    "Released",
    "RequestShape",
    "ResponseTooLarge",
    "Running",
    "claim_key",
    "close_ledger",
    "end_claim",
    "expire_keys",
    "make_ending_refusal",
    "take_over_records",
]

ACCEPTED_AGE = timedelta(minutes=15)
KEPT_AGE = timedelta(minutes=30)
# A prefix is issued from records that lag; a larger lead means that the caller made it up.
MAX_ISSUE_LEAD = timedelta(seconds=5)
MAX_KEYS = 100_000
MINUTE = timedelta(minutes=1)


@attrs.frozen
class RequestShape:
    """What must be the same in all requests with one key.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        target: Path and query at the backend server.
        body_length: Declared length in bytes, or None for a chunked body.
    """

    service: str
    method: bytes
    target: bytes
    body_length: int | None


@attrs.frozen
class Running:
    """The request runs at this home."""


@attrs.frozen
class KeptResponse:
    """The request ended with this whole response."""

    head: ResponseHead
    body: bytes


@attrs.frozen
class ResponseTooLarge:
    """The request ended with a whole response that is too large to keep."""


@attrs.frozen
class OutcomeUnknown:
    """The request may have been sent and got no whole response."""


@attrs.frozen
class Released:
    """The request was provably not sent, so its key is free again.

    Attributes:
        refusal: Why it wasn't sent.
    """

    refusal: Refusal


KeptEnding = KeptResponse | ResponseTooLarge | OutcomeUnknown
Ending = KeptEnding | Released


@attrs.frozen
class LedgerRecord:
    """One key: the request that claimed it and what became of it."""

    shape: RequestShape
    state: Running | KeptEnding


@attrs.frozen
class Claimed:
    """The caller of `claim_key` runs the request and must call `end_claim`."""


Claim = Claimed | Running | KeptEnding | Refusal


@attrs.define(eq=False)
class Ledger:
    """Keys of one home, and keys that it took over from homes that left.

    Attributes:
        home: This incarnation.
        started: Instant of its start; issued seconds count from it.
        max_keys: How many keys are kept.
        records: Claimed keys.
        kept_until: Minute in which each key may be forgotten.
        expiring: Keys by that minute, so that forgetting doesn't look at all of them.
        left_homes: Incarnations whose keys were taken over.
        is_closed: True once the ledger has been handed over; no key is claimed any more.
    """

    home: HomeIdentity
    started: timedelta
    max_keys: int = MAX_KEYS
    records: dict[OnceKey, LedgerRecord] = attrs.field(factory=dict)
    kept_until: dict[OnceKey, int] = attrs.field(factory=dict)
    expiring: dict[int, set[OnceKey]] = attrs.field(factory=dict)
    left_homes: set[HomeIdentity] = attrs.field(factory=set)
    is_closed: bool = False


def claim_key(ledger: Ledger, key: OnceKey, shape: RequestShape, now: timedelta) -> Claim:
    """Decide what happens to a request with a key at the home of the key.

    Returns:
        `Claimed` if the request shall run, `Running` if an earlier one still runs, the ending of
        an earlier one, or a refusal. A refusal with outcome "not run" is given only for a key
        that has no record.
    """
    record = ledger.records.get(key)
    if record is not None:
        if record.shape != shape:
            message = "the once key belongs to a request with another method, path or body length"
            return Refusal(ErrorKind.ONCE_KEY_REUSED, message)
        return record.state
    return claim_new_key(ledger, key, shape, now)


def claim_new_key(ledger: Ledger, key: OnceKey, shape: RequestShape, now: timedelta) -> Claim:
    """Claim a key that has no record, or refuse it."""
    age = now - ledger.started - key.issued
    if key.home != ledger.home or age >= ACCEPTED_AGE:
        message = "the once key is over 15 minutes old or its home has restarted"
        return Refusal(ErrorKind.ONCE_KEY_EXPIRED, message)
    if age < -MAX_ISSUE_LEAD:
        message = "the once key wasn't issued by a lookup"
        return Refusal(ErrorKind.MALFORMED_REQUEST, message)
    if ledger.is_closed:
        return Refusal(ErrorKind.LEAVING, "the home of the once key is leaving", Reason.LEAVING)
    if len(ledger.records) >= ledger.max_keys:
        return Refusal(ErrorKind.LEDGER_FULL, f"{ledger.max_keys} once keys are kept already")
    add_record(ledger, key, LedgerRecord(shape, Running()), ledger.started + key.issued + KEPT_AGE)
    return Claimed()


def add_record(ledger: Ledger, key: OnceKey, record: LedgerRecord, until: timedelta) -> None:
    """Add a key that is kept until an instant, rounded up to a minute."""
    minute = -(-until // MINUTE)
    ledger.records[key] = record
    ledger.kept_until[key] = minute
    ledger.expiring.setdefault(minute, set()).add(key)


def remove_record(ledger: Ledger, key: OnceKey) -> None:
    """Forget a key."""
    del ledger.records[key]
    ledger.expiring[ledger.kept_until.pop(key)].discard(key)


def end_claim(ledger: Ledger, key: OnceKey, ending: Ending) -> None:
    """Record how a claimed request ended.

    Raises:
        ValueError: The key isn't claimed by a running request.
    """
    record = ledger.records.get(key)
    if record is None or not isinstance(record.state, Running):
        raise ValueError(f"no request runs with the key {key.unique_id}")
    match ending:
        case Released():
            remove_record(ledger, key)
        case kept:
            ledger.records[key] = attrs.evolve(record, state=kept)


def make_ending_refusal(ending: ResponseTooLarge | OutcomeUnknown | Released) -> Refusal:
    """Return what a repeat is told about an ending without a kept response."""
    match ending:
        case Released(refusal=refusal):
            return refusal
        case ResponseTooLarge():
            message = "the request ran; its response was too large to keep"
            return Refusal(ErrorKind.RESPONSE_NOT_KEPT, message, Reason.ONCE_REPEAT)
        case OutcomeUnknown():
            message = "an earlier request with this once key may have run"
            return Refusal(ErrorKind.ONCE_OUTCOME_UNKNOWN, message, Reason.ONCE_REPEAT)


def expire_keys(ledger: Ledger, now: timedelta) -> int:
    """Forget the keys that are old enough and return how many they were.

    A key over 30 minutes old is refused as expired, so its record isn't needed. A running request
    keeps its key.
    """
    minutes = [minute for minute in ledger.expiring if minute * MINUTE <= now]
    old = [
        key
        for minute in minutes
        for key in ledger.expiring[minute]
        if not isinstance(ledger.records[key].state, Running)
    ]
    for key in old:
        remove_record(ledger, key)
    for minute in minutes:
        if not ledger.expiring[minute]:
            del ledger.expiring[minute]
    return len(old)


def close_ledger(ledger: Ledger) -> dict[OnceKey, LedgerRecord]:
    """Claim no more keys and return the records for the successor.

    A request that still runs is handed over as outcome unknown.
    """
    ledger.is_closed = True
    return {
        key: attrs.evolve(record, state=OutcomeUnknown())
        if isinstance(record.state, Running)
        else record
        for key, record in ledger.records.items()
    }


def take_over_records(
    ledger: Ledger, home: HomeIdentity, records: dict[OnceKey, LedgerRecord], now: timedelta
) -> None:
    """Add the records of a home that left.

    Its keys without a record aren't run here: if the former home handed over twice because a
    response was lost, two successors would run them. They are refused as expired.
    """
    ledger.left_homes.add(home)
    for key, record in records.items():
        if key not in ledger.records:
            add_record(ledger, key, record, now + KEPT_AGE)
