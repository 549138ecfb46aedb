"""Tells ``ServerListLifecycle`` what stands on disk: notified by the system (watchdog), and by looking now and then.

Thin on purpose: it reads files and passes their contents on; nothing is decided here. Polling covers file
systems without events, replaced directories and swapped links.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from threading import Thread
from typing import Any, Protocol

from watchdog.events import FileSystemEventHandler
from watchdog.observers import Observer

MAX_OCTETS = 64 << 20  # of all files together


def read_files(path: Path) -> dict[str, bytes]:
    """The contents of a file, or of the ``*.hcl`` files in a directory. Raises ``OSError``."""
    names = sorted(path.glob("*.hcl")) if path.is_dir() else [path]
    found, octets = {}, 0
    for name in names:
        with name.open("rb") as file:
            data = file.read(MAX_OCTETS - octets + 1)
        octets += len(data)
        if octets > MAX_OCTETS:
            raise OSError(27, f"more than {MAX_OCTETS} octets")
        found[str(name)] = data
    return found


class Watched(Protocol):
    """What is told of the files: ``ServerListLifecycle``, or the peers' list."""

    def seen(self, now: int, texts: dict[str, bytes]) -> list[Any]:
        """The files hold these contents; what is to be done."""

    def due(self) -> int | None:
        """When to look again at the latest, ns."""

    def force(self) -> list[Any]:
        """The operator's word on what was held back."""


class _Handler(FileSystemEventHandler):
    def __init__(self, wake: Callable[[], None]) -> None:
        self._wake = wake

    def on_any_event(self, event: Any) -> None:
        if event.event_type not in ("opened", "closed_no_write"):  # our own reading
            self._wake()


class Watcher:
    """Watches one path for one gateway."""

    def __init__(
        self,
        path: Path,
        membership: Watched,
        act: Callable[[Any], None],
        *,
        reactor: Any,
        now: Callable[[], int],
        log: Any,
        every: float = 1.0,
        notify: bool = True,
    ) -> None:
        self.path, self.membership, self._act = path, membership, act
        self._reactor, self._now, self._log, self._every = reactor, now, log, every
        self._notify = notify
        self._observer: Any = None
        self._timer: Any = None
        self._poll: Any = None
        self._woken = False
        self._stopped = False
        self._problem = ""
        self._stamp: Any = None

    def start(self) -> None:
        """Look now, then whenever something may have changed."""
        if self._notify:
            try:
                self._observer = Observer()
                folder = self.path if self.path.is_dir() else self.path.parent
                self._observer.schedule(_Handler(self._from_thread), str(folder))
                self._observer.daemon = True
                self._observer.start()
            except OSError as problem:  # out of watches, or no such folder yet: polling is enough
                self._observer = None
                self._log.warning("list_not_notified", path=str(self.path), error=str(problem), every_s=self._every)
        self.look()
        self._poll = self._reactor.callLater(self._every, self._look_again)

    def stop(self) -> None:
        """Watch no longer."""
        self._stopped = True
        if self._observer is not None:
            # Not here: where cores are busy the kernel takes seconds to let go of a watch, and requests would wait.
            Thread(target=self._observer.stop, daemon=True).start()
            self._observer = None
        for timer in (self._timer, self._poll):
            if timer is not None and timer.active():
                timer.cancel()

    def _from_thread(self) -> None:
        if not self._woken and not self._stopped:  # many events, one look
            self._woken = True
            self._reactor.callFromThread(self._awake)

    def _awake(self) -> None:
        self._woken = False
        if not self._stopped:
            self.look()

    def _look_again(self) -> None:
        if self._stopped:
            return
        stamp = self._stamps()
        if stamp != self._stamp:
            self.look()
        self._poll = self._reactor.callLater(self._every, self._look_again)

    def _stamps(self) -> Any:
        try:
            names = sorted(self.path.glob("*.hcl")) if self.path.is_dir() else [self.path]
            stats = [(str(name), os.stat(name)) for name in names]
            return [(name, s.st_ino, s.st_size, s.st_mtime_ns) for name, s in stats]
        except OSError as problem:
            return str(problem)

    def look(self) -> None:
        """Read the files and tell."""
        self._stamp = self._stamps()
        try:
            texts = read_files(self.path)
        except OSError as problem:
            reason = f"{self.path}: {problem.strerror or problem}"
            if reason != self._problem:  # the last good list serves on
                self._problem = reason
                self._log.error("list_unreadable", fault=reason)
            return
        self._problem = ""
        self._carry_out(self.membership.seen(self._now(), texts))

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            self._act(action)
        due = self.membership.due()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if due is not None and not self._stopped:
            self._timer = self._reactor.callLater(max(0, due - self._now()) / 1e9, self._settled)

    def _settled(self) -> None:
        self.look()  # what stands there now is what counts

    def force(self) -> None:
        """The operator's word on a list that was held back."""
        self._carry_out(self.membership.force())
