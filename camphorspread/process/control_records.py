"""What a control process has seen since its start: accepted changes."""

from collections import deque

import attrs

from camphorspread.process.clock import Clock
from camphorspread.version.changes import ChangeRequest
from camphorspread.version.codec import encode

__all__ = ["ControlRecords", "describe_history"]

KEPT_CHANGES = 1000


@attrs.define(eq=False)
class ControlRecords:
    """What a control process has seen since its start.

    Attributes:
        clock: Source of instants.
        changes: The newest accepted changes with their versions.
    """

    clock: Clock
    changes: deque[dict] = attrs.field(factory=lambda: deque(maxlen=KEPT_CHANGES))

    def accept(self, version: int, request: ChangeRequest) -> None:
        """Record an accepted change."""
        time = self.clock.wall().isoformat(timespec="milliseconds")
        self.changes.append({"version": version, "time": time, **encode(request)})


def describe_history(records: ControlRecords) -> list[dict[str, object]]:
    """Return the newest accepted changes, the newest first."""
    return list(reversed(records.changes))
