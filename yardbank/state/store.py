"""Snapshots on disk: an LMDB database with one value, replaced in one transaction. ``recovery`` judges the content."""

from __future__ import annotations

import contextlib
import os
import time
from pathlib import Path

import lmdb

from yardbank.state.snapshot import MAX_OCTETS, Snapshot, SnapshotError, decode, encode

SNAPSHOT_KEY = b"snapshot"
MAX_MAP_OCTETS = 4 * MAX_OCTETS


class StoreError(OSError):
    """The store is unavailable: no space, no permission, or held by another process."""


class Store:
    """Durable state of one gateway in its own directory."""

    def __init__(self, path: Path, *, create: bool = True) -> None:
        self.path = path
        self.fault = ""  # what was wrong with the existing data
        try:
            if create:
                path.mkdir(parents=True, exist_ok=True)
            self.had_owner = (path / "owner").exists()  # a gateway has used this directory before
            self._lock = self._lock_owner_file(path) if create else None
            self.apart = self._read_generation()
            self._env = self._open(create)
        except OSError as error:
            raise StoreError(error.errno or 0, f"{path}: {error.strerror or error}") from None

    @staticmethod
    def _lock_owner_file(path: Path) -> int:
        import fcntl

        lock = os.open(path / "owner", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise OSError(11, "held by another gateway") from None
        return lock

    def _read_generation(self) -> int:
        """Generation of the last run from the owner file, which restoring an old database does not change."""
        try:
            return max(0, int((self.path / "owner").read_text(encoding="ascii") or "0"))
        except (OSError, ValueError):
            return 0

    def begin(self, generation: int) -> None:
        """Stores the generation of a new run durably before the run does anything. Raises ``StoreError``."""
        if self._lock is None:
            return
        try:
            os.pwrite(self._lock, b"%020d" % generation, 0)
            os.fsync(self._lock)
        except OSError as error:
            raise StoreError(error.errno or 0, f"{self.path}: {error.strerror or error}") from None

    def _open(self, create: bool) -> lmdb.Environment:
        try:
            return self._open_environment(create)
        except (lmdb.CorruptedError, lmdb.InvalidError, lmdb.VersionMismatchError) as error:
            self.fault = f"{self.path}: {error}"
            if not create:
                raise OSError(22, str(error)) from None
            self.set_aside()
            return self._open_environment(True)
        except lmdb.Error as error:
            raise OSError(5, str(error)) from None

    def _open_environment(self, create: bool) -> lmdb.Environment:
        return lmdb.open(str(self.path), map_size=MAX_MAP_OCTETS, create=create, readonly=not create, lock=create)

    def set_aside(self) -> Path:
        """Moves a damaged database aside, to a name with the time."""
        aside = self.path / f"damaged-{time.time_ns()}"
        with contextlib.suppress(FileNotFoundError):
            os.replace(self.path / "data.mdb", aside)
        return aside

    def read(self) -> Snapshot | None:
        """The last snapshot; None: there is none. A damaged or future one is set aside; ``fault`` says so."""
        try:
            with self._env.begin() as txn:
                data = txn.get(SNAPSHOT_KEY)
            return None if data is None else decode(bytes(data))
        except SnapshotError as error:
            self.fault = f"{self.path}: {error}"
            if data is not None:
                (self.path / f"damaged-{time.time_ns()}").write_bytes(bytes(data))
            return None
        except lmdb.Error as error:
            self.fault = f"{self.path}: {error}"
            return None

    def read_only(self) -> Snapshot | None:
        """The snapshot for inspection, without setting anything aside. Raises ``SnapshotError``."""
        try:
            with self._env.begin() as txn:
                data = txn.get(SNAPSHOT_KEY)
        except lmdb.Error as error:
            raise SnapshotError(str(error)) from None
        return None if data is None else decode(bytes(data))

    def write(self, snapshot: Snapshot) -> int:
        """Replaces the snapshot atomically; returns its size in octets. Raises ``StoreError``."""
        data = encode(snapshot)
        try:
            with self._env.begin(write=True) as txn:
                txn.put(SNAPSHOT_KEY, data)
        except lmdb.Error as error:
            raise StoreError(5, f"{self.path}: {error}") from None
        return len(data)

    def forget(self) -> None:
        """Deletes a snapshot that could not be replaced: deleting needs no space. The owner file stays."""
        with contextlib.suppress(OSError):
            os.remove(self.path / "data.mdb")

    def close(self) -> None:
        """Closes the database and releases the lock."""
        self._env.close()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
