"""Which version is in force at this gateway, as a small file says it beside the settings; written whole or not at all.

Supervisor and worker both go by it. A program that does not know a field keeps the rest.
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
EXIT_FOR_RESTART = 86  # of a worker that is to be started anew, by what the file says then
MAX_OCTETS = 1 << 16


class Version(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a gateway runs by; where ``settings`` or ``program`` is empty, what it was started with."""

    rollout: str = ""  # that brought it; empty: none did
    mark: int = 0
    settings: str = ""  # a file, relative to that of the settings
    program: str = ""
    name: str = ""  # a short hash

    def command(self, own: list[str]) -> list[str]:
        """The program and its arguments, up to the subcommand."""
        return shlex.split(self.program) if self.program else own

    def file(self, given: Path) -> Path:
        """The settings file."""
        return given.parent / self.settings if self.settings else given


class ActiveVersion(msgspec.Struct, frozen=True, omit_defaults=True):
    """``now`` is in force; ``before`` is gone back to. Equal: nothing is under way."""

    now: Version = Version()
    before: Version = Version()
    restarts: int = 0  # of the process since ``now`` came into force
    changed: float = 0.0  # when ``now`` came into force, seconds since 1970
    fell: str = ""  # why the last one was left by itself; its rollout:
    fell_from: str = ""

    def gone_over(self, to: Version, wall: float = 0.0) -> ActiveVersion:
        """Another version, with the way back."""
        return ActiveVersion(to, self.now, changed=wall)

    def gone_back(self, why: str = "") -> ActiveVersion:
        """The one before; ``why``: not as a rollout wanted it, but by itself."""
        return ActiveVersion(self.before, self.before, fell=why, fell_from=self.now.rollout if why else "")

    def kept(self) -> ActiveVersion:
        """There is no way back any more."""
        return ActiveVersion(self.now, self.now, self.restarts, self.changed)

    def restarted(self) -> ActiveVersion:
        """The process died, and is started again."""
        return msgspec.structs.replace(self, restarts=self.restarts + 1)

    @property
    def young(self) -> bool:
        """Whether it may still go back."""
        return self.now != self.before


def decoded(data: bytes | str) -> ActiveVersion:
    """Raises ``ValueError``."""
    if len(data) > MAX_OCTETS:
        raise ValueError(f"{len(data)} octets, {MAX_OCTETS} allowed")
    try:
        return msgspec.json.decode(data, type=ActiveVersion)
    except msgspec.DecodeError as problem:
        raise ValueError(f"not what is in force: {problem}") from None


def encoded(active_version: ActiveVersion) -> str:
    """As it stands in the file."""
    return msgspec.json.encode(active_version).decode()


@dataclass(slots=True, frozen=True)
class Started:
    """How this process was started: what is in force, the settings file given at first, whether it is supervised.

    ``leave`` ends the process in good order, for its supervisor to start it anew; None: nobody would.
    """

    active_version: ActiveVersion
    given: Path
    supervised: bool
    leave: Callable[[], None] | None = None


def of_worker(environment: Mapping[str, str], file: Path) -> Started:
    """Of a process that serves ``file``. Raises ``ValueError``."""
    if ACTIVE_VERSION_VARIABLE in environment:
        return Started(
            decoded(environment[ACTIVE_VERSION_VARIABLE]),
            Path(environment.get(SETTINGS_FILE_VARIABLE, str(file))),
            True,
        )
    return Started(read(file.parent), file, False)


def read(folder: Path) -> ActiveVersion:
    """What is in force by the file; without one what the gateway was started with.

    Raises ``ValueError`` naming the file if it cannot be used: to guess would be to choose a version.
    """
    path = folder / FILE
    try:
        with path.open("rb") as file:
            return decoded(file.read(MAX_OCTETS + 1))
    except FileNotFoundError:
        return ActiveVersion()
    except OSError as problem:
        raise ValueError(f"{path}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ValueError(f"{path}:1: {problem}") from None


def write(folder: Path, active_version: ActiveVersion) -> None:
    """Raises ``OSError``; then what was in force still is."""
    part = folder / (FILE + ".part")
    with part.open("w", encoding="utf-8") as file:
        file.write(encoded(active_version) + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, folder / FILE)
