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
    Watching,
    command_file,
    version_of,
)
from yardbank.cluster.rollout.local_state import Activate, Commit, RollBack
from yardbank.cluster.rollout.part import RolloutPart
from yardbank.config import Config, ConfigError, load
from yardbank.config.blocks import RolloutBlock
from yardbank.config.checked import Shape, read_text
from yardbank.server_list.watcher import Watcher

LOOK_EVERY = 0.2  # between two looks for orders and for files that did not exist yet


def name_of(file: Path, program: str) -> str:
    """Short hash of a version's settings and program. Raises ``ConfigError``."""
    return version_of(read_text(file) + program)


def sound(config: Config, file: Path) -> None:
    """Raises ``ConfigError`` for settings without the blocks that a gateway needs to be rolled back."""
    for name, block in (("peers", config.peers), ("rollout", config.rollout)):
        if block is None:
            raise ConfigError([f"{file}:1: {name}: no such block: the gateway could not be called back"])


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
        self._part, self._given, self._active_version = part, given, active_version
        self._reactor, self._now, self._wall, self._log = reactor, now, wall, log
        self._prompt, self._reload, self._leave = prompt, reload, leave
        file = given.parent / block.file
        # Files that do not exist yet; that is no error
        self._absent: dict[Path, Shape[Any]] = {file: SHAPE, command_file(file): COMMANDS}
        self._watchers: list[Watcher] = []
        self._timer: Any = None
        self._left = False

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
        self._look()

    def stop(self) -> None:
        """Stops the watchers and the timer."""
        for watcher in self._watchers:
            watcher.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _look(self) -> None:
        self._timer = self._reactor.callLater(LOOK_EVERY, self._look)
        for path in [path for path in self._absent if path.exists()]:
            shape = self._absent.pop(path)
            made = Watcher(path, Watching(shape), self._take, reactor=self._reactor, now=self._now, log=self._log)
            self._watchers.append(made)
            made.start()
        for turn in self._part.turns():
            self._log.info(
                "rollout", rollout=turn.rollout, what=turn.what, stage=turn.stage, version=turn.version, why=turn.why
            )
        for order in self._part.orders():
            if not self._left:
                self._carry_out(order)
                self._prompt()

    def _take(self, action: Asked | OperatorCommand | Reject) -> None:
        if isinstance(action, Reject):
            for fault in action.faults:
                self._log.error("rollout_rejected", fault=fault)
        elif isinstance(action, OperatorCommand):
            self._part.take_command(self._now(), action)
        else:
            try:
                name = self._name(action.change) if action.change is not None else ""
            except ConfigError as problem:
                for fault in problem.faults:  # the last valid request stays in effect
                    self._log.error("rollout_rejected", fault=fault)
                return
            self._part.asked(self._now(), action.change, name)
        self._prompt()

    def _name(self, change: Change) -> str:
        now = self._active_version.now  # what the change does not name stays as an earlier rollout has set it
        version = Version(settings=change.settings or now.settings, program=change.program or now.program)
        file = version.file(self._given)
        sound(load(file), file)
        return name_of(file, version.program)

    def _carry_out(self, order: Activate | RollBack | Commit) -> None:
        match order:
            case Commit():
                self._commit()
            case Activate():
                self._change_to(order.version, self._active_version.gone_over(order.version, self._wall()), order)
            case RollBack():
                self._change_to(self._active_version.before, self._active_version.gone_back(), order)

    def _commit(self) -> None:
        committed = self._active_version.kept()
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
            self._fail("what is in force cannot be written")
            return
        reason = self._reload_in_service(version, config)
        if reason is None:
            self._active_version = active
            self._part.up(self._now())
        elif self._leave is not None and order.down:
            self._left = True
            self._leave()
        else:
            self._stay(reason)

    def _load(self, version: Version, order: Activate | RollBack) -> Config:
        """Loads the settings of a version. Raises ``ConfigError``."""
        file = version.file(self._given)
        config = load(file)
        if isinstance(order, Activate) and name_of(file, version.program) != version.name:
            raise ConfigError([f"{file}: not what was asked for any more"])
        return config

    def _reload_in_service(self, version: Version, config: Config) -> str | None:
        """Applies settings without a restart; returns None, or why that is impossible."""
        if version.program != self._active_version.now.program:
            return "another program"
        try:
            self._reload(config)
        except ValueError as error:
            return str(error)
        return None

    def _stay(self, reason: str) -> None:
        """Restores the file: the change needs a restart, and none is possible or allowed now."""
        self._write(self._active_version)
        if self._leave is None:
            self._fail(f"nobody starts it anew; {reason}")
        else:
            self._part.not_in_service(self._now())

    def _fail(self, why: str) -> None:
        self._log.error("rollout_failed", why=why)
        self._part.failed(self._now(), why)

    def _write(self, active_version: ActiveVersion) -> bool:
        try:
            active_version_file.write(self._given.parent, active_version)
        except OSError as problem:
            self._log.error(
                "rollout_not_written", path=str(self._given.parent / active_version_file.FILE), error=str(problem)
            )
            return False
        return True
