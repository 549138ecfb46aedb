"""The list of gateways, as a file says it: taken whole or not at all. No I/O: texts and time (ns) come in.

    peer "g2" {
      address = "10.0.0.2"
      port    = 7946
    }

A text that cannot be used is given ``patience`` before it is rejected: it may still be being written. The last good
list serves on meanwhile.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import ConfigDict, Field

from yardbank.config.base import Model
from yardbank.config.checked import ConfigError, Faults, Shape, check_text

MAX_PEERS = 1000
MAX_STORED_EPOCH = 1 << 50
NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$"


class PeerBlock(Model):
    """One gateway: where its datagrams are sent to, whatever address its own come from, and its zone."""

    model_config = ConfigDict(extra="ignore", frozen=True)  # a later program's list serves this one too

    name: Annotated[str, Field(pattern=NAME)]
    address: Annotated[str, Field(pattern=r"^[0-9.]{7,15}$")]
    port: Annotated[int, Field(gt=0, le=65535, strict=True)]
    zone: Annotated[str, Field(max_length=32)] = ""


class PeerFile(Model):
    """A whole list; ``count``, where given, must be right: a file cut short between two blocks reads well."""

    count: Annotated[int, Field(ge=0, strict=True)] | None = None
    peer: tuple[PeerBlock, ...] = Field(default=(), max_length=MAX_PEERS)


def _cross(file: PeerFile) -> Faults:
    found: Faults = []
    names: set[str] = set()
    places: dict[tuple[str, int], str] = {}
    for index, one in enumerate(file.peer):
        if one.name in names:
            found.append((("peer", index), f'peer "{one.name}" is given twice'))
        names.add(one.name)
        if other := places.get((one.address, one.port)):
            found.append((("peer", index, "port"), f'peer "{one.name}" has the address of peer "{other}"'))
        places[one.address, one.port] = one.name
    if file.count is not None and file.count != len(file.peer):
        found.append((("count",), f"count: {file.count} peers are promised, {len(file.peer)} are there"))
    return found


SHAPE = Shape(PeerFile, {"peer": "name"}, (), _cross)
Places = Mapping[str, tuple[str, int]]


@dataclass(slots=True, frozen=True)
class Accept:
    """Use this list from now on."""

    places: Places
    zones: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Reject:
    """It cannot be used; the last good one stays in force."""

    faults: tuple[str, ...]


def _read(name: str, data: bytes) -> PeerFile:
    """The list in a file. Raises ``ConfigError``."""
    if not data.strip():  # as one is while it is being written
        raise ConfigError([f"{name}:1: is empty; count = 0 says that there are no peers"])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise ConfigError([f"{name}:1: not UTF-8"]) from error
    return check_text(text, name, SHAPE)


class PeerList:
    """Which version of the list is in force.

    ``patience``: how long a faulty text may stand before it is rejected, ns.
    """

    def __init__(self, patience: int = 2_000_000_000) -> None:
        self._patience = patience
        self._text: bytes | None = None  # last seen
        self._since = 0
        self._waiting: Reject | None = None
        self.places: Places = {}
        self.zones: Mapping[str, str] = {}

    def seen(self, now: int, texts: Mapping[str, bytes]) -> list[Accept | Reject]:
        """The file holds this text now (``texts``: by file name, at most one). Returns what to do, if anything."""
        name, data = next(iter(texts.items()), ("peers", b""))
        if data != self._text:
            self._text = data
            self._since = now
            self._waiting = None
            try:
                file = _read(name, data)
            except ConfigError as error:
                self._waiting = Reject(tuple(error.faults))
            else:
                return self._apply(file)
        if self._waiting is None or now - self._since < self._patience:
            return []
        rejected = self._waiting
        self._waiting = None
        return [rejected]

    def _apply(self, file: PeerFile) -> list[Accept | Reject]:
        places = {peer.name: (peer.address, peer.port) for peer in file.peer}
        zones = {peer.name: peer.zone for peer in file.peer}
        if places == self.places and zones == self.zones:
            return []
        self.places = places
        self.zones = zones
        return [Accept(places, zones)]

    def due(self) -> int | None:
        """When it is to be looked at again; None: when the file changes."""
        return self._since + self._patience if self._waiting is not None else None

    def force(self) -> list[Accept | Reject]:
        """Nothing is held back here."""
        return []


def parse_stored_epoch(text: str) -> int | None:
    """The number of the last start as a file has it; None where it says nothing that can be: others may know it."""
    word = text.strip()
    return int(word) if word.isascii() and word.isdigit() and 0 < int(word) < MAX_STORED_EPOCH else None


def next_boot_epoch(stored: int | None, wall: float) -> int:
    """A number for this start: higher than the last where that is known, whatever the clock (s) says."""
    return max(1, (stored or 0) + 1, int(wall))
