"""What one gateway says of itself in a rollout: where it is, what came of its requests, whether it says stop. No I/O.

A record goes from hand to hand as its owner wrote it, octet for octet, so that fields of a later program survive one
that does not know them.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from yardbank.cluster.peers.datagram import MAX_INCARNATION, MAX_NAME, DroppedError

MAX_CELLS, MAX_RECORD, MAX_WHY = 8, 600, 48
MAX_COUNT = 1 << 53


class Cell(msgspec.Struct, array_like=True, frozen=True):
    """What came of the requests of one class since the owner's start; ``p99`` (us) of the last beat; 0: too few."""

    name: str  # of the class and of what is promised for it: another promise is another class
    good: int  # served in time
    late: int
    refused: int
    failed: int
    left: int
    p99: int = 0

    def counts(self) -> tuple[int, int, int, int, int]:
        """By outcome, those served in time first."""
        return self.good, self.late, self.refused, self.failed, self.left


class GatewayRecord(msgspec.Struct, array_like=True, frozen=True):
    """One record; of its owner's the highest life and number counts."""

    owner: str
    boot_epoch: int
    number: int
    rollout: str = ""
    mark: int = 0  # of the request: ``Change.mark``
    phase: int = 0  # ``phase.NAMES``
    version: str = ""
    stop: str = ""  # why it says stop; empty: it does not
    beat: int = 0  # at whose beginning the figures were read
    slow: int = 0
    restarts: int = 0  # of its process since this version came into force
    memory: int = 0  # MiB
    cells: tuple[Cell, ...] = ()


_said = msgspec.msgpack.Decoder(GatewayRecord)
_letter = msgspec.msgpack.Decoder(list[msgspec.Raw])
_encoder = msgspec.msgpack.Encoder()
KIND = _encoder.encode("said")


def encoded(said: GatewayRecord) -> bytes:
    """A record's octets."""
    return _encoder.encode(said)


def letter(records: Sequence[bytes]) -> bytes:
    """A letter of some records."""
    return _encoder.encode([msgspec.Raw(KIND), *(msgspec.Raw(one) for one in records)])


def records(body: bytes) -> list[tuple[GatewayRecord, bytes]]:
    """The records of a letter, each with its octets; none, if it is of a kind that a later program has.

    Raises ``DroppedError``.
    """
    try:
        parts = _letter.decode(body)
        if not parts:
            raise DroppedError("shape")
        if bytes(parts[0]) != KIND:
            msgspec.msgpack.decode(parts[0], type=str)
            return []
        found = [(_said.decode(part), bytes(part)) for part in parts[1:]]
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise DroppedError("shape") from None
    if not all(_sound(said) and len(raw) <= MAX_RECORD for said, raw in found):
        raise DroppedError("shape")
    return found


def _sound(said: GatewayRecord) -> bool:
    words = [(said.owner, MAX_NAME), (said.rollout, MAX_NAME), (said.version, MAX_NAME), (said.stop, MAX_WHY)]
    counts = [said.phase, said.beat, said.slow, said.restarts, said.memory]
    counts += [number for cell in said.cells for number in (*cell.counts(), cell.p99)]
    names = [cell.name for cell in said.cells]
    return (
        0 < said.boot_epoch <= MAX_INCARNATION
        and 0 < said.number < MAX_COUNT
        and 0 <= said.mark < 1 << 64
        and all(len(word) <= most for word, most in words)
        and all(0 <= count < MAX_COUNT for count in counts)
        and len(said.cells) <= MAX_CELLS
        and all(0 < len(name) <= MAX_NAME for name in names)
        and len(set(names)) == len(names)
    )
