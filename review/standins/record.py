"""Writes record.txt: one line for each thing sent, answered, run or told, with its time."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TextIO


class Record:
    """The record of one run; times are seconds since its start."""

    def __init__(self, file: Path) -> None:
        self._file: TextIO = file.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started

    def note(self, who: str, what: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now():9.4f} {who:<12} {what}\n")

    def close(self) -> None:
        """Writes what is left."""
        self._file.close()
