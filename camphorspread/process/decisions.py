"""Recent routing decisions of an entry process, for `explain`."""

from collections import deque

import attrs

__all__ = ["DecisionRecord", "DecisionRing"]

MAX_RECORDS = 2000
DEFAULT_COUNT = 20


@attrs.frozen
class DecisionRecord:
    """Why one request was routed as it was, or refused.

    Attributes:
        request_id: Trace identifier of the request.
        at: Date and time at which it ended.
        service: Name of the service.
        method: HTTP method.
        kind: Kind of the request.
        caller: IP address of the caller.
        caller_availability_zone: Availability zone nearest to the caller.
        chosen_vm: Another VM that the request was forwarded to; empty if none.
        endpoint: The last endpoint tried; empty if none.
        attempts: Number of endpoints tried.
        reason: Why it was routed as it was, or refused.
        error: Error kind; empty if the backend server responded.
        status: Status sent to the caller; 0 if none was sent.
        is_complete: True if the caller was sent the complete response.
        time_spent_ms: From the request head to the end of the response.
    """

    request_id: str
    at: str
    service: str
    method: str
    kind: str
    caller: str
    caller_availability_zone: str
    chosen_vm: str
    endpoint: str
    attempts: int
    reason: str
    error: str
    status: int
    is_complete: bool
    time_spent_ms: float


@attrs.define(eq=False)
class DecisionRing:
    """Ring buffer of the newest records."""

    records: deque[DecisionRecord] = attrs.field(factory=lambda: deque(maxlen=MAX_RECORDS))

    def add(self, record: DecisionRecord) -> None:
        """Append a record; drop the oldest one if the ring is full."""
        self.records.append(record)

    def find_records(
        self,
        service: str = "",
        request_id: str = "",
        caller: str = "",
        count: int = DEFAULT_COUNT,
    ) -> list[DecisionRecord]:
        """Return the newest matching records, oldest first.

        Args:
            service: Name of a service; empty for all.
            request_id: Identifier of a request; empty for all.
            caller: IP address of a caller; empty for all.
            count: Largest number of records to return.
        """
        found = [
            record
            for record in self.records
            if service in ("", record.service)
            and request_id in ("", record.request_id)
            and caller in ("", record.caller)
        ]
        return found[-count:]
