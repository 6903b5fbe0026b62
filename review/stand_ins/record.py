"""The record of a script: what was sent, answered and run."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with the seconds since the record was opened.

    Attributes:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        """Open the file, which is replaced."""
        self.path = path
        self.started = time.monotonic()
        self.file = path.open("w")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
