"""What a control process has seen since its start: accepted changes and acknowledgements."""

from collections import deque
from datetime import timedelta

import attrs

from camphorspread.process.clock import Clock
from camphorspread.version.changes import ChangeRequest
from camphorspread.version.codec import encode

__all__ = ["ControlRecords", "describe_acknowledgements", "describe_history"]

KEPT_CHANGES = 1000
# A VM that has not polled for one catalogue lease is isolated (design, 12).
ACKNOWLEDGEMENT_LEASE = timedelta(milliseconds=1500)


@attrs.define(eq=False)
class ControlRecords:
    """What a control process has seen since its start.

    Attributes:
        clock: Source of instants.
        acknowledgements: Version that each VM last polled with, and when.
        changes: The newest accepted changes with their versions.
    """

    clock: Clock
    acknowledgements: dict[str, tuple[int, timedelta]] = attrs.field(factory=dict)
    changes: deque[dict] = attrs.field(factory=lambda: deque(maxlen=KEPT_CHANGES))

    def acknowledge(self, vm: str, version: int) -> None:
        """Record that a VM runs a version."""
        self.acknowledgements[vm] = (version, self.clock.monotonic())

    def accept(self, version: int, request: ChangeRequest) -> None:
        """Record an accepted change."""
        time = self.clock.wall().isoformat(timespec="milliseconds")
        self.changes.append({"version": version, "time": time, **encode(request)})


def describe_acknowledgements(records: ControlRecords) -> dict[str, object]:
    """Return which version each VM runs, as far as this process knows."""
    now = records.clock.monotonic()
    return {
        "acknowledgements": [
            {
                "vm": vm,
                "version": version,
                "age_ms": (now - at) // timedelta(milliseconds=1),
                "state": "valid" if now - at < ACKNOWLEDGEMENT_LEASE else "isolated",
            }
            for vm, (version, at) in sorted(records.acknowledgements.items())
        ]
    }


def describe_history(records: ControlRecords) -> list[dict[str, object]]:
    """Return the newest accepted changes, the newest first."""
    return list(reversed(records.changes))
