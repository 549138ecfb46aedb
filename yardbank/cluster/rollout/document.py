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

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$"
SHARE_METRICS = ("served", "refused", "failed", "late")  # shares of requests, compared by class
# A file in the same directory, so that relative paths in it resolve as in the original settings
FILE_PATTERN = r"^([A-Za-z0-9][A-Za-z0-9._-]{0,99})?$"
METRICS = (*SHARE_METRICS, "p99", "restarts", "memory")
SECOND = 1_000_000_000
MAX_STAGES = 16


class Change(Model):
    """One requested rollout; times in nanoseconds."""

    id: Annotated[str, Field(pattern=NAME_PATTERN)]
    settings: Annotated[str, Field(pattern=FILE_PATTERN)] = ""  # a file beside the original settings file
    program: str = ""  # a command that replaces this program's
    stages: tuple[float, ...] = (0.02, 0.1, 0.5, 1.0)
    hold: Duration = 60 * SECOND  # least duration of a stage after all its gateways have changed
    settle: Duration = 10 * SECOND  # a gateway's figures do not count for so long after its change
    most_at_once: Annotated[int, Field(ge=1, le=64, strict=True)] = 1
    outage: Duration = 30 * SECOND  # a change that takes longer, settling included, is no planned outage
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
    def _check_stages(cls, value: tuple[float, ...]) -> tuple[float, ...]:
        if not 2 <= len(value) <= MAX_STAGES:
            raise ValueError(f"2 to {MAX_STAGES} stages are required")
        if list(value) != sorted(set(value)) or value[0] <= 0 or value[-1] != 1:
            raise ValueError("ascending shares of the fleet, above 0 and up to 1, are required")
        return value

    @field_validator("worse")
    @classmethod
    def _check_metrics(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for word in value:
            if word not in METRICS:
                raise ValueError(f"'{word}' is not one of {', '.join(METRICS)}")
        if not set(value) & set(SHARE_METRICS):
            raise ValueError(f"at least one of {', '.join(SHARE_METRICS)} is required")
        return tuple(sorted(set(value), key=METRICS.index))

    @field_validator("program")
    @classmethod
    def _check_program(cls, value: str) -> str:
        try:
            shlex.split(value)
        except ValueError as error:
            raise ValueError(f"not a valid command: {error}") from None
        return value

    @model_validator(mode="after")
    def _check_combinations(self) -> Change:
        if bool(self.settings) == bool(self.program):
            raise ValueError("exactly one of settings and program is required")
        if self.settle >= self.outage:
            raise ValueError("settle must be shorter than outage")
        if self.hold > self.longest:
            raise ValueError("hold must not be longer than longest")
        return self

    def mark(self) -> int:
        """A hash of the request: equal on two gateways if they were asked for the same."""
        return self.number

    @cached_property
    def number(self) -> int:
        """The same, computed once."""
        return xxhash.xxh3_64_intdigest(self.to_json().encode())

    def to_json(self) -> str:
        """JSON of the keys that the file sets, without defaults: programs with other defaults agree on the hash."""
        return json.dumps(self.model_dump(mode="json", exclude_unset=True), sort_keys=True)

    @classmethod
    def from_json(cls, text: str) -> Change:
        """Restores a request, perhaps written by another version of the program. Raises ``ValueError``."""
        found = json.loads(text)
        if not isinstance(found, dict) or not isinstance(found.get("id"), str):
            raise ValueError("not a rollout request")  # noqa: TRY004  # a fault of the file
        known: dict[str, Any] = {
            key: tuple(value) if isinstance(value, list) else value
            for key, value in found.items()
            if key in cls.model_fields
        }
        return cls.model_construct(None, **known)


class RolloutName(Model):
    """A reference to a rollout."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    id: Annotated[str, Field(pattern=NAME_PATTERN)]


class ChangeFile(Model):
    """Content of the rollout file; without a block no rollout is requested."""

    rollout: tuple[Change, ...] = ()


class OperatorCommandFile(Model):
    """Content of the command file; rollouts that it does not name continue."""

    stop: tuple[RolloutName, ...] = Field(default=(), max_length=64)
    withdraw: tuple[RolloutName, ...] = Field(default=(), max_length=64)


def _reject_second(file: ChangeFile) -> Faults:
    faults: Faults = [
        (("rollout", index), f'rollout "{one.id}" is a second rollout; only one can run at a time')
        for index, one in enumerate(file.rollout[1:], 1)
    ]
    return faults


SHAPE = Shape(ChangeFile, {"rollout": "id"}, (), _reject_second)
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


def _request_of(file: ChangeFile) -> Asked:
    return Asked(file.rollout[0] if file.rollout else None)


def _command_of(file: OperatorCommandFile) -> OperatorCommand:
    return OperatorCommand(tuple(one.id for one in file.stop), tuple(one.id for one in file.withdraw))


class WatchedFile:
    """Tracks the last valid content of one file; implements ``server_list.watcher.Watched``."""

    def __init__(self, shape: Shape[Any], patience: int = 2 * SECOND) -> None:
        """``shape``: ``SHAPE`` or ``COMMANDS``."""
        self._shape, self._patience = shape, patience
        self._content: bytes | None = None
        self._changed_at = 0
        self._pending_rejection: Reject | None = None
        self._last_valid: Asked | OperatorCommand | None = None

    def seen(self, now: int, texts: Mapping[str, bytes]) -> list[Asked | OperatorCommand | Reject]:
        """Takes the content that was read; returns what changed."""
        name, data = next(iter(texts.items()), ("rollout", b""))
        if data != self._content:
            self._content, self._changed_at, self._pending_rejection = data, now, None
            try:
                found = taken(data, name, self._shape)
            except ConfigError as error:
                self._pending_rejection = Reject(tuple(error.faults))
            else:
                if found != self._last_valid:
                    self._last_valid = found
                    return [found]
        if self._pending_rejection is not None and now - self._changed_at >= self._patience:
            rejected, self._pending_rejection = self._pending_rejection, None
            return [rejected]
        return []

    def due(self) -> int | None:
        """When to read the file again although it has not changed; None: not at all."""
        return self._changed_at + self._patience if self._pending_rejection is not None else None

    def force(self) -> list[Asked | OperatorCommand | Reject]:
        """Required by the watcher; nothing is held back here."""
        return []


def taken(data: bytes, name: str, shape: Shape[Checked]) -> Asked | OperatorCommand:
    """Parses and validates a file. Raises ``ConfigError``."""
    try:
        file = check_text(data.decode(), name, shape)
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise ConfigError([f"{name}:{line}: not UTF-8"]) from None
    return _request_of(file) if isinstance(file, ChangeFile) else _command_of(file)  # type: ignore[arg-type]


def command_file(file: Path) -> Path:
    """Path of the operator's command file, beside the rollout file."""
    return file.with_name(file.name + ".word")


def version_hash(text: str) -> str:
    """Short hash of settings (their text) or of a program (its command)."""
    return xxhash.xxh3_64_hexdigest(text.encode())[:8]
