"""What a control process has seen since its start: acknowledgements of entry VMs."""

from datetime import timedelta

import attrs

from camphorspread.process.clock import Clock

__all__ = ["ControlRecords", "describe_acknowledgements"]

# A VM that has not polled for one catalogue lease is isolated (design, 12).
ACKNOWLEDGEMENT_LEASE = timedelta(milliseconds=1500)


@attrs.define(eq=False)
class ControlRecords:
    """What a control process has seen since its start.

    Attributes:
        clock: Source of instants.
        acknowledgements: Version that each VM last polled with, and when.
    """

    clock: Clock
    acknowledgements: dict[str, tuple[int, timedelta]] = attrs.field(factory=dict)

    def acknowledge(self, vm: str, version: int) -> None:
        """Record that a VM runs a version."""
        self.acknowledgements[vm] = (version, self.clock.monotonic())


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
