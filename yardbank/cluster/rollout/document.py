"""The rollout file and the operator's command file: schema, validation, change detection. No I/O.

    rollout "2026-12-a" {
      settings = "new.hcl"
      stages   = [0.02, 0.1, 0.5, 1]
    }

The command file is FILE.word beside it: ``stop "2026-12-a" {}`` or ``withdraw "2026-12-a" {}``. Each file is accepted
whole or not at all. An invalid text may still be being written: it is reported only after ``patience``, and the last
valid one stays in effect.
"""

from __future__ import annotations

import json
import shlex
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Annotated, Any

import xxhash
from pydantic import ConfigDict, Field, field_validator, model_validator

from yardbank.config.base import Duration, Model, StringTuple
from yardbank.config.checked import Checked, ConfigError, Faults, Shape, check_text

NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$"
SHARES = ("served", "refused", "failed", "late")  # shares of requests, compared by class
# A file in the same directory, so that relative paths in it resolve as in the original settings
FILE = r"^([A-Za-z0-9][A-Za-z0-9._-]{0,99})?$"
METRICS = (*SHARES, "p99", "restarts", "memory")
SECOND = 1_000_000_000
MAX_STAGES = 16


class Change(Model):
    """One requested rollout; times in nanoseconds."""

    id: Annotated[str, Field(pattern=NAME)]
    settings: Annotated[str, Field(pattern=FILE)] = ""  # a file beside the original settings file
    program: str = ""  # a command that replaces this program's
    stages: tuple[float, ...] = (0.02, 0.1, 0.5, 1.0)
    hold: Duration = 60 * SECOND  # least duration of a stage after all its gateways have changed
    settle: Duration = 10 * SECOND  # a gateway's figures do not count for so long after its change
    most_at_once: Annotated[int, Field(ge=1, le=64, strict=True)] = 1
    outage: Duration = 30 * SECOND  # a change with restart is expected to take no longer, settling included
    longest: Duration = 1800 * SECOND  # a stage without progress is undecided after this
    worse: StringTuple = METRICS
    worse_by: Annotated[float, Field(gt=0, le=0.5)] = 0.02  # least difference, as a share of a class's requests
    false_stop: Annotated[float, Field(gt=0, le=0.5)] = 0.05
    false_pass: Annotated[float, Field(gt=0, le=0.5)] = 0.05
    p99: Annotated[float, Field(gt=1, le=100)] = 1.5  # limit, as a multiple of the old version's
    memory: Annotated[float, Field(gt=1, le=100)] = 1.5  # limit, as a multiple of the old version's
    restarts: Annotated[int, Field(ge=1, le=100, strict=True)] = 2  # limit for one gateway

    @field_validator("stages")
    @classmethod
    def _rising(cls, value: tuple[float, ...]) -> tuple[float, ...]:
        if not 2 <= len(value) <= MAX_STAGES:
            raise ValueError(f"two to {MAX_STAGES} are wanted")
        if list(value) != sorted(set(value)) or value[0] <= 0 or value[-1] != 1:
            raise ValueError("shares of the fleet that rise, from above 0 to 1, are wanted")
        return value

    @field_validator("worse")
    @classmethod
    def _known(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for word in value:
            if word not in METRICS:
                raise ValueError(f"'{word}' is none of {', '.join(METRICS)}")
        if not set(value) & set(SHARES):
            raise ValueError(f"one of {', '.join(SHARES)} is wanted")
        return tuple(sorted(set(value), key=METRICS.index))

    @field_validator("program")
    @classmethod
    def _command(cls, value: str) -> str:
        try:
            shlex.split(value)
        except ValueError as problem:
            raise ValueError(f"no command: {problem}") from None
        return value

    @model_validator(mode="after")
    def _whole(self) -> Change:
        if bool(self.settings) == bool(self.program):
            raise ValueError("either settings or program is wanted")
        if self.settle >= self.outage:
            raise ValueError("settle is not shorter than outage")
        if self.hold > self.longest:
            raise ValueError("hold is longer than longest")
        return self

    def mark(self) -> int:
        """A hash of the request: equal on two gateways if they were asked for the same."""
        return self.number

    @cached_property
    def number(self) -> int:
        """The same, computed once."""
        return xxhash.xxh3_64_intdigest(self.kept().encode())

    def kept(self) -> str:
        """JSON of the keys that the file sets, without defaults: programs with other defaults agree on the hash."""
        return json.dumps(self.model_dump(mode="json", exclude_unset=True), sort_keys=True)

    @classmethod
    def of(cls, kept: str) -> Change:
        """Restores a request, perhaps written by another version of the program. Raises ``ValueError``."""
        found = json.loads(kept)
        if not isinstance(found, dict) or not isinstance(found.get("id"), str):
            raise ValueError("no rollout")  # noqa: TRY004  # a fault of the file
        known: dict[str, Any] = {
            key: tuple(value) if isinstance(value, list) else value
            for key, value in found.items()
            if key in cls.model_fields
        }
        return cls.model_construct(None, **known)


class Named(Model):
    """A reference to a rollout."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: Annotated[str, Field(pattern=NAME)]


class ChangeFile(Model):
    """Content of the rollout file; without a block no rollout is requested."""

    rollout: tuple[Change, ...] = ()


class OperatorCommandFile(Model):
    """Content of the command file; rollouts that it does not name continue."""

    stop: tuple[Named, ...] = Field(default=(), max_length=64)
    withdraw: tuple[Named, ...] = Field(default=(), max_length=64)


def _one(file: ChangeFile) -> Faults:
    again: Faults = [
        (("rollout", index), f'rollout "{one.id}" is a second one; one goes at a time')
        for index, one in enumerate(file.rollout[1:], 1)
    ]
    return again


SHAPE = Shape(ChangeFile, {"rollout": "id"}, (), _one)
COMMANDS = Shape(OperatorCommandFile, {"stop": "id", "withdraw": "id"}, ())


@dataclass(slots=True, frozen=True)
class Asked:
    """The request now in effect; None: there is none."""

    change: Change | None


@dataclass(slots=True, frozen=True)
class OperatorCommand:
    """Ids of rollouts that the operator stops, and of those that the operator withdraws."""

    stop: tuple[str, ...]
    withdraw: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Reject:
    """The file is invalid; the last valid one stays in effect."""

    faults: tuple[str, ...]


def _asked(file: ChangeFile) -> Asked:
    return Asked(file.rollout[0] if file.rollout else None)


def _command_of(file: OperatorCommandFile) -> OperatorCommand:
    return OperatorCommand(tuple(one.id for one in file.stop), tuple(one.id for one in file.withdraw))


class Watching:
    """Tracks the last valid content of one file; implements ``server_list.watcher.Watched``."""

    def __init__(self, shape: Shape[Any], patience: int = 2 * SECOND) -> None:
        """``shape``: ``SHAPE`` or ``COMMANDS``."""
        self._shape, self._patience = shape, patience
        self._text: bytes | None = None
        self._since = 0
        self._waiting: Reject | None = None
        self._last: Asked | OperatorCommand | None = None

    def seen(self, now: int, texts: Mapping[str, bytes]) -> list[Asked | OperatorCommand | Reject]:
        """Takes the content that was read; returns what changed."""
        name, data = next(iter(texts.items()), ("rollout", b""))
        if data != self._text:
            self._text, self._since, self._waiting = data, now, None
            try:
                found = taken(data, name, self._shape)
            except ConfigError as problem:
                self._waiting = Reject(tuple(problem.faults))
            else:
                if found != self._last:
                    self._last = found
                    return [found]
        if self._waiting is not None and now - self._since >= self._patience:
            rejected, self._waiting = self._waiting, None
            return [rejected]
        return []

    def due(self) -> int | None:
        """When to read the file again although it has not changed; None: not at all."""
        return self._since + self._patience if self._waiting is not None else None

    def force(self) -> list[Asked | OperatorCommand | Reject]:
        """Required by the watcher; nothing is held back here."""
        return []


def taken(data: bytes, name: str, shape: Shape[Checked]) -> Asked | OperatorCommand:
    """Parses and validates a file. Raises ``ConfigError``."""
    try:
        file = check_text(data.decode(), name, shape)
    except UnicodeDecodeError as problem:
        line = data[: problem.start].count(b"\n") + 1
        raise ConfigError([f"{name}:{line}: not UTF-8"]) from None
    return _asked(file) if isinstance(file, ChangeFile) else _command_of(file)  # type: ignore[arg-type]


def command_file(file: Path) -> Path:
    """Path of the operator's command file, beside the rollout file."""
    return file.with_name(file.name + ".word")


def version_of(text: str) -> str:
    """Short hash of settings (their text) or of a program (its command)."""
    return xxhash.xxh3_64_hexdigest(text.encode())[:8]
