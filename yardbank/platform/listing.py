"""Parses discovery's lists of servers. No I/O.

Field types are checked while decoding; unknown fields are skipped. For an entry that is gone only the name is read.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from yardbank.gateway.api import ServerSpec

STATES = {"Ready": "ready", "Terminating": "draining"}
MAX_ENTRIES = 10_000
_FAULT_AND_PATH = re.compile(r"(?P<fault>.*?)(?: - at `\$(?P<path>.*)`)?\Z", re.DOTALL)
_MISSING = re.compile(r"Object missing required field `(.*)`\Z")


class ListingError(ValueError):
    """Discovery sent an invalid list; the text names the entry and the field."""


@dataclass(slots=True, frozen=True)
class Listing:
    """A complete list (``reset``) or a set of changes; None stands for a removed server."""

    generation: int
    reset: bool
    entries: Mapping[str, ServerSpec | None]


def merge_listings(lists: Sequence[Listing]) -> Listing:
    """Merges consecutive lists into one, so that no decision is made between lists that arrived together."""
    last_reset = max((at for at, listing in enumerate(lists) if listing.reset), default=0)
    entries: dict[str, ServerSpec | None] = {}
    for listing in lists[last_reset:]:
        entries.update(listing.entries)
    return Listing(lists[-1].generation, lists[last_reset].reset, entries)


class _GoneEntry(msgspec.Struct, rename="camel"):
    instance_id: str
    lifecycle: Literal["Gone"]


class _Entry(msgspec.Struct, rename="camel"):
    instance_id: str
    host_port: str
    lifecycle: Literal["Ready", "Terminating"] = "Ready"
    zone: str = ""
    cell: int = 0
    part: Any = None
    started_at_ms: Any = None  # these two: a number, or any falsy value for none
    weight: Any = None


class _Message(msgspec.Struct):
    instances: list[msgspec.Raw]
    generation: int = 0
    reset: bool = True


_read_message = msgspec.json.Decoder(_Message).decode
_read_entry = msgspec.json.Decoder(_Entry).decode
_read_gone = msgspec.json.Decoder(_GoneEntry).decode


def describe_fault(problem: msgspec.ValidationError, within: str = "") -> str:
    """Describes a validation error, with the field first."""
    found = _FAULT_AND_PATH.match(str(problem))
    assert found is not None  # the pattern matches any text
    path, fault = within + (found["path"] or ""), found["fault"]
    if missing := _MISSING.match(fault):
        path, fault = f"{path}.{missing[1]}", "missing"
    path = path.lstrip(".")
    return f"{path}: {fault}" if path else fault


def read_port(address: str) -> tuple[str, int] | None:
    """Parses ``host:port``; None if it is invalid."""
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or len(port) > 99:
        return None
    return (host, int(port)) if 0 < int(port) < 1 << 16 else None


def _parse_number(value: Any, name: str, path: str) -> float:
    """Checks a number, which must be finite; any falsy value counts as 0."""
    if not value:
        return 0
    try:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ListingError(f"{path}.{name}: {value!r}"[:200])
    except OverflowError:
        raise ListingError(f"{path}.{name}: too large") from None
    return value


def _parse_entry(raw: msgspec.Raw, path: str) -> tuple[str, ServerSpec | None]:
    try:
        entry = _read_entry(raw)
    except msgspec.ValidationError as problem:
        try:
            name, spec = _read_gone(raw).instance_id, None
        except msgspec.ValidationError as other:
            fault = problem if "lifecycle" in str(other) else other
            raise ListingError(describe_fault(fault, path)) from None
    else:
        name, spec = entry.instance_id, _build_spec(entry, path)
    if not name:
        raise ListingError(f"{path}.instanceId: {name!r}")
    return name, spec


def _build_spec(entry: _Entry, path: str) -> ServerSpec:
    address = read_port(entry.host_port)
    if address is None:
        raise ListingError(f"{path}.hostPort: {entry.host_port[:100]!r}")
    started = _parse_number(entry.started_at_ms, "startedAtMs", path)
    if started < 0:
        raise ListingError(f"{path}.startedAtMs: {started!r}")
    _parse_number(entry.weight, "weight", path)
    # The weight is the machine's registered size. The decision module's shares say how the operator wants to divide
    # load among equals, and the benchmark's adapter sets none. No share is set here either, so that both decide alike.
    name, state, primary = entry.instance_id, STATES[entry.lifecycle], entry.part == "master"
    return ServerSpec(name, str(entry.cell), entry.zone, *address, primary, state, started / 1000)


def parse_listing(document: bytes | msgspec.Raw) -> Listing:
    """Parses one message from discovery. Raises ``ListingError``; a list with an invalid entry is rejected whole."""
    try:
        message = _read_message(document)
        if len(message.instances) > MAX_ENTRIES:
            raise ListingError(f"instances: more than {MAX_ENTRIES}")
        entries: dict[str, ServerSpec | None] = {}
        for at, raw in enumerate(message.instances):
            name, spec = _parse_entry(raw, f"instances[{at}]")
            if name in entries:
                raise ListingError(f"instances[{at}]: {name!r} is listed twice")
            entries[name] = spec
    except msgspec.ValidationError as problem:
        raise ListingError(describe_fault(problem)) from None
    except msgspec.DecodeError as problem:
        raise ListingError(f"not JSON: {problem}") from None
    return Listing(message.generation, message.reset, entries)
