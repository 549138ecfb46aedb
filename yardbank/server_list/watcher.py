"""Watches files by file system events (watchdog) and polling, and passes their contents to a consumer.

Makes no decisions about the contents; the consumer does, for example ``ServerListLifecycle``. Polling covers file
systems without events, replaced directories and swapped symbolic links.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from threading import Thread
from typing import Any, Protocol

from watchdog.events import FileSystemEventHandler
from watchdog.observers import Observer

MAX_TOTAL_OCTETS = 64 << 20  # of all files together


def read_files(path: Path) -> dict[str, bytes]:
    """The contents of a file, or of the ``*.hcl`` files in a directory. Raises ``OSError``."""
    paths = sorted(path.glob("*.hcl")) if path.is_dir() else [path]
    contents, octets = {}, 0
    for file_path in paths:
        with file_path.open("rb") as file:
            data = file.read(MAX_TOTAL_OCTETS - octets + 1)
        octets += len(data)
        if octets > MAX_TOTAL_OCTETS:
            raise OSError(27, f"more than {MAX_TOTAL_OCTETS} octets")
        contents[str(file_path)] = data
    return contents


class FileConsumer(Protocol):
    """Consumer of the contents of watched files: ``ServerListLifecycle``, the list of peers, and others."""

    def seen(self, now: int, texts: dict[str, bytes]) -> list[Any]:
        """Handle the current contents of the files; returns the actions to execute."""

    def due(self) -> int | None:
        """Latest time, in nanoseconds, at which the files must be read again; None: no deadline."""

    def force(self) -> list[Any]:
        """The operator confirms what was held back; returns the actions to execute."""


class _EventHandler(FileSystemEventHandler):
    def __init__(self, on_event: Callable[[], None]) -> None:
        self._on_event = on_event

    def on_any_event(self, event: Any) -> None:
        if event.event_type not in ("opened", "closed_no_write"):  # caused by reading the files here
            self._on_event()


class Watcher:
    """Watches one file, or the ``*.hcl`` files of one directory, for one gateway."""

    def __init__(
        self,
        path: Path,
        membership: FileConsumer,
        act: Callable[[Any], None],
        *,
        reactor: Any,
        now: Callable[[], int],
        log: Any,
        every: float = 1.0,
        notify: bool = True,
    ) -> None:
        self.path, self.membership, self._execute = path, membership, act
        self._reactor, self._now, self._log, self._every = reactor, now, log, every
        self._notify = notify
        self._observer: Any = None
        self._due_timer: Any = None
        self._poll_timer: Any = None
        self._read_scheduled = False
        self._stopped = False
        self._last_error = ""
        self._last_stat: Any = None

    def start(self) -> None:
        """Read the files now and whenever they may have changed."""
        if self._notify:
            try:
                self._observer = Observer()
                folder = self.path if self.path.is_dir() else self.path.parent
                self._observer.schedule(_EventHandler(self._on_file_event), str(folder))
                self._observer.daemon = True
                self._observer.start()
            except OSError as error:  # inotify watches exhausted, or the directory does not exist yet: polling suffices
                self._observer = None
                self._log.warning("list_not_notified", path=str(self.path), error=str(error), every_s=self._every)
        self.look()
        self._poll_timer = self._reactor.callLater(self._every, self._poll_files)

    def stop(self) -> None:
        """Stop watching."""
        self._stopped = True
        if self._observer is not None:
            # In a thread: on a busy machine the kernel takes seconds to remove a watch, which would delay requests.
            Thread(target=self._observer.stop, daemon=True).start()
            self._observer = None
        for timer in (self._due_timer, self._poll_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _on_file_event(self) -> None:
        if not self._read_scheduled and not self._stopped:  # coalesces many events into one read
            self._read_scheduled = True
            self._reactor.callFromThread(self._read_after_event)

    def _read_after_event(self) -> None:
        self._read_scheduled = False
        if not self._stopped:
            self.look()

    def _poll_files(self) -> None:
        if self._stopped:
            return
        stat = self._stat_files()
        if stat != self._last_stat:
            self.look()
        self._poll_timer = self._reactor.callLater(self._every, self._poll_files)

    def _stat_files(self) -> Any:
        try:
            paths = sorted(self.path.glob("*.hcl")) if self.path.is_dir() else [self.path]
            stats = [(str(name), os.stat(name)) for name in paths]
            return [(name, s.st_ino, s.st_size, s.st_mtime_ns) for name, s in stats]
        except OSError as error:
            return str(error)

    def look(self) -> None:
        """Read the files and pass their contents on."""
        self._last_stat = self._stat_files()
        try:
            texts = read_files(self.path)
        except OSError as error:
            reason = f"{self.path}: {error.strerror or error}"
            if reason != self._last_error:  # log each reason once; the last valid contents stay in use
                self._last_error = reason
                self._log.error("list_unreadable", fault=reason)
            return
        self._last_error = ""
        self._execute_all(self.membership.seen(self._now(), texts))

    def _execute_all(self, actions: list[Any]) -> None:
        for action in actions:
            self._execute(action)
        due = self.membership.due()
        if self._due_timer is not None and self._due_timer.active():
            self._due_timer.cancel()
        if due is not None and not self._stopped:
            self._due_timer = self._reactor.callLater(max(0, due - self._now()) / 1e9, self._on_due)

    def _on_due(self) -> None:
        self.look()  # reads again: the current contents count, not those of the last read

    def force(self) -> None:
        """Apply what was held back, as confirmed by the operator."""
        self._execute_all(self.membership.force())
