"""The state of one part on disk: written atomically, verified when read. See ``parts.KeyValueStore``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import xxhash

MAX_OCTETS = 1 << 20
_DIGEST = 8  # octets, before the data


class FileStore:
    """A store in one file.

    A file that is corrupt or unreadable is logged and treated as missing.
    """

    def __init__(self, path: Path, log: Any) -> None:
        self._path, self._log = path, log

    def load(self) -> bytes | None:
        """The data saved last; None: nothing was saved, or it cannot be read."""
        try:
            with self._path.open("rb") as file:
                data = file.read(MAX_OCTETS + _DIGEST + 1)
        except FileNotFoundError:
            return None
        except OSError as problem:
            self._log.warning("state_unreadable", path=str(self._path), error=str(problem))
            return None
        if len(data) < _DIGEST or xxhash.xxh3_64_digest(data[_DIGEST:]) != data[:_DIGEST]:
            self._log.warning("state_corrupt", path=str(self._path), octets=len(data))
            return None
        return data[_DIGEST:]

    def save(self, data: bytes) -> bool:
        """Save durably; on failure log it and return False."""
        part = self._path.with_name(self._path.name + ".part")
        try:
            if len(data) > MAX_OCTETS:
                raise OSError(f"{len(data)} octets, {MAX_OCTETS} allowed")
            self._path.parent.mkdir(parents=True, exist_ok=True)
            with part.open("wb") as file:
                file.write(xxhash.xxh3_64_digest(data) + data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(part, self._path)
        except OSError as problem:
            self._log.error("state_write_failed", path=str(self._path), error=str(problem))
            return False
        return True
