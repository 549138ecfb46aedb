"""Messages of the latency map: rows as octets, and back. No I/O.

A message holds a table of zones (a digest of each name) and some rows. The first row is the sender's own zone's as it
has measured it itself, the others are its estimates. An entry is four octets: the round trip on a scale of logarithms,
the spread and the number of witnesses, the age. So no value can be negative, not a number, or beyond 10 s.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from yardbank.cluster.latency_map.measurements import NAMES
from yardbank.cluster.latency_map.options import LEAST, MAX_ZONES, MOST, SECOND
from yardbank.cluster.peers.datagram import DroppedError

KIND = 1  # rows of the map
NOTHING = 0
CODES = 65534
SCALE = math.log(MOST / LEAST)
SPREADS, FINEST = 31, 50_000  # ns; a spread's codes are a third apart
AGE = SECOND // 2  # unit
OLDEST = 255
ENTRY = struct.Struct(">HBB")
DIGEST = 4


@dataclass(slots=True, frozen=True)
class Entry:
    """One pair of zones; times in nanoseconds."""

    value: int
    spread: int
    age: int
    witnesses: int


Row = Mapping[str, Entry]  # by the other end's zone


class _Letter(msgspec.Struct, array_like=True, frozen=True):
    kind: int
    number: int
    state: int
    table: bytes
    rows: bytes


@dataclass(slots=True, frozen=True)
class ReceivedRows:
    """A message that was decoded; zones that this gateway does not know are left out."""

    number: int
    state: int  # the sender's, see ``measurements``
    own: str | None  # the zone of the first row; None: unknown here
    rows: tuple[tuple[str, Row], ...]


_decoder = msgspec.msgpack.Decoder(_Letter)


def digest(zone: str) -> bytes:
    """A zone's name as it stands in messages."""
    return xxhash.xxh3_64_digest(zone.encode())[:DIGEST]


def packed(entry: Entry) -> bytes:
    """An entry as four octets."""
    value = min(MOST, max(LEAST, entry.value))
    code = 1 + round(math.log(value / LEAST) / SCALE * CODES)
    spread = 0 if entry.spread < FINEST else min(SPREADS, 1 + int(math.log(entry.spread / FINEST) / math.log(4 / 3)))
    age = min(OLDEST, max(0, -(-entry.age // AGE)))
    return ENTRY.pack(code, spread << 3 | min(7, entry.witnesses), age)


def unpacked(data: bytes, at: int) -> Entry | None:
    """The entry at an offset; None: nothing is known of that pair."""
    code, rest, age = ENTRY.unpack_from(data, at)
    if code == NOTHING or age == OLDEST:
        return None
    value = round(LEAST * math.exp((code - 1) / CODES * SCALE))
    spread = 0 if not rest >> 3 else round(FINEST * (4 / 3) ** ((rest >> 3) - 0.5))
    return Entry(min(MOST, value), spread, age * AGE, rest & 7)


def encode(number: int, state: int, rows: Sequence[tuple[str, Row]]) -> bytes:
    """A message; at most ``MAX_ZONES`` zones, those later by name are left out."""
    zones = sorted({zone for zone, _ in rows} | {zone for _, row in rows for zone in row})[:MAX_ZONES]
    nothing = bytes(ENTRY.size)
    body = b"".join(
        bytes((zones.index(zone),)) + b"".join(packed(row[other]) if other in row else nothing for other in zones)
        for zone, row in rows
        if zone in zones
    )
    return msgspec.msgpack.encode(_Letter(KIND, number, state, b"".join(map(digest, zones)), body))


def decode(body: bytes, known: Mapping[bytes, str]) -> ReceivedRows:
    """Decode a message, with zones by digest. Raises ``DroppedError`` with a reason."""
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        raise DroppedError("shape") from None
    if found.kind != KIND:
        raise DroppedError("kind")
    count, odd = divmod(len(found.table), DIGEST)
    length = 1 + count * ENTRY.size
    sound = not odd and 0 < count <= MAX_ZONES and found.rows and not len(found.rows) % length
    if not (sound and len(found.rows) // length <= MAX_ZONES and found.state in NAMES and 0 <= found.number < 1 << 62):
        raise DroppedError("shape")
    zones = [known.get(found.table[at : at + DIGEST]) for at in range(0, len(found.table), DIGEST)]
    rows: list[tuple[str, Row]] = []
    own = None
    for at in range(0, len(found.rows), length):
        if (index := found.rows[at]) >= count:
            raise DroppedError("shape")
        zone = zones[index]
        if at == 0:
            own = zone
        if zone is not None:
            row = {
                other: entry
                for place, other in enumerate(zones)
                if other is not None and (entry := unpacked(found.rows, at + 1 + place * ENTRY.size)) is not None
            }
            rows.append((zone, row))
    return ReceivedRows(found.number, found.state, own, tuple(rows))
