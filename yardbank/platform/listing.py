"""Discovery's lists of servers, from JSON to the gateway's terms. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from yardbank.gateway.api import ServerSpec

STATES = {"Ready": "ready", "Terminating": "draining", "Gone": None}
MAX_ENTRIES = 10_000


class ListingError(ValueError):
    """What discovery sent is no list; the text names the entry and the field."""


@dataclass(slots=True, frozen=True)
class Listing:
    """A list, whole (``reset``) or what changed; None stands for a server that is gone."""

    generation: int
    reset: bool
    entries: Mapping[str, ServerSpec | None]


def _entry(told: Any, at: int) -> tuple[str, ServerSpec | None]:
    where = f"instances[{at}]"
    if not isinstance(told, dict):
        raise ListingError(f"{where}: not an object")
    name = told.get("instanceId")
    if not isinstance(name, str) or not name:
        raise ListingError(f"{where}.instanceId: {name!r}")
    state = told.get("lifecycle", "Ready")
    if state not in STATES:
        raise ListingError(f"{where}.lifecycle: {state!r}")
    if (spoken := STATES[state]) is None:
        return name, None
    address = told.get("hostPort")
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 1 << 16:
        raise ListingError(f"{where}.hostPort: {address!r}")
    zone, cell, part = told.get("zone", ""), told.get("cell", 0), told.get("part")
    started, weight = told.get("startedAtMs") or 0, told.get("weight") or 1.0
    if not isinstance(zone, str):
        raise ListingError(f"{where}.zone: {zone!r}")
    if isinstance(cell, bool) or not isinstance(cell, int):
        raise ListingError(f"{where}.cell: {cell!r}")
    if isinstance(started, bool) or not isinstance(started, int | float) or started < 0:
        raise ListingError(f"{where}.startedAtMs: {started!r}")
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        raise ListingError(f"{where}.weight: {weight!r}")
    # The weight is the machine's size as registered. The decision module's shares are the operator's wish among
    # equals, and the bench's adapter gives it none: the same is done here, so that both decide alike.
    return name, ServerSpec(name, str(cell), zone, host, int(port), part == "master", spoken, started / 1000)


def read_listing(told: Any) -> Listing:
    """One message of discovery's. Raises ``ListingError``; nothing of a list with a fault is taken."""
    if not isinstance(told, dict):
        raise ListingError("a list must be an object")
    generation, reset, instances = told.get("generation", 0), told.get("reset", True), told.get("instances")
    if isinstance(generation, bool) or not isinstance(generation, int):
        raise ListingError(f"generation: {generation!r}")
    if not isinstance(reset, bool):
        raise ListingError(f"reset: {reset!r}")
    if not isinstance(instances, list) or len(instances) > MAX_ENTRIES:
        raise ListingError(f"instances: not a list of at most {MAX_ENTRIES}")
    entries: dict[str, ServerSpec | None] = {}
    for at, each in enumerate(instances):
        name, spec = _entry(each, at)
        if name in entries:
            raise ListingError(f"instances[{at}]: {name!r} is listed twice")
        entries[name] = spec
    return Listing(generation, reset, entries)


def parse_listing(line: bytes) -> Listing:
    """One line of a watch. Raises ``ListingError``."""
    try:
        return read_listing(orjson.loads(line))
    except orjson.JSONDecodeError as problem:
        raise ListingError(f"not JSON: {problem}") from None
