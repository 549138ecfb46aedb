"""Messages that gateways exchange to distribute the list, and their encoding. No I/O."""

from __future__ import annotations

import msgspec

from yardbank.cluster.list_distribution.version import DIGEST_OCTETS, Version
from yardbank.cluster.peers.datagram import DroppedError

MAX_PIECE = 900  # octets of a document in one message, so that the message with its headers fits into a datagram
MAX_PIECES = 4096  # pieces of one document
MAX_REQUESTED_PIECES = 64  # pieces requested by one ``Fetch``
MAX_VERSION_PART = 1 << 62  # exclusive bound of epoch and number


class Have(msgspec.Struct, tag="have", array_like=True, frozen=True):
    """Announces the version that its sender holds and the digest of that list. Also serves as the heartbeat."""

    version: Version
    digest: bytes


class Fetch(msgspec.Struct, tag="fetch", array_like=True, frozen=True):
    """Requests pieces of the document that leads from the sender's version to a newer one."""

    base: Version
    base_digest: bytes
    version: Version
    first: int
    count: int


class Piece(msgspec.Struct, tag="piece", array_like=True, frozen=True):
    """One part of an encoded increment. ``base`` = ``NOTHING``: part of a snapshot."""

    version: Version
    digest: bytes
    base: Version
    index: int
    count: int
    body: bytes


Message = Have | Fetch | Piece
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> Message:
    """Decode and check a received message. Raises ``DroppedError`` naming the reason."""
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError):
        raise DroppedError("shape") from None
    if not _within_bounds(message):
        raise DroppedError("range")
    return message


def _within_bounds(message: Message) -> bool:
    """Whether every field is within its bounds."""
    versions = [message.version]
    digests = [message.digest] if not isinstance(message, Fetch) else [message.base_digest]
    if isinstance(message, Fetch | Piece):
        versions.append(message.base)
    if any(not 0 <= part < MAX_VERSION_PART for version in versions for part in (version.epoch, version.number)):
        return False
    if any(len(digest) != DIGEST_OCTETS for digest in digests):
        return False
    if isinstance(message, Fetch):
        return 0 <= message.first < MAX_PIECES and 0 < message.count <= MAX_REQUESTED_PIECES
    if isinstance(message, Piece):
        return 0 <= message.index < message.count <= MAX_PIECES and 0 < len(message.body) <= MAX_PIECE
    return True
