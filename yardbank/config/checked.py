"""Parses HCL files and validates them against a schema: settings and all other files in the same format.

Each fault is one line that names file and line.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ValidationError

from yardbank.config.hcl import Body, HclError, parse

MAX_OCTETS = 16 << 20  # of one file
Checked = TypeVar("Checked", bound=BaseModel)
Faults = list[tuple[tuple[Any, ...], str]]  # path in the value, and the reason


class ConfigError(ValueError):
    """Invalid settings. ``faults`` are lines such as ``file.hcl:12: server a: ...``."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


@dataclass(slots=True, frozen=True)
class Shape(Generic[Checked]):
    """Schema of a file."""

    model: type[Checked]
    labels: Mapping[str, str]  # field set by the label, by kind of block
    single: Collection[str]  # kinds of top-level blocks that may occur at most once
    cross: Callable[[Checked], Faults] = lambda value: []  # checks that involve several fields


def read_text(path: Path) -> str:
    """Read a file as text. Raises ``ConfigError``."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    if len(data) > MAX_OCTETS:
        raise ConfigError([f"{path}: {len(data)} octets, {MAX_OCTETS} allowed"])
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise ConfigError([f"{path}:{line}: not UTF-8"]) from None


def check_text(text: str, name: str, shape: Shape[Checked]) -> Checked:
    """Parse and validate a text; ``name`` names the file in faults. Raises ``ConfigError``."""
    try:
        body = parse(text)
    except HclError as error:
        raise ConfigError([f"{name}:{error.line}: {error.reason}"]) from None
    lines: dict[tuple[Any, ...], int] = {}
    faults: list[str] = []
    plain = _plain_values(body, lines, (), faults, name, shape)
    if faults:
        raise ConfigError(faults)
    try:
        value = shape.model.model_validate(plain)
    except ValidationError as exception:
        raise ConfigError([_format_fault(error, lines, plain, name, shape) for error in exception.errors()]) from None
    faults = [f"{name}:{lines.get(path, 1)}: {reason}" for path, reason in shape.cross(value)]
    if faults:
        raise ConfigError(faults)
    return value


def _plain_values(
    body: Body,
    lines: dict[tuple[Any, ...], int],
    path: tuple[Any, ...],
    faults: list[str],
    name: str,
    shape: Shape[Any],
) -> Any:
    """Convert a body to the plain values that the schema validates. Labels become the fields that they set.

    Records the line of each path in ``lines``.
    """
    values: dict[str, Any] = dict(body.attributes)
    lines[path] = body.line
    for key, line in body.lines.items():
        lines[(*path, key)] = line
    for kind, blocks in body.blocks.items():
        if kind in shape.single and not path:
            if len(blocks) > 1:
                faults.append(f"{name}:{blocks[1].line}: '{kind}' is given twice")
            values[kind] = _plain_values(blocks[0], lines, (kind,), faults, name, shape)
            continue
        items = []
        for index, block in enumerate(blocks):
            item = _plain_values(block, lines, (*path, kind, index), faults, name, shape)
            label = shape.labels.get(kind) if not path else None
            if block.label and label is None:
                faults.append(f"{name}:{block.line}: '{kind}' does not take a label")
            elif label is not None and label in item:
                faults.append(
                    f"{name}:{lines[*path, kind, index, label]}: '{label}' is already set by the block's label"
                )
            elif label is not None and block.label:
                item[label] = block.label
            items.append(item)
        values[kind] = items
    return values


def _format_fault(error: Any, lines: dict[tuple[Any, ...], int], plain: Any, name: str, shape: Shape[Any]) -> str:
    path = tuple(error["loc"])
    line = next((lines[path[:length]] for length in range(len(path), -1, -1) if path[:length] in lines), 1)
    reason = {"extra_forbidden": "unknown key", "missing": "missing"}.get(error["type"], error["msg"])
    reason = reason.removeprefix("Value error, ")
    block = ""
    if len(path) >= 2 and isinstance(path[1], int):
        label = plain[path[0]][path[1]].get(shape.labels.get(path[0], ""), "")
        block = f'{path[0]} "{label}": ' if label else f"{path[0]}: "
        path = path[2:]
    field = ".".join(str(part) for part in path if not isinstance(part, int))
    return f"{name}:{line}: {block}{field}: {reason}" if field else f"{name}:{line}: {block}{reason}"
