"""The enumeration of log events and the log that writes them."""

import enum
import sys
from typing import Any, TextIO

import structlog

from camphorspread.process.clock import Clock
from camphorspread.process.log_output import LogBudget, admit_line, pop_suppressed_counts

__all__ = ["Event", "EventLog", "find_level", "make_event_log"]


@enum.unique
class Event(enum.Enum):
    """Log events; the number is stable and listed in `docs/events.md`."""

    PROCESS_STARTED = 100
    PROCESS_STOPPED = 101
    LISTENING = 102
    HANDLER_FAILED = 103
    DRAIN_STARTED = 104
    DRAIN_ENDED = 105
    DRAIN_REMAINDER = 106
    STOPPED_AT_ONCE = 107
    LINES_LEFT_OUT = 108
    TASK_FAILED = 109
    REQUEST_REFUSED = 200
    REQUEST_SERVED = 201
    REQUEST_RETRIED = 202
    RESPONSE_CUT = 203
    CALLER_GONE = 204
    CONNECTION_REFUSED = 205
    SHIFT_CHANGED = 206
    REQUEST_PASSED = 207
    CONNECT_FAILED = 208
    ONCE_OUTCOME_UNKNOWN = 209
    ONCE_HOME_UNREACHABLE = 210
    STEERING_ENDED = 211
    KEY_REFUSED = 212
    QUOTA_EXCEEDED = 213
    MEMORY_PRESSURE_CHANGED = 214
    ROUTE_NOT_FOUND = 215
    ENDPOINT_ANNOUNCED = 300
    ENDPOINT_LEAVING = 301
    ENDPOINT_EXPIRED = 302
    ANNOUNCEMENT_REFUSED = 303
    VM_STATE_CHANGED = 304
    ENDPOINT_TAKEN_OVER = 305
    ENDPOINT_REDIRECTED = 306
    HANDOVER_SENT = 307
    HANDOVER_RECEIVED = 308
    HANDOVER_FAILED = 309
    INSTANCE_ADDED = 310
    INSTANCE_LEFT = 311
    INSTANCE_OUTDATED = 312
    INSTANCE_EXPIRED = 313
    ENTRY_VM_CHANGED = 314
    CONTROL_LOST = 315
    CONTROL_REGAINED = 316
    ANNOUNCEMENT_UNCONFIRMED = 317
    INSTANCE_LIMITED = 318
    INSTANCE_UNLIMITED = 319
    LIMIT_UNREADABLE = 320
    INSTANCE_LEAVING = 321
    DEPARTURE_UNREADABLE = 322
    INSTANCE_PAUSED = 323
    LOAD_UNREADABLE = 324
    DEPARTURE_RECORDED = 325
    CATALOGUE_IN_FORCE = 400
    CATALOGUE_POLL_FAILED = 401
    CHANGE_ACCEPTED = 402
    CHANGE_REFUSED = 403
    CATALOGUE_LEASE_ENDED = 404
    CATALOGUE_LEASE_RETURNED = 405
    SHARE_RENEWAL_FAILED = 406
    QUOTA_RENEWAL_FAILED = 407
    QUOTA_SHARE_LOST = 408
    TRANSFER_FAILED = 409
    UPDATE_ENCODED = 410
    LEADER_CHANGED = 420
    QUORUM_LOST = 421
    QUORUM_REGAINED = 422
    STORAGE_FAILED = 423
    FORMAT_REFUSED = 424
    MEMBERS_PROPOSED = 425
    DOCUMENT_REFUSED = 426
    ORDER_UNANSWERED = 427
    SETTINGS_RELOADED = 428
    STORAGE_REGAINED = 429
    CHANGE_UNCONFIRMED = 430
    LEADER_MISSING = 431


# Events that an operator should look into soon, and events that show a fault.
WARNINGS = frozenset(
    {
        Event.RESPONSE_CUT,
        Event.CONNECTION_REFUSED,
        Event.CONNECT_FAILED,
        Event.ENDPOINT_EXPIRED,
        Event.ANNOUNCEMENT_REFUSED,
        Event.CATALOGUE_POLL_FAILED,
        Event.DRAIN_REMAINDER,
        Event.HANDOVER_FAILED,
        Event.ONCE_HOME_UNREACHABLE,
        Event.ONCE_OUTCOME_UNKNOWN,
        Event.STOPPED_AT_ONCE,
        Event.LEADER_MISSING,
        Event.QUORUM_LOST,
        Event.STORAGE_FAILED,
        Event.FORMAT_REFUSED,
        Event.CATALOGUE_LEASE_ENDED,
        Event.SHARE_RENEWAL_FAILED,
        Event.QUOTA_RENEWAL_FAILED,
        Event.QUOTA_SHARE_LOST,
        Event.TRANSFER_FAILED,
        Event.CONTROL_LOST,
        Event.LINES_LEFT_OUT,
        Event.INSTANCE_EXPIRED,
        Event.LIMIT_UNREADABLE,
        Event.DEPARTURE_UNREADABLE,
        Event.LOAD_UNREADABLE,
        Event.ORDER_UNANSWERED,
    }
)
ERRORS = frozenset({Event.HANDLER_FAILED, Event.TASK_FAILED})


def find_level(event: Event) -> str:
    """Return the level of an event: `info`, `warning` or `error`."""
    if event in ERRORS:
        return "error"
    return "warning" if event in WARNINGS else "info"


class EventLog:
    """Writes numbered events.

    Examples:
        >>> log = make_event_log("sofia-a-1", SystemClock(), sys.stdout)  # doctest: +SKIP
        >>> log.write(Event.PROCESS_STARTED, role="entry")  # doctest: +SKIP
    """

    def __init__(
        self, logger: Any, clock: Clock | None = None, budget: LogBudget | None = None
    ) -> None:
        """Initialise the log.

        Args:
            logger: Writes lines.
            clock: Source of instants for the budget.
            budget: Limits the lines per second of each event; None for no limit.
        """
        self.logger = logger
        self.clock = clock
        self.budget = budget

    def write(self, event: Event, **fields: Any) -> None:
        """Write one event with its fields, unless its budget of lines is used up."""
        if self.budget is not None:
            now = self.clock.monotonic()
            if left_out := pop_suppressed_counts(self.budget, now):
                self.write_line(Event.LINES_LEFT_OUT, {"counts": left_out})
            if not admit_line(self.budget, event.name, now):
                return
        self.write_line(event, fields)

    def write_line(self, event: Event, fields: dict[str, Any]) -> None:
        """Write one line, whatever the budget."""
        level = find_level(event)
        self.logger.msg(event.name.lower(), level=level, number=event.value, **fields)


def make_event_log(
    vm: str, clock: Clock, output: TextIO | None = None, budget: LogBudget | None = None
) -> EventLog:
    """Return a log that writes JSON lines.

    Args:
        vm: Name of the VM, a field of each line.
        clock: Source of the date and time of each line.
        output: Where to write; standard error if None.
        budget: Limits the lines per second of each event; None for no limit.
    """

    def add_time(_logger: Any, _method: str, fields: dict[str, Any]) -> dict[str, Any]:
        return {"time": clock.wall_time().isoformat(timespec="milliseconds"), **fields}

    logger = structlog.wrap_logger(
        structlog.PrintLogger(output or sys.stderr),
        processors=[
            add_time,
            structlog.processors.JSONRenderer(),
        ],
    )
    return EventLog(logger.bind(vm=vm), clock, budget)
