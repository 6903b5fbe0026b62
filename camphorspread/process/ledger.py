"""Ledger of once keys (idempotency keys): which requests have run, run now, or may have run."""

from datetime import timedelta

import attrs

from camphorspread.connection.messages import ResponseHead
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.once_key import HomeIdentity, OnceKey
from camphorspread.request.reasons import Reason

__all__ = [
    "MAX_CLAIM_AGE",
    "MAX_KEYS",
    "RETENTION",
    "ClaimResult",
    "Claimed",
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
    "make_result_refusal",
    "take_over_records",
]

MAX_CLAIM_AGE = timedelta(minutes=15)
RETENTION = timedelta(minutes=30)
# Lookups issue prefixes from records that lag; a key that is further ahead wasn't issued by one.
MAX_ISSUE_LEAD = timedelta(seconds=5)
MAX_KEYS = 100_000
MINUTE = timedelta(minutes=1)


@attrs.frozen
class RequestShape:
    """Properties that all requests with one key must have in common.

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
    """The request ended with this complete response."""

    head: ResponseHead
    body: bytes


@attrs.frozen
class ResponseTooLarge:
    """The request ended with a complete response that is too large to keep."""


@attrs.frozen
class OutcomeUnknown:
    """The request may have been sent but got no complete response."""


@attrs.frozen
class Released:
    """The request was certainly not sent, so its key can be claimed again.

    Attributes:
        refusal: Why it wasn't sent.
    """

    refusal: Refusal


KeptResult = KeptResponse | ResponseTooLarge | OutcomeUnknown
ClaimResult = KeptResult | Released


@attrs.frozen
class LedgerRecord:
    """Record of one key: the request that claimed it and its state."""

    shape: RequestShape
    state: Running | KeptResult


@attrs.frozen
class Claimed:
    """The caller of `claim_key` must run the request and then call `end_claim`."""


Claim = Claimed | Running | KeptResult | Refusal


@attrs.define(eq=False)
class Ledger:
    """Keys of one home, and keys that it took over from homes that left.

    Attributes:
        home: This incarnation.
        started: Instant of its start; issued seconds count from it.
        max_keys: Largest number of records.
        records: Claimed keys.
        kept_until: Minute from which each key may be removed.
        expiring: Keys by that minute, so that expiry needn't scan all records.
        taken_over_homes: Incarnations whose keys were taken over.
        is_closed: True once the ledger has been handed over; no more keys can be claimed.
    """

    home: HomeIdentity
    started: timedelta
    max_keys: int = MAX_KEYS
    records: dict[OnceKey, LedgerRecord] = attrs.field(factory=dict)
    kept_until: dict[OnceKey, int] = attrs.field(factory=dict)
    expiring: dict[int, set[OnceKey]] = attrs.field(factory=dict)
    taken_over_homes: set[HomeIdentity] = attrs.field(factory=set)
    is_closed: bool = False


def claim_key(ledger: Ledger, key: OnceKey, shape: RequestShape, now: timedelta) -> Claim:
    """Claim a key at its home, or return the state of the request that claimed it.

    Returns:
        `Claimed` if the request is to run, `Running` if an earlier one still runs, the result of
        an earlier one, or a refusal. Only a key without a record can get a refusal with outcome
        "not run".
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
    if key.home != ledger.home or age >= MAX_CLAIM_AGE:
        message = "the once key is over 15 minutes old or its home has restarted"
        return Refusal(ErrorKind.ONCE_KEY_EXPIRED, message)
    if age < -MAX_ISSUE_LEAD:
        message = "the once key wasn't issued by a lookup"
        return Refusal(ErrorKind.MALFORMED_REQUEST, message)
    if ledger.is_closed:
        return Refusal(ErrorKind.LEAVING, "the home of the once key is leaving", Reason.LEAVING)
    if len(ledger.records) >= ledger.max_keys:
        return Refusal(ErrorKind.LEDGER_FULL, f"{ledger.max_keys} once keys are kept already")
    add_record(ledger, key, LedgerRecord(shape, Running()), ledger.started + key.issued + RETENTION)
    return Claimed()


def add_record(ledger: Ledger, key: OnceKey, record: LedgerRecord, until: timedelta) -> None:
    """Add the record of a key and keep it until an instant, rounded up to a minute."""
    minute = -(-until // MINUTE)
    ledger.records[key] = record
    ledger.kept_until[key] = minute
    ledger.expiring.setdefault(minute, set()).add(key)


def remove_record(ledger: Ledger, key: OnceKey) -> None:
    """Remove the record of a key."""
    del ledger.records[key]
    ledger.expiring[ledger.kept_until.pop(key)].discard(key)


def end_claim(ledger: Ledger, key: OnceKey, ending: ClaimResult) -> None:
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


def make_result_refusal(ending: ResponseTooLarge | OutcomeUnknown | Released) -> Refusal:
    """Return the refusal for a repeated request whose result has no kept response."""
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
    """Remove the keys whose retention has ended and return their number.

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
    """Close the ledger to new claims and return the records for the successor.

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
    """Add the records of another home that has handed its ledger over.

    Keys of that home without a record are refused as expired and don't run here: if it handed over
    twice because a response was lost, two successors would run them.
    """
    ledger.taken_over_homes.add(home)
    for key, record in records.items():
        if key not in ledger.records:
            add_record(ledger, key, record, now + RETENTION)
