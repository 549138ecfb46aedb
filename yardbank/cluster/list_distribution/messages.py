"""Messages of the distribution between gateways, and their octets. No I/O."""

from __future__ import annotations

import msgspec

from yardbank.cluster.list_distribution.version import DIGEST_OCTETS, Version
from yardbank.cluster.peers.datagram import DroppedError

MAX_PIECE = 900  # octets of a document in one message: with all that stands around it, it fits a datagram
MAX_PIECES = 4096  # of one document
MAX_ASKED = 64  # pieces that may be asked for at once
MAX_NUMBER = 1 << 62


class Have(msgspec.Struct, tag="have", array_like=True, frozen=True):
    """The version that its sender holds, and the digest that proves it. Also the heartbeat."""

    version: Version
    digest: bytes


class Fetch(msgspec.Struct, tag="fetch", array_like=True, frozen=True):
    """Asks for pieces of what leads from the version that the sender holds to another one."""

    base: Version
    base_digest: bytes
    version: Version
    first: int
    count: int


class Piece(msgspec.Struct, tag="piece", array_like=True, frozen=True):
    """One part of an increment in octets. ``base`` = ``NOTHING``: of a snapshot."""

    version: Version
    digest: bytes
    base: Version
    index: int
    count: int
    body: bytes


Message = Have | Fetch | Piece
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Its octets."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> Message:
    """A message that came. Raises ``DroppedError`` naming the reason."""
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError):
        raise DroppedError("shape") from None
    if not _sound(found):
        raise DroppedError("range")
    return found


def _sound(message: Message) -> bool:
    """Whether every field is within its bounds."""
    versions = [message.version]
    digests = [message.digest] if not isinstance(message, Fetch) else [message.base_digest]
    if isinstance(message, Fetch | Piece):
        versions.append(message.base)
    if any(not 0 <= part < MAX_NUMBER for version in versions for part in (version.epoch, version.number)):
        return False
    if any(len(digest) != DIGEST_OCTETS for digest in digests):
        return False
    if isinstance(message, Fetch):
        return 0 <= message.first < MAX_PIECES and 0 < message.count <= MAX_ASKED
    if isinstance(message, Piece):
        return 0 <= message.index < message.count <= MAX_PIECES and 0 < len(message.body) <= MAX_PIECE
    return True
