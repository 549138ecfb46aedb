"""Collects the recorded facts of all processes of a scenario in one record."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from yardbank.files import write_atomically


class Recorder:
    """Keeps all facts in memory, and optionally in a file, with monotonic timestamps."""

    def __init__(self, path: Path | None = None) -> None:
        self.facts: list[dict[str, Any]] = []
        self._path = path
        self._file = path.open("w", encoding="utf-8") if path else None

    def __call__(self, fact: dict[str, Any]) -> None:
        """Records one fact."""
        stamped = {"at": time.monotonic(), **fact}
        self.facts.append(stamped)
        if self._file:
            self._file.write(json.dumps(stamped, separators=(",", ":")) + "\n")

    def add_file(self, path: Path) -> None:
        """Adds the facts that another process wrote to a file."""
        if not path.exists():
            return
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                fact = json.loads(line)
            except json.JSONDecodeError:  # truncated because its writer was killed
                continue
            self.facts.append(fact)
            if self._file:
                self._file.write(line + "\n")

    def close(self) -> None:
        """Ends the record. Sorts facts and file by time, because verdicts refer to facts by line number."""
        self.facts.sort(key=lambda fact: fact["at"])
        if self._file and self._path:
            self._file.close()
            self._file = None
            lines = (json.dumps(fact, separators=(",", ":")) + "\n" for fact in self.facts)
            write_atomically(self._path, "".join(lines))
