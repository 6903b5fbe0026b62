"""Rate limit and non-blocking output of log lines.

Thousands of requests a second may fail for a while, each with a log line, while the reader of the
log is slow or stuck. Each event has a budget of lines a second; lines beyond it are suppressed and
counted, and one line a second reports the counts.
"""

import os
from collections import Counter, deque
from datetime import timedelta

import attrs

__all__ = ["LogBudget", "PipeOutput", "may_write", "take_left_out"]

INTERVAL = timedelta(seconds=1)
# Enough to explain single requests; during a burst the metrics have the counts.
LINES_PER_INTERVAL = 40
BUFFER_BYTES = 256 * 1024


@attrs.define(eq=False)
class LogBudget:
    """Budget of log lines for each event in the present interval.

    Attributes:
        lines: Lines of one event in an interval.
        started: When the present interval began.
        written: Lines written by event.
        left_out: Suppressed lines by event since they were last reported.
    """

    lines: int = LINES_PER_INTERVAL
    started: timedelta | None = None
    written: Counter[str] = attrs.field(factory=Counter)
    left_out: Counter[str] = attrs.field(factory=Counter)


def may_write(budget: LogBudget, event: str, now: timedelta) -> bool:
    """Count a line, and return True if it may be written."""
    if budget.started is None or now - budget.started >= INTERVAL:
        budget.started = now
        budget.written.clear()
    if budget.written[event] >= budget.lines:
        budget.left_out[event] += 1
        return False
    budget.written[event] += 1
    return True


def take_left_out(budget: LogBudget, now: timedelta) -> dict[str, int]:
    """Return the counts of suppressed lines once their interval is over, and reset them."""
    is_over = budget.started is not None and now - budget.started >= INTERVAL
    if not budget.left_out or not is_over:
        return {}
    left_out, budget.left_out = dict(budget.left_out), Counter()
    return left_out


@attrs.define(eq=False)
class PipeOutput:
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
        descriptor: Of a pipe, a terminal or a file.
        limit: Bytes that are buffered for a reader that is behind.
        line: Parts of the line that is being written.
        kept: Buffered lines that haven't been written yet.
        size: Bytes in the buffer.
        dropped: Lines that were dropped because the buffer was full or the reader had gone.
    """

    descriptor: int
    limit: int = BUFFER_BYTES
    line: list[str] = attrs.field(factory=list)
    kept: deque[bytes] = attrs.field(factory=deque)
    size: int = 0
    dropped: int = 0

    def __attrs_post_init__(self) -> None:
        """Make the descriptor non-blocking, so that writes to a full pipe return at once."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Add a part of a line; `flush` ends it."""
        self.line.append(text)
        return len(text)

    def flush(self) -> None:
        """End the line, and write as much of the buffer as is possible without waiting."""
        data = "".join(self.line).encode()
        self.line.clear()
        if self.size + len(data) > self.limit:
            self.dropped += 1
        elif data:
            self.kept.append(data)
            self.size += len(data)
        while self.kept:
            data = self.kept[0]
            try:
                count = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; a process must not end because of its log.
                self.dropped += len(self.kept)
                self.kept.clear()
                self.size = 0
                return
            self.size -= count
            if count < len(data):
                self.kept[0] = data[count:]
                return
            self.kept.popleft()
