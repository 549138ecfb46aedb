"""Splits encoded increments (documents) into pieces and assembles them from pieces in any order. No I/O."""

from __future__ import annotations

import zlib

import msgspec

from yardbank.cluster.list_distribution.messages import MAX_PIECE, MAX_PIECES, Piece
from yardbank.cluster.list_distribution.table import DoesNotFitError, Increment
from yardbank.cluster.list_distribution.version import Version

MAX_DOCUMENT_OCTETS = 32 << 20  # uncompressed
_COMPRESSION_LEVEL = 6
_decoder = msgspec.msgpack.Decoder(Increment)


def split(increment: Increment) -> tuple[Piece, ...]:
    """Encode an increment as pieces. Raises ``ValueError`` if it is too large."""
    packed = zlib.compress(msgspec.msgpack.encode(increment), _COMPRESSION_LEVEL)
    bodies = [packed[offset : offset + MAX_PIECE] for offset in range(0, len(packed), MAX_PIECE)]
    if len(bodies) > MAX_PIECES:
        raise ValueError(f"the increment to {increment.version} needs {len(bodies)} pieces, {MAX_PIECES} allowed")
    return tuple(
        Piece(increment.version, increment.digest, increment.base, index, len(bodies), body)
        for index, body in enumerate(bodies)
    )


def decode_document(packed: bytes) -> Increment:
    """Decode an increment. Raises ``DoesNotFitError``."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, MAX_DOCUMENT_OCTETS)
        is_complete = unpacker.eof and not unpacker.unconsumed_tail
        if not is_complete:
            raise DoesNotFitError("the document is truncated or too large")
        return _decoder.decode(document)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DoesNotFitError(f"the document cannot be decoded: {error}") from None


class Assembly:
    """Collects the received pieces of one document."""

    __slots__ = ("_pieces", "base", "count", "digest", "version")

    def __init__(self, first: Piece) -> None:
        self.version, self.digest, self.base = first.version, first.digest, first.base
        self.count = first.count
        self._pieces: dict[int, bytes] = {}

    def matches(self, piece: Piece) -> bool:
        """Whether a piece belongs to this document."""
        return self.key == (piece.version, piece.digest, piece.base, piece.count)

    @property
    def key(self) -> tuple[Version, bytes, Version, int]:
        """The fields that all pieces of the document share."""
        return self.version, self.digest, self.base, self.count

    def add(self, piece: Piece) -> None:
        """Add a piece. Duplicates are ignored."""
        self._pieces.setdefault(piece.index, piece.body)

    @property
    def is_complete(self) -> bool:
        """Whether all pieces were received."""
        return len(self._pieces) == self.count

    @property
    def received_count(self) -> int:
        """Number of pieces received."""
        return len(self._pieces)

    def first_missing(self) -> int:
        """Lowest missing index; ``count`` if none is missing."""
        return next((index for index in range(self.count) if index not in self._pieces), self.count)

    def increment(self) -> Increment:
        """Decode the assembled document. Raises ``DoesNotFitError``, also if it does not match its pieces."""
        increment = decode_document(b"".join(self._pieces[index] for index in range(self.count)))
        if (increment.version, increment.digest, increment.base) != (self.version, self.digest, self.base):
            raise DoesNotFitError("the document does not match the fields of its pieces")
        return increment
