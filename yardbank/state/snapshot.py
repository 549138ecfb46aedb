"""Serialization of a gateway's durable state: versioned, checksummed, of limited size. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

FORMAT = 2
MAGIC = b"YBK"
MAX_OCTETS = 32 << 20


class SnapshotError(ValueError):
    """The bytes are not a usable snapshot; the message says why."""


class ServerState(msgspec.Struct, frozen=True):
    """One server of the last valid list, and the positions that it last reported."""

    name: str
    group: str
    zone: str
    host: str
    port: int
    primary: bool = False
    state: str = "ready"
    started: float = 0.0  # start of the server, wall-clock seconds
    weight: float = 1.0
    marks: dict[str, list[int | str]] = {}  # position by origin


class GroupState(msgspec.Struct, frozen=True):
    """Highest known positions of a group's log; every session token issued is at or before them."""

    name: str
    marks: dict[str, list[int | str]] = {}


class Snapshot(msgspec.Struct, frozen=True):
    """The whole durable state."""

    written: float  # wall-clock seconds
    version: int  # of the list
    digest: str
    clean: bool  # written by a clean stop: no request was served afterwards
    servers: list[ServerState]
    groups: list[GroupState] = []
    generation: int = 0  # of the run that wrote it; 0: written before generations existed


class _SnapshotFormat1(msgspec.Struct, frozen=True):
    """Format 1: only the list, without positions; never counts as a clean stop."""

    written: float
    version: int
    digest: str
    servers: list[ServerState]


def encode(snapshot: Snapshot) -> bytes:
    """Serializes to magic, format, checksum and content. Raises ``SnapshotError`` if it is too large."""
    content = msgspec.msgpack.encode(snapshot)
    if len(content) > MAX_OCTETS:
        raise SnapshotError(f"{len(content)} octets, {MAX_OCTETS} allowed")
    return MAGIC + bytes((FORMAT,)) + xxhash.xxh3_64_digest(content) + content


def decode(data: bytes) -> Snapshot:
    """Parses a snapshot of this or an older format. Raises ``SnapshotError``."""
    if len(data) < 12 or data[:3] != MAGIC:
        raise SnapshotError("not a snapshot, or cut short")
    version, digest, content = data[3], data[4:12], data[12:]
    if version > FORMAT or version < 1:
        raise SnapshotError(f"format {version}; formats 1 to {FORMAT} are read")
    if xxhash.xxh3_64_digest(content) != digest:
        raise SnapshotError("damaged: the checksum does not match")
    try:
        if version == 1:
            old = msgspec.msgpack.decode(content, type=_SnapshotFormat1)
            return Snapshot(old.written, old.version, old.digest, False, old.servers)
        return msgspec.msgpack.decode(content, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"damaged: {error}") from None


def position_from_mark(value: Any) -> tuple[int | str, ...]:
    """A stored position as a tuple, the form that ``timeline`` compares."""
    return tuple(value)
