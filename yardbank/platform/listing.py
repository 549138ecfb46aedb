"""Discovery's lists of servers, from JSON to the gateway's terms. No I/O.

Fields are checked by their types as they are read; unknown ones are skipped. An entry that is gone needs no more than
its name: whatever else it holds is not looked at.
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
_AT = re.compile(r"(?P<fault>.*?)(?: - at `\$(?P<path>.*)`)?\Z", re.DOTALL)
_MISSING = re.compile(r"Object missing required field `(.*)`\Z")


class ListingError(ValueError):
    """What discovery sent is no list; the text names the entry and the field."""


@dataclass(slots=True, frozen=True)
class Listing:
    """A list, whole (``reset``) or what changed; None stands for a server that is gone."""

    generation: int
    reset: bool
    entries: Mapping[str, ServerSpec | None]


def joined(lists: Sequence[Listing]) -> Listing:
    """Lists that came one after the other as one: no decision falls between what was there at the same instant."""
    whole = max((at for at, listing in enumerate(lists) if listing.reset), default=0)
    entries: dict[str, ServerSpec | None] = {}
    for listing in lists[whole:]:
        entries.update(listing.entries)
    return Listing(lists[-1].generation, lists[whole].reset, entries)


class _Gone(msgspec.Struct, rename="camel"):
    instance_id: str
    lifecycle: Literal["Gone"]


class _Entry(msgspec.Struct, rename="camel"):
    instance_id: str
    host_port: str
    lifecycle: Literal["Ready", "Terminating"] = "Ready"
    zone: str = ""
    cell: int = 0
    part: Any = None
    started_at_ms: Any = None  # these two: a number, or whatever is as good as nothing
    weight: Any = None


class _List(msgspec.Struct):
    instances: list[msgspec.Raw]
    generation: int = 0
    reset: bool = True


_read_list = msgspec.json.Decoder(_List).decode
_read_entry = msgspec.json.Decoder(_Entry).decode
_read_gone = msgspec.json.Decoder(_Gone).decode


def describe_fault(problem: msgspec.ValidationError, within: str = "") -> str:
    """A fault in a document, with its field named first."""
    found = _AT.match(str(problem))
    assert found is not None  # it matches anything
    path, fault = within + (found["path"] or ""), found["fault"]
    if missing := _MISSING.match(fault):
        path, fault = f"{path}.{missing[1]}", "missing"
    path = path.lstrip(".")
    return f"{path}: {fault}" if path else fault


def read_port(address: str) -> tuple[str, int] | None:
    """``host:port``; None if it is none."""
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or len(port) > 99:
        return None
    return (host, int(port)) if 0 < int(port) < 1 << 16 else None


def _number(told: Any, name: str, where: str) -> float:
    """A number, 0 for whatever is as good as nothing; finite."""
    if not told:
        return 0
    try:
        if isinstance(told, bool) or not isinstance(told, int | float) or not math.isfinite(told):
            raise ListingError(f"{where}.{name}: {told!r}"[:200])
    except OverflowError:
        raise ListingError(f"{where}.{name}: too large") from None
    return told


def _entry(raw: msgspec.Raw, where: str) -> tuple[str, ServerSpec | None]:
    try:
        told = _read_entry(raw)
    except msgspec.ValidationError as problem:
        try:
            name, spec = _read_gone(raw).instance_id, None
        except msgspec.ValidationError as other:
            fault = problem if "lifecycle" in str(other) else other
            raise ListingError(describe_fault(fault, where)) from None
    else:
        name, spec = told.instance_id, _spec(told, where)
    if not name:
        raise ListingError(f"{where}.instanceId: {name!r}")
    return name, spec


def _spec(told: _Entry, where: str) -> ServerSpec:
    address = read_port(told.host_port)
    if address is None:
        raise ListingError(f"{where}.hostPort: {told.host_port[:100]!r}")
    started = _number(told.started_at_ms, "startedAtMs", where)
    if started < 0:
        raise ListingError(f"{where}.startedAtMs: {started!r}")
    _number(told.weight, "weight", where)
    # The weight is the machine's size as registered. The decision module's shares are the operator's wish among
    # equals, and the bench's adapter gives it none: the same is done here, so that both decide alike.
    name, state, primary = told.instance_id, STATES[told.lifecycle], told.part == "master"
    return ServerSpec(name, str(told.cell), told.zone, *address, primary, state, started / 1000)


def parse_listing(document: bytes | msgspec.Raw) -> Listing:
    """One message of discovery's. Raises ``ListingError``; nothing of a list with a fault is taken."""
    try:
        told = _read_list(document)
        if len(told.instances) > MAX_ENTRIES:
            raise ListingError(f"instances: more than {MAX_ENTRIES}")
        entries: dict[str, ServerSpec | None] = {}
        for at, raw in enumerate(told.instances):
            name, spec = _entry(raw, f"instances[{at}]")
            if name in entries:
                raise ListingError(f"instances[{at}]: {name!r} is listed twice")
            entries[name] = spec
    except msgspec.ValidationError as problem:
        raise ListingError(describe_fault(problem)) from None
    except msgspec.DecodeError as problem:
        raise ListingError(f"not JSON: {problem}") from None
    return Listing(told.generation, told.reset, entries)
