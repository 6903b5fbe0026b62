"""Rate limit and non-blocking output of log lines.

Thousands of requests a second may fail for a while, each with a log line, while the reader of the
log is slow or stuck. Each event has a budget of lines a second; lines beyond it are suppressed and
counted, and one line a second reports the counts.
"""

import os
from collections import Counter, deque
from datetime import timedelta

import attrs

__all__ = ["LogBudget", "PipeOutput", "admit_line", "pop_suppressed_counts"]

BUDGET_INTERVAL = timedelta(seconds=1)
# Enough to explain single requests; during a burst the metrics have the counts.
LINES_PER_INTERVAL = 40
BUFFER_BYTES = 256 * 1024


@attrs.define(eq=False)
class LogBudget:
    """Budget of log lines for each event in the present interval.

    Attributes:
        lines_per_interval: Lines of one event in an interval.
        started: When the present interval began.
        written: Lines written by event.
        suppressed: Suppressed lines by event since they were last reported.
    """

    lines_per_interval: int = LINES_PER_INTERVAL
    started: timedelta | None = None
    written: Counter[str] = attrs.field(factory=Counter)
    suppressed: Counter[str] = attrs.field(factory=Counter)


def admit_line(budget: LogBudget, event: str, now: timedelta) -> bool:
    """Count a line, and return True if it may be written."""
    if budget.started is None or now - budget.started >= BUDGET_INTERVAL:
        budget.started = now
        budget.written.clear()
    if budget.written[event] >= budget.lines_per_interval:
        budget.suppressed[event] += 1
        return False
    budget.written[event] += 1
    return True


def pop_suppressed_counts(budget: LogBudget, now: timedelta) -> dict[str, int]:
    """Return the counts of suppressed lines once their interval is over, and reset them."""
    is_over = budget.started is not None and now - budget.started >= BUDGET_INTERVAL
    if not budget.suppressed or not is_over:
        return {}
    left_out, budget.suppressed = dict(budget.suppressed), Counter()
    return left_out


@attrs.define(eq=False)
class PipeOutput:
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
        descriptor: Of a pipe, a terminal or a file.
        limit_bytes: Bytes that are buffered for a reader that is behind.
        line_parts: Parts of the line that is being written.
        buffered_lines: Buffered lines that haven't been written yet.
        buffered_bytes: Bytes in the buffer.
        dropped: Lines that were dropped because the buffer was full or the reader had gone.
    """

    descriptor: int
    limit_bytes: int = BUFFER_BYTES
    line_parts: list[str] = attrs.field(factory=list)
    buffered_lines: deque[bytes] = attrs.field(factory=deque)
    buffered_bytes: int = 0
    dropped: int = 0

    def __attrs_post_init__(self) -> None:
        """Make the descriptor non-blocking, so that writes to a full pipe return immediately."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Add a part of a line; `flush` ends it."""
        self.line_parts.append(text)
        return len(text)

    def flush(self) -> None:
        """End the line, and write as much of the buffer as is possible without waiting."""
        data = "".join(self.line_parts).encode()
        self.line_parts.clear()
        if self.buffered_bytes + len(data) > self.limit_bytes:
            self.dropped += 1
        elif data:
            self.buffered_lines.append(data)
            self.buffered_bytes += len(data)
        while self.buffered_lines:
            data = self.buffered_lines[0]
            try:
                count = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; a process must not end because of its log.
                self.dropped += len(self.buffered_lines)
                self.buffered_lines.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= count
            if count < len(data):
                self.buffered_lines[0] = data[count:]
                return
            self.buffered_lines.popleft()
