"""What gateways send each other: one datagram, keyed, versioned, bounded. No I/O.

Two octets of name, one of version, sixteen of a keyed BLAKE2b digest over all else, then MessagePack. What does not
verify, is of another fleet or version, or was seen before is dropped by a named reason; nothing of it is kept.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest

import msgspec

MAGIC, VERSION = b"yb", 1
MAX_OCTETS = 1200  # of a datagram: passes any path without being cut in pieces
DIGEST, HEAD = 16, 19
MAX_INCARNATION = 1 << 53
WINDOW = 64  # so far back datagrams may come in another order than they were sent
LEAST_KEY = 16  # octets
ALIVE, SUSPECT, GONE = 1, 2, 3  # as told of a peer
STATES = {ALIVE: "alive", SUSPECT: "suspect", GONE: "gone"}
MAX_NAME = 64  # octets of any name or key
MAX_KIND = 5  # of a word
PING, ACK, ASK, NACK = "ping", "ack", "ask", "nack"
REASONS = ("size", "magic", "version", "digest", "shape", "fleet", "stranger", "old")


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is said of one peer, and who first said so."""

    name: str
    state: int
    incarnation: int
    witness: str


class CounterValue(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One of the sender's own figures; ``version`` rises with each change in one incarnation."""

    key: str
    version: int
    value: int


class HealthReport(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What a witness said of one start of a server, and how long ago (ms). ``number`` rises in the witness's life."""

    witness: str
    boot_epoch: int
    number: int
    server: str
    started: int  # ms since 1970 as the list says; 0: long ago
    kind: int
    age: int


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One datagram. ``number`` names the probe it belongs to, ``target`` whom an ASK or its answer is about.

    ``boot_epoch`` is the sender's since its start, ``incarnation`` rises within it with each accusation refuted.
    """

    fleet: str
    sender: str
    boot_epoch: int
    incarnation: int
    sequence: int
    kind: str
    number: int = 0
    target: str = ""
    news: tuple[MembershipUpdate, ...] = ()
    counts: tuple[CounterValue, ...] = ()
    words: tuple[HealthReport, ...] = ()


class DroppedError(Exception):
    """A datagram that is not taken; ``reason`` is one of ``REASONS``."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def read_keys(text: str) -> list[bytes]:
    """One or two keys, a line each, in hexadecimal; the first signs, both verify.

    Raises ``ValueError``, whose text is the line and what is wrong there.
    """
    found: list[bytes] = []
    for line, word in enumerate(text.splitlines(), 1):
        if not word.strip() or word.lstrip().startswith("#"):
            continue
        try:
            key = bytes.fromhex(word.strip())
        except ValueError:
            raise ValueError(f"{line}: not hexadecimal") from None
        if not LEAST_KEY <= len(key) <= 64:
            raise ValueError(f"{line}: a key has {LEAST_KEY} to 64 octets, this one {len(key)}")
        found.append(key)
    if not 1 <= len(found) <= 2:
        raise ValueError(f"1: one key or two are wanted, {len(found)} found")
    return found


def _digest(key: bytes, version: int, body: bytes) -> bytes:
    return blake2b(bytes((version,)) + body, key=key, digest_size=DIGEST).digest()


def seal(version: int, body: bytes, keys: Sequence[bytes]) -> bytes:
    """A datagram with this body. Raises ``ValueError`` if it is too long: whoever fills it has to stop before."""
    if HEAD + len(body) > MAX_OCTETS:
        raise ValueError(f"{HEAD + len(body)} octets, {MAX_OCTETS} allowed")
    return MAGIC + bytes((version,)) + _digest(keys[0], version, body) + body


def version_of(data: bytes) -> int:
    """Which version a datagram says it is of; 0: it is none of ours."""
    return data[2] if len(data) > HEAD and data[:2] == MAGIC else 0


def open_sealed(data: bytes, version: int, keys: Sequence[bytes]) -> bytes:
    """The body of a datagram sealed with one of the keys. Raises ``DroppedError``."""
    if not HEAD < len(data) <= MAX_OCTETS:
        raise DroppedError("size")
    if data[:2] != MAGIC:
        raise DroppedError("magic")
    if data[2] != version:  # an older or newer program in the same fleet: not ours to read
        raise DroppedError("version")
    body = data[HEAD:]
    if not any(compare_digest(data[3:HEAD], _digest(key, version, body)) for key in keys):
        raise DroppedError("digest")
    return body


def encode(datagram: Datagram, keys: Sequence[bytes]) -> bytes:
    """Its octets. Raises ``ValueError`` if it is too long."""
    return seal(VERSION, msgspec.msgpack.encode(datagram), keys)


def size_of(item: msgspec.Struct) -> int:
    """Octets that one more of these takes."""
    return len(msgspec.msgpack.encode(item))


_decoder = msgspec.msgpack.Decoder(Datagram)


def decode(data: bytes, keys: Sequence[bytes], fleet: str) -> Datagram:
    """A datagram that was sent by one who has a key. Raises ``DroppedError``."""
    body = open_sealed(data, VERSION, keys)
    try:
        found = _decoder.decode(body)
    except msgspec.DecodeError:
        raise DroppedError("shape") from None
    if found.fleet != fleet:
        raise DroppedError("fleet")
    numbers = [found.boot_epoch, found.incarnation, *(news.incarnation for news in found.news)]
    sound = all(0 < number <= MAX_INCARNATION for number in numbers) and 0 < found.sequence < 1 << 62
    sound = sound and found.boot_epoch <= found.incarnation
    sound = sound and found.kind in (PING, ACK, ASK, NACK) and 0 <= found.number < 1 << 62
    sound = sound and all(news.state in STATES for news in found.news)
    sound = sound and all(_sound_word(word) for word in found.words)
    names = [found.target, *(name for news in found.news for name in (news.name, news.witness))]
    names += [one.key for one in found.counts] + [name for word in found.words for name in (word.witness, word.server)]
    sound = sound and all(len(name) <= MAX_NAME for name in names)
    if not sound or not all(0 < c.version < 1 << 62 and 0 <= c.value < 1 << 62 for c in found.counts):
        raise DroppedError("shape")
    return found


def _sound_word(word: HealthReport) -> bool:
    numbers = 0 < word.boot_epoch <= MAX_INCARNATION and 0 < word.number < 1 << 62
    return numbers and 0 <= word.started < 1 << 62 and 1 <= word.kind <= MAX_KIND and 0 <= word.age < 1 << 31


class Replays:
    """Which datagrams of each sender were taken already: a sliding window, as in RFC 4303 section 3.4.3."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int, int]] = {}  # by sender: life, highest sequence, bits below it

    def take(self, sender: str, boot_epoch: int, sequence: int) -> None:
        """Raises ``DroppedError`` for one that was taken before, or is too old to tell."""
        known, highest, bits = self._seen.get(sender, (0, 0, 0))
        if boot_epoch < known:
            raise DroppedError("old")
        if boot_epoch > known:
            highest, bits = 0, 0
        if sequence > highest:
            bits = (bits << (sequence - highest) | 1) & ((1 << WINDOW) - 1) if sequence - highest < WINDOW else 1
            highest = sequence
        else:
            bit = 1 << (highest - sequence) if highest - sequence < WINDOW else 0
            if not bit or bits & bit:
                raise DroppedError("old")
            bits |= bit
        self._seen[sender] = boot_epoch, highest, bits

    def keep(self, names: set[str]) -> None:
        """Forget all but these senders."""
        self._seen = {name: seen for name, seen in self._seen.items() if name in names}
