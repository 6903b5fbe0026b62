"""`camphorspread explain-log`: show what the logs of all VMs say about one request."""

import json
from collections.abc import Iterable
from datetime import datetime, timedelta
from pathlib import Path

from camphorspread.process.command.output import FAILURE, SUCCESS, CommandResult

__all__ = ["explain_from_logs", "find_related_lines", "parse_log_lines"]

# Events of a server or VM within this time before or after the end of a request may explain it.
RELATED_TIME = timedelta(seconds=5)
# Fields that are shown separately or say nothing about a request.
HIDDEN_FIELDS = ("time", "vm", "event", "level", "number")
NOT_FOUND = (
    "no log line names this request: the first server served it in time, its line was left out "
    "(see lines_left_out), or no VM received it"
)


def explain_from_logs(request: str, files: tuple[Path, ...]) -> CommandResult:
    """Show the log lines about a request, and those about the servers and VMs that handled it.

    Args:
        request: Identifier of the request.
        files: Logs of any number of VMs.

    Raises:
        OSError: A file can't be read.
    """
    lines = [line for file in files for line in parse_log_lines(file.read_text(errors="replace"))]
    found = find_related_lines(lines, request)
    text = "\n".join(describe_line(line) for line in found) or NOT_FOUND
    return CommandResult(found, text, SUCCESS if found else FAILURE)


def parse_log_lines(text: str) -> list[dict]:
    """Return the log lines of a text; any prefix before the JSON object of a line is ignored."""
    lines = []
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            value = json.loads(line[start:])
        except ValueError:
            continue  # Not a log line of this program, or truncated at the end of a file.
        if isinstance(value, dict) and "event" in value and "time" in value:
            lines.append(value)
    return lines


def find_related_lines(lines: Iterable[dict], request: str) -> list[dict]:
    """Return the lines about a request and its servers and VMs, sorted by time."""
    all_lines = list(lines)
    own = [line for line in all_lines if line.get("request") == request]
    names = {
        word.rstrip(":") for line in own for step in line.get("trail", ()) for word in step.split()
    }
    times = [datetime.fromisoformat(line["time"]) for line in own]

    def is_related(line: dict) -> bool:
        if "request" in line or not names & {line.get("instance"), line.get("peer")}:
            return False
        at = datetime.fromisoformat(line["time"])
        return any(abs(at - time) <= RELATED_TIME for time in times)

    return sorted([*own, *filter(is_related, all_lines)], key=lambda line: line["time"])


def describe_line(line: dict) -> str:
    """Return a log line as text."""
    fields = " ".join(
        f"{name}={json.dumps(value) if isinstance(value, list) else value}"
        for name, value in line.items()
        if name not in HIDDEN_FIELDS
    )
    return f"{line['time']} {line.get('vm', '')} {line['event']} {fields}"
