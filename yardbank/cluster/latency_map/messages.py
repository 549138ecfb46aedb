"""Messages of the latency map: encoding rows to octets and decoding them. No I/O.

A message holds a table of zones (a digest of each name) and some rows. The first row holds the sender's own
measurements from its zone, the others its estimates. An entry has four octets: the round trip on a logarithmic scale
(two octets), the spread with the number of witnesses, and the age. So no value can be negative, not a number, or
above 10 s.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from yardbank.cluster.latency_map.measurements import HEALTH_NAMES
from yardbank.cluster.latency_map.options import MAX_ROUND_TRIP, MAX_ZONES, MIN_ROUND_TRIP, SECOND
from yardbank.cluster.peers.datagram import DroppedError

MESSAGE_KIND = 1  # rows of the latency map
UNKNOWN_CODE = 0
VALUE_CODES = 65534
LOG_RANGE = math.log(MAX_ROUND_TRIP / MIN_ROUND_TRIP)
MAX_SPREAD_CODE, MIN_SPREAD = 31, 50_000  # ns; each spread code is a third above the one before
AGE_UNIT = SECOND // 2
MAX_AGE_CODE = 255  # this age or older: the entry counts as unknown
ENTRY = struct.Struct(">HBB")
DIGEST_OCTETS = 4


@dataclass(slots=True, frozen=True)
class Entry:
    """One pair of zones; times in nanoseconds."""

    value: int
    spread: int
    age: int
    witnesses: int


Row = Mapping[str, Entry]  # by the other end's zone


class _WireMessage(msgspec.Struct, array_like=True, frozen=True):
    kind: int
    number: int
    health: int
    zone_digests: bytes
    rows: bytes


@dataclass(slots=True, frozen=True)
class ReceivedRows:
    """A decoded message, without zones that this gateway does not know."""

    number: int
    health: int  # the sender's ``GatewayHealth``
    own_zone: str | None  # the sender's zone, that of the first row; None if unknown here
    rows: tuple[tuple[str, Row], ...]


_decoder = msgspec.msgpack.Decoder(_WireMessage)


def digest(zone: str) -> bytes:
    """A zone name as represented in messages."""
    return xxhash.xxh3_64_digest(zone.encode())[:DIGEST_OCTETS]


def pack_entry(entry: Entry) -> bytes:
    """Encode an entry."""
    value = min(MAX_ROUND_TRIP, max(MIN_ROUND_TRIP, entry.value))
    code = 1 + round(math.log(value / MIN_ROUND_TRIP) / LOG_RANGE * VALUE_CODES)
    spread = (
        0
        if entry.spread < MIN_SPREAD
        else min(MAX_SPREAD_CODE, 1 + int(math.log(entry.spread / MIN_SPREAD) / math.log(4 / 3)))
    )
    age = min(MAX_AGE_CODE, max(0, -(-entry.age // AGE_UNIT)))
    return ENTRY.pack(code, spread << 3 | min(7, entry.witnesses), age)


def unpack_entry(data: bytes, offset: int) -> Entry | None:
    """Decode the entry at an offset; None if nothing is known of that pair."""
    code, spread_and_witnesses, age = ENTRY.unpack_from(data, offset)
    if code == UNKNOWN_CODE or age == MAX_AGE_CODE:
        return None
    value = round(MIN_ROUND_TRIP * math.exp((code - 1) / VALUE_CODES * LOG_RANGE))
    spread = 0 if not spread_and_witnesses >> 3 else round(MIN_SPREAD * (4 / 3) ** ((spread_and_witnesses >> 3) - 0.5))
    return Entry(min(MAX_ROUND_TRIP, value), spread, age * AGE_UNIT, spread_and_witnesses & 7)


def encode(number: int, health: int, rows: Sequence[tuple[str, Row]]) -> bytes:
    """Encode a message; at most ``MAX_ZONES`` zones, those later by name are left out."""
    zones = sorted({zone for zone, _ in rows} | {zone for _, row in rows for zone in row})[:MAX_ZONES]
    unknown_entry = bytes(ENTRY.size)
    body = b"".join(
        bytes((zones.index(zone),))
        + b"".join(pack_entry(row[other]) if other in row else unknown_entry for other in zones)
        for zone, row in rows
        if zone in zones
    )
    return msgspec.msgpack.encode(_WireMessage(MESSAGE_KIND, number, health, b"".join(map(digest, zones)), body))


def decode(body: bytes, known: Mapping[bytes, str]) -> ReceivedRows:
    """Decode a message; ``known`` maps digests to zones. Raises ``DroppedError`` with a reason."""
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        raise DroppedError("shape") from None
    if message.kind != MESSAGE_KIND:
        raise DroppedError("kind")
    zone_count, remainder = divmod(len(message.zone_digests), DIGEST_OCTETS)
    length = 1 + zone_count * ENTRY.size
    valid = not remainder and 0 < zone_count <= MAX_ZONES and message.rows and not len(message.rows) % length
    if not (
        valid
        and len(message.rows) // length <= MAX_ZONES
        and message.health in HEALTH_NAMES
        and 0 <= message.number < 1 << 62
    ):
        raise DroppedError("shape")
    zones = [
        known.get(message.zone_digests[offset : offset + DIGEST_OCTETS])
        for offset in range(0, len(message.zone_digests), DIGEST_OCTETS)
    ]
    rows: list[tuple[str, Row]] = []
    own_zone = None
    for offset in range(0, len(message.rows), length):
        if (zone_index := message.rows[offset]) >= zone_count:
            raise DroppedError("shape")
        zone = zones[zone_index]
        if offset == 0:
            own_zone = zone
        if zone is not None:
            row = {
                other: entry
                for column, other in enumerate(zones)
                if other is not None
                and (entry := unpack_entry(message.rows, offset + 1 + column * ENTRY.size)) is not None
            }
            rows.append((zone, row))
    return ReceivedRows(message.number, message.health, own_zone, tuple(rows))
