"""A part's few octets on disk: whole or not at all, checked when read. See ``parts.KeyValueStore``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import xxhash

MAX_OCTETS = 1 << 20
_SUM = 8


class FileStore:
    """One file. What is damaged, cut short or not there is taken for nothing, and said."""

    def __init__(self, path: Path, log: Any) -> None:
        self._path, self._log = path, log

    def load(self) -> bytes | None:
        """What was kept last; None: nothing, or it cannot be read."""
        try:
            with self._path.open("rb") as file:
                data = file.read(MAX_OCTETS + _SUM + 1)
        except FileNotFoundError:
            return None
        except OSError as problem:
            self._log.warning("kept_unreadable", path=str(self._path), error=str(problem))
            return None
        if len(data) < _SUM or xxhash.xxh3_64_digest(data[_SUM:]) != data[:_SUM]:
            self._log.warning("kept_damaged", path=str(self._path), octets=len(data))
            return None
        return data[_SUM:]

    def save(self, data: bytes) -> bool:
        """Keep it durably; whether that worked."""
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
            self._log.error("not_kept", path=str(self._path), error=str(problem))
            return False
        return True
