"""Documents in pieces: an increment cut up for sending, and put together again from pieces in any order. No I/O."""

from __future__ import annotations

import zlib

import msgspec

from yardbank.cluster.list_distribution.messages import MAX_PIECE, MAX_PIECES, Piece
from yardbank.cluster.list_distribution.table import DoesNotFitError, Increment
from yardbank.cluster.list_distribution.version import Version

MAX_OCTETS = 32 << 20  # of a document, unpacked
_LEVEL = 6
_decoder = msgspec.msgpack.Decoder(Increment)


def split(increment: Increment) -> tuple[Piece, ...]:
    """An increment as pieces. Raises ``ValueError`` if it is too large."""
    packed = zlib.compress(msgspec.msgpack.encode(increment), _LEVEL)
    bodies = [packed[at : at + MAX_PIECE] for at in range(0, len(packed), MAX_PIECE)]
    if len(bodies) > MAX_PIECES:
        raise ValueError(f"the increment to {increment.version} needs {len(bodies)} pieces, {MAX_PIECES} allowed")
    return tuple(
        Piece(increment.version, increment.digest, increment.base, index, len(bodies), body)
        for index, body in enumerate(bodies)
    )


def joined(packed: bytes) -> Increment:
    """An increment from its octets. Raises ``DoesNotFitError``."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, MAX_OCTETS)
        whole = unpacker.eof and not unpacker.unconsumed_tail
        if not whole:
            raise DoesNotFitError("a document that is cut short, or too large")
        return _decoder.decode(document)
    except (zlib.error, msgspec.DecodeError) as problem:
        raise DoesNotFitError(f"a document that cannot be read: {problem}") from None


class Assembly:
    """The pieces of one document that have come."""

    __slots__ = ("_pieces", "base", "count", "digest", "version")

    def __init__(self, first: Piece) -> None:
        self.version, self.digest, self.base = first.version, first.digest, first.base
        self.count = first.count
        self._pieces: dict[int, bytes] = {}

    def matches(self, piece: Piece) -> bool:
        """Whether a piece is of this document."""
        return self.key == (piece.version, piece.digest, piece.base, piece.count)

    @property
    def key(self) -> tuple[Version, bytes, Version, int]:
        """What all pieces of it say."""
        return self.version, self.digest, self.base, self.count

    def add(self, piece: Piece) -> None:
        """Keep one; a second copy changes nothing."""
        self._pieces.setdefault(piece.index, piece.body)

    @property
    def whole(self) -> bool:
        """Whether nothing is missing."""
        return len(self._pieces) == self.count

    @property
    def received(self) -> int:
        """How many pieces are there."""
        return len(self._pieces)

    def first_missing(self) -> int:
        """The lowest index that is missing; ``count`` if none is."""
        return next((index for index in range(self.count) if index not in self._pieces), self.count)

    def increment(self) -> Increment:
        """What the pieces make. Raises ``DoesNotFitError``, also where it is not what the pieces said."""
        found = joined(b"".join(self._pieces[index] for index in range(self.count)))
        if (found.version, found.digest, found.base) != (self.version, self.digest, self.base):
            raise DoesNotFitError("a document that is not what its pieces said")
        return found
