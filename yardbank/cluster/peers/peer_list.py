"""The list of gateways in a file, applied whole or not at all. No I/O: the file's text and time (ns) are arguments.

    peer "g2" {
      address = "10.0.0.2"
      port    = 7946
    }

A text with faults is rejected only after ``patience``, because the file may still be being written. The last valid list
stays in force meanwhile.
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
    """One gateway: the address that its datagrams are sent to, wherever its own come from, and its zone."""

    model_config = ConfigDict(extra="ignore", frozen=True)  # accept lists written for newer versions

    name: Annotated[str, Field(pattern=NAME)]
    address: Annotated[str, Field(pattern=r"^[0-9.]{7,15}$")]
    port: Annotated[int, Field(gt=0, le=65535, strict=True)]
    zone: Annotated[str, Field(max_length=32)] = ""


class PeerFile(Model):
    """A whole list. ``count``, if given, must match: a file truncated between two blocks is valid otherwise."""

    count: Annotated[int, Field(ge=0, strict=True)] | None = None
    peer: tuple[PeerBlock, ...] = Field(default=(), max_length=MAX_PEERS)


def _check_list(file: PeerFile) -> Faults:
    found: Faults = []
    names: set[str] = set()
    places: dict[tuple[str, int], str] = {}
    for index, peer in enumerate(file.peer):
        if peer.name in names:
            found.append((("peer", index), f'peer "{peer.name}" is given twice'))
        names.add(peer.name)
        if other := places.get((peer.address, peer.port)):
            found.append((("peer", index, "port"), f'peer "{peer.name}" has the address of peer "{other}"'))
        places[peer.address, peer.port] = peer.name
    if file.count is not None and file.count != len(file.peer):
        found.append((("count",), f"count: {file.count} peers expected, {len(file.peer)} found"))
    return found


SHAPE = Shape(PeerFile, {"peer": "name"}, (), _check_list)
Places = Mapping[str, tuple[str, int]]


@dataclass(slots=True, frozen=True)
class Accept:
    """Put this list in force."""

    places: Places
    zones: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Reject:
    """The list cannot be used; the last valid one stays in force."""

    faults: tuple[str, ...]


def _read(name: str, data: bytes) -> PeerFile:
    """Parse the list in a file. Raises ``ConfigError``."""
    if not data.strip():  # probably a file that is being written
        raise ConfigError([f"{name}:1: is empty; use count = 0 for a list without peers"])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise ConfigError([f"{name}:1: not UTF-8"]) from error
    return check_text(text, name, SHAPE)


class PeerList:
    """Decides which version of the list is in force.

    ``patience``: how long (ns) a text with faults may stand before it is rejected.
    """

    def __init__(self, patience: int = 2_000_000_000) -> None:
        self._patience = patience
        self._text: bytes | None = None  # last seen
        self._since = 0
        self._waiting: Reject | None = None  # the faults of that text, until they are reported
        self.places: Places = {}
        self.zones: Mapping[str, str] = {}

    def seen(self, now: int, texts: Mapping[str, bytes]) -> list[Accept | Reject]:
        """Take the present text of the file (``texts``: by file name, at most one). Returns what to do, if anything."""
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
        """When to call ``seen`` again; None: when the file changes."""
        return self._since + self._patience if self._waiting is not None else None

    def force(self) -> list[Accept | Reject]:
        """Put a held-back list in force; this class holds none back."""
        return []


def parse_stored_epoch(text: str) -> int | None:
    """The boot epoch of the last start from the text of its file; None: not valid. Peers may still know it."""
    word = text.strip()
    return int(word) if word.isascii() and word.isdigit() and 0 < int(word) < MAX_STORED_EPOCH else None


def next_boot_epoch(stored: int | None, wall: float) -> int:
    """The boot epoch of this start: above the stored one, if any, even if the clock (``wall``, s) is behind."""
    return max(1, (stored or 0) + 1, int(wall))
