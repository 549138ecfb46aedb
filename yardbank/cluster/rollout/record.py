"""Records: what a gateway reports of itself in a rollout (phase, request figures, stop verdict). No I/O.

Gateways relay each other's records octet for octet, so that fields of a later program pass through one that does not
know them.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from yardbank.cluster.peers.datagram import MAX_INCARNATION, MAX_NAME, DroppedError

MAX_CELLS, MAX_RECORD_OCTETS, MAX_REASON_LENGTH = 8, 600, 48
MAX_COUNT = 1 << 53


class Cell(msgspec.Struct, array_like=True, frozen=True):
    """Outcomes of one class's requests since the owner's start; ``p99`` (us) of the last beat; 0: too few samples."""

    name: str  # class and hash of its targets, see ``metrics.class_key``: other targets make it another class
    good: int  # served in time
    late: int
    refused: int
    failed: int
    left: int  # abandoned by the client
    p99: int = 0

    def counts(self) -> tuple[int, int, int, int, int]:
        """Counts by outcome, those served in time first."""
        return self.good, self.late, self.refused, self.failed, self.left


class GatewayRecord(msgspec.Struct, array_like=True, frozen=True):
    """One record; the one with the highest (``boot_epoch``, ``number``) is the newest of its owner."""

    owner: str
    boot_epoch: int
    number: int
    rollout: str = ""
    mark: int = 0  # hash of the request, see ``Change.mark``
    phase: int = 0  # see ``phase.Phase``
    version: str = ""
    stop: str = ""  # why the owner votes to stop; empty: it does not
    beat: int = 0  # the beat whose start the figures were read at
    slow: int = 0  # 1: the owner is slow itself
    restarts: int = 0  # of the owner's process since this version became active
    memory: int = 0  # MiB
    cells: tuple[Cell, ...] = ()


_record_decoder = msgspec.msgpack.Decoder(GatewayRecord)
_message_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
_encoder = msgspec.msgpack.Encoder()
KIND = _encoder.encode("said")


def encode_record(record: GatewayRecord) -> bytes:
    """Serializes a record."""
    return _encoder.encode(record)


def encode_message(records: Sequence[bytes]) -> bytes:
    """Serializes a message of encoded records."""
    return _encoder.encode([msgspec.Raw(KIND), *(msgspec.Raw(one) for one in records)])


def decode_message(body: bytes) -> list[tuple[GatewayRecord, bytes]]:
    """Parses a message into records, each with its octets; empty for a kind that only a later program knows.

    Raises ``DroppedError``.
    """
    try:
        parts = _message_decoder.decode(body)
        if not parts:
            raise DroppedError("shape")
        if bytes(parts[0]) != KIND:
            msgspec.msgpack.decode(parts[0], type=str)
            return []
        found = [(_record_decoder.decode(part), bytes(part)) for part in parts[1:]]
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise DroppedError("shape") from None
    if not all(_is_valid(record) and len(raw) <= MAX_RECORD_OCTETS for record, raw in found):
        raise DroppedError("shape")
    return found


def _is_valid(record: GatewayRecord) -> bool:
    texts = [
        (record.owner, MAX_NAME),
        (record.rollout, MAX_NAME),
        (record.version, MAX_NAME),
        (record.stop, MAX_REASON_LENGTH),
    ]
    counts = [record.phase, record.beat, record.slow, record.restarts, record.memory]
    counts += [number for cell in record.cells for number in (*cell.counts(), cell.p99)]
    names = [cell.name for cell in record.cells]
    return (
        0 < record.boot_epoch <= MAX_INCARNATION
        and 0 < record.number < MAX_COUNT
        and 0 <= record.mark < 1 << 64
        and all(len(text) <= most for text, most in texts)
        and all(0 <= count < MAX_COUNT for count in counts)
        and len(record.cells) <= MAX_CELLS
        and all(0 < len(name) <= MAX_NAME for name in names)
        and len(set(names)) == len(names)
    )
