"""I/O side of ``RolloutPart``: watches the files, applies settings, ends the process."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from yardbank.cluster.rollout import active_version as active_version_file
from yardbank.cluster.rollout.active_version import ActiveVersion, Version
from yardbank.cluster.rollout.document import (
    COMMANDS,
    SHAPE,
    Asked,
    Change,
    OperatorCommand,
    Reject,
    WatchedFile,
    command_file,
    version_hash,
)
from yardbank.cluster.rollout.local_state import Activate, Commit, RollBack
from yardbank.cluster.rollout.part import RolloutPart
from yardbank.config import Config, ConfigError, load
from yardbank.config.blocks import RolloutBlock
from yardbank.config.checked import Shape, read_text
from yardbank.server_list.watcher import Watcher

POLL_SECONDS = 0.2  # interval for orders and for files that did not exist yet


def name_of(file: Path, program: str) -> str:
    """Short hash of a version's settings and program. Raises ``ConfigError``."""
    return version_hash(read_text(file) + program)


def sound(config: Config, file: Path) -> None:
    """Raises ``ConfigError`` for settings without the blocks that a gateway needs to be rolled back."""
    for name, block in (("peers", config.peers), ("rollout", config.rollout)):
        if block is None:
            raise ConfigError([f"{file}:1: {name}: no such block: the gateway could not be rolled back"])


class Actuator:
    """Executes the orders of one gateway's rollout part.

    ``given``: the settings file the process was started with; ``active_version``: the version active at that time.
    ``reload`` applies new settings without a restart, or raises ``ValueError`` and changes nothing. ``leave`` shuts the
    process down so that its supervisor restarts it; None: there is no supervisor.
    """

    def __init__(
        self,
        part: RolloutPart,
        given: Path,
        block: RolloutBlock,
        active_version: ActiveVersion,
        *,
        reactor: Any,
        now: Callable[[], int],
        wall: Callable[[], float],
        log: Any,
        prompt: Callable[[], None],
        reload: Callable[[Config], None],
        leave: Callable[[], None] | None,
    ) -> None:
        self._part, self._settings_file, self._active_version = part, given, active_version
        self._reactor, self._now, self._wall, self._log = reactor, now, wall, log
        self._prompt, self._reload, self._leave = prompt, reload, leave
        file = given.parent / block.file
        # Files that do not exist yet; that is no error
        self._missing_files: dict[Path, Shape[Any]] = {file: SHAPE, command_file(file): COMMANDS}
        self._watchers: list[Watcher] = []
        self._timer: Any = None
        self._leaving = False

    def start(self) -> None:
        """Logs a rollback made by the supervisor, and starts to poll."""
        if not self._active_version.now.rollout and self._active_version.fell:
            self._log.warning(
                "rollout",
                rollout=self._active_version.fell_from,
                what="left",
                stage=0,
                version="",
                why=self._active_version.fell,
            )
        self._poll()

    def stop(self) -> None:
        """Stops the watchers and the timer."""
        for watcher in self._watchers:
            watcher.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _poll(self) -> None:
        self._timer = self._reactor.callLater(POLL_SECONDS, self._poll)
        for path in [path for path in self._missing_files if path.exists()]:
            shape = self._missing_files.pop(path)
            watcher = Watcher(
                path, WatchedFile(shape), self._handle, reactor=self._reactor, now=self._now, log=self._log
            )
            self._watchers.append(watcher)
            watcher.start()
        for transition in self._part.transitions():
            self._log.info(
                "rollout",
                rollout=transition.rollout,
                what=transition.what,
                stage=transition.stage,
                version=transition.version,
                why=transition.why,
            )
        for order in self._part.orders():
            if not self._leaving:
                self._execute(order)
                self._prompt()

    def _handle(self, action: Asked | OperatorCommand | Reject) -> None:
        if isinstance(action, Reject):
            for fault in action.faults:
                self._log.error("rollout_rejected", fault=fault)
        elif isinstance(action, OperatorCommand):
            self._part.take_command(self._now(), action)
        else:
            try:
                name = self._version_name(action.change) if action.change is not None else ""
            except ConfigError as error:
                for fault in error.faults:  # the last valid request stays in effect
                    self._log.error("rollout_rejected", fault=fault)
                return
            self._part.asked(self._now(), action.change, name)
        self._prompt()

    def _version_name(self, change: Change) -> str:
        now = self._active_version.now  # what the change does not name stays as an earlier rollout has set it
        version = Version(settings=change.settings or now.settings, program=change.program or now.program)
        file = version.file(self._settings_file)
        sound(load(file), file)
        return name_of(file, version.program)

    def _execute(self, order: Activate | RollBack | Commit) -> None:
        match order:
            case Commit():
                self._commit()
            case Activate():
                self._change_to(order.version, self._active_version.activated(order.version, self._wall()), order)
            case RollBack():
                self._change_to(self._active_version.before, self._active_version.rolled_back(), order)

    def _commit(self) -> None:
        committed = self._active_version.committed()
        if self._write(committed):  # otherwise a restart may still roll back, and logs that it did
            self._active_version = committed

    def _change_to(self, version: Version, active: ActiveVersion, order: Activate | RollBack) -> None:
        """Activates a version: without a restart where possible, otherwise by a restart of the process."""
        try:
            config = self._load(version, order)
        except ConfigError as error:
            self._fail(error.faults[0])
            return
        if not self._write(active):
            self._fail("the active version cannot be stored")
            return
        reason = self._reload_settings(version, config)
        if reason is None:
            self._active_version = active
            self._part.applied(self._now())
        elif self._leave is not None and order.may_restart:
            self._leaving = True
            self._leave()
        else:
            self._restore(reason)

    def _load(self, version: Version, order: Activate | RollBack) -> Config:
        """Loads the settings of a version. Raises ``ConfigError``."""
        file = version.file(self._settings_file)
        config = load(file)
        if isinstance(order, Activate) and name_of(file, version.program) != version.name:
            raise ConfigError([f"{file}: changed since it was requested"])
        return config

    def _reload_settings(self, version: Version, config: Config) -> str | None:
        """Applies settings without a restart; returns None, or why that is impossible."""
        if version.program != self._active_version.now.program:
            return "another program"
        try:
            self._reload(config)
        except ValueError as error:
            return str(error)
        return None

    def _restore(self, reason: str) -> None:
        """Restores the file: the change needs a restart, and none is possible or allowed now."""
        self._write(self._active_version)
        if self._leave is None:
            self._fail(f"no supervisor to restart it; {reason}")
        else:
            self._part.needs_restart(self._now())

    def _fail(self, why: str) -> None:
        self._log.error("rollout_failed", why=why)
        self._part.failed(self._now(), why)

    def _write(self, active_version: ActiveVersion) -> bool:
        try:
            active_version_file.write(self._settings_file.parent, active_version)
        except OSError as error:
            self._log.error(
                "rollout_not_written", path=str(self._settings_file.parent / active_version_file.FILE), error=str(error)
            )
            return False
        return True
