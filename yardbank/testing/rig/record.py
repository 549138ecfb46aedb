"""One record of all that crossed the sockets, gathered from every process of a scenario."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from yardbank.files import write_atomically


class Recorder:
    """All facts, in memory and maybe in a file, stamped with the machine's steady time."""

    def __init__(self, path: Path | None = None) -> None:
        self.facts: list[dict[str, Any]] = []
        self._path = path
        self._file = path.open("w", encoding="utf-8") if path else None

    def __call__(self, fact: dict[str, Any]) -> None:
        """Take one fact."""
        stamped = {"at": time.monotonic(), **fact}
        self.facts.append(stamped)
        if self._file:
            self._file.write(json.dumps(stamped, separators=(",", ":")) + "\n")

    def add_file(self, path: Path) -> None:
        """Take the facts that another process wrote."""
        if not path.exists():
            return
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                fact = json.loads(line)
            except json.JSONDecodeError:  # cut short by a kill
                continue
            self.facts.append(fact)
            if self._file:
                self._file.write(line + "\n")

    def close(self) -> None:
        """No more facts. The file is put in order of time as the facts are: a verdict names them by line."""
        self.facts.sort(key=lambda fact: fact["at"])
        if self._file and self._path:
            self._file.close()
            self._file = None
            lines = (json.dumps(fact, separators=(",", ":")) + "\n" for fact in self.facts)
            write_atomically(self._path, "".join(lines))
