"""The version that is active at this gateway, stored in a small file beside the settings.

Supervisor and worker both follow it. The file is replaced atomically. Fields that this program does not know are
ignored when the file is read.
"""

from __future__ import annotations

import os
import shlex
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

FILE = "rollout-in-force.json"
# Environment variables of a worker: the active version as JSON, and the settings file its supervisor was started with
ACTIVE_VERSION_VARIABLE = "YARDBANK_IN_FORCE"
SETTINGS_FILE_VARIABLE = "YARDBANK_GIVEN"
EXIT_FOR_RESTART = 86  # exit code of a worker that asks to be restarted with the version that the file names then
MAX_FILE_OCTETS = 1 << 16


class Version(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a gateway runs; if ``settings`` or ``program`` is empty, the one that it was started with."""

    rollout: str = ""  # id of the rollout that introduced this version; empty: none did
    mark: int = 0
    settings: str = ""  # path relative to the directory of the original settings file
    program: str = ""
    name: str = ""  # short hash

    def command(self, own: list[str]) -> list[str]:
        """The command line up to the subcommand; ``own`` is the one of the original program."""
        return shlex.split(self.program) if self.program else own

    def file(self, given: Path) -> Path:
        """Path of the settings file; ``given`` is the original one."""
        return given.parent / self.settings if self.settings else given


class ActiveVersion(msgspec.Struct, frozen=True, omit_defaults=True):
    """``now`` is active; ``before`` is the rollback target. If they are equal, no change is in progress."""

    now: Version = Version()
    before: Version = Version()
    restarts: int = 0  # of the process since ``now`` became active
    changed: float = 0.0  # when ``now`` became active, seconds since 1970
    fell: str = ""  # why the previous version was rolled back without an order of its rollout
    fell_from: str = ""  # that rollout

    def activated(self, to: Version, wall: float = 0.0) -> ActiveVersion:
        """Activates ``to``, with the current version as rollback target."""
        return ActiveVersion(to, self.now, changed=wall)

    def rolled_back(self, why: str = "") -> ActiveVersion:
        """Rolls back; ``why``: the reason if the supervisor did it on a dead worker, empty on the rollout's order."""
        return ActiveVersion(self.before, self.before, fell=why, fell_from=self.now.rollout if why else "")

    def committed(self) -> ActiveVersion:
        """Commits the current version: it can no longer be rolled back."""
        return ActiveVersion(self.now, self.now, self.restarts, self.changed)

    def restarted(self) -> ActiveVersion:
        """Counts a restart of the process after it died."""
        return msgspec.structs.replace(self, restarts=self.restarts + 1)

    @property
    def uncommitted(self) -> bool:
        """Whether the current version is not committed yet."""
        return self.now != self.before


def decoded(data: bytes | str) -> ActiveVersion:
    """Parses the content of the file. Raises ``ValueError``."""
    if len(data) > MAX_FILE_OCTETS:
        raise ValueError(f"{len(data)} octets, {MAX_FILE_OCTETS} allowed")
    try:
        return msgspec.json.decode(data, type=ActiveVersion)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a valid active version: {error}") from None


def encoded(active_version: ActiveVersion) -> str:
    """The JSON that the file holds."""
    return msgspec.json.encode(active_version).decode()


@dataclass(slots=True, frozen=True)
class Started:
    """How this process was started: the active version, the original settings file, whether a supervisor runs it.

    ``leave`` shuts the process down gracefully so that the supervisor restarts it; None: there is no supervisor.
    """

    active_version: ActiveVersion
    given: Path
    supervised: bool
    leave: Callable[[], None] | None = None


def of_worker(environment: Mapping[str, str], file: Path) -> Started:
    """For a process that serves ``file``. Raises ``ValueError``."""
    if ACTIVE_VERSION_VARIABLE in environment:
        return Started(
            decoded(environment[ACTIVE_VERSION_VARIABLE]),
            Path(environment.get(SETTINGS_FILE_VARIABLE, str(file))),
            True,
        )
    return Started(read(file.parent), file, False)


def read(folder: Path) -> ActiveVersion:
    """Reads the active version; without a file, the version that the gateway was started with.

    Raises ``ValueError`` with the path if the file cannot be used, since any fallback would pick a version by guess.
    """
    path = folder / FILE
    try:
        with path.open("rb") as file:
            return decoded(file.read(MAX_FILE_OCTETS + 1))
    except FileNotFoundError:
        return ActiveVersion()
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:
        raise ValueError(f"{path}:1: {error}") from None


def write(folder: Path, active_version: ActiveVersion) -> None:
    """Replaces the file atomically. Raises ``OSError``; then the former content stays."""
    partial = folder / (FILE + ".part")
    with partial.open("w", encoding="utf-8") as file:
        file.write(encoded(active_version) + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(partial, folder / FILE)
