"""What gateways send each other: one datagram, keyed, versioned, bounded. No I/O.

Two octets of name, one of version, sixteen of a keyed BLAKE2b digest over all else, then MessagePack. What does not
verify, is of another fleet or version, or was seen before is dropped by a named reason; nothing of it is kept.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

import msgspec

MAGIC, VERSION = b"yb", 1
MAX_OCTETS = 1200  # of a datagram: passes any path without being cut in pieces
DIGEST, HEAD = 16, 19
MAX_INCARNATION = 1 << 53
WINDOW = 64  # so far back datagrams may come in another order than they were sent
LEAST_KEY = 16  # octets
ALIVE, SUSPECT, GONE = 1, 2, 3  # as an update says of a peer
STATES = {ALIVE: "alive", SUSPECT: "suspect", GONE: "gone"}
MAX_NAME = 64  # octets of any name or key
MAX_KIND = 5  # of a health report
MAX_NUMBER = 1 << 62
MAX_AGE = 1 << 31  # ms, of a health report
PING, ACK, ASK, NACK = "ping", "ack", "ask", "nack"
REASONS = ("size", "magic", "version", "digest", "shape", "fleet", "stranger", "old")


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The state of one peer in one incarnation, and the gateway that first found it so (``witness``)."""

    name: str
    state: int
    incarnation: int
    witness: str


class CounterValue(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One of the sender's own counters; ``version`` rises with each change within one boot epoch."""

    key: str
    version: int
    value: int


class HealthReport(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What a witness found of one start of a server, and how long ago (``age``, ms).

    ``number`` rises with each report within the witness's boot epoch.
    """

    witness: str
    boot_epoch: int
    number: int
    server: str
    started: int  # ms since 1970 as the list says; 0: long ago
    kind: int
    age: int


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One datagram. ``number`` names the probe it belongs to, ``target`` whom an ASK or its answer is about.

    ``boot_epoch`` names the sender's start; ``incarnation`` rises within it with each suspicion that it refutes.
    """

    fleet: str
    sender: str
    boot_epoch: int
    incarnation: int
    sequence: int
    kind: str
    number: int = 0
    target: str = ""
    updates: tuple[MembershipUpdate, ...] = ()
    counters: tuple[CounterValue, ...] = ()
    health_reports: tuple[HealthReport, ...] = ()


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
    """A datagram sealed by a gateway of this fleet that has a key. Raises ``DroppedError``."""
    body = open_sealed(data, VERSION, keys)
    try:
        datagram = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise DroppedError("shape") from error
    if datagram.fleet != fleet:
        raise DroppedError("fleet")
    if not _is_within_bounds(datagram):
        raise DroppedError("shape")
    return datagram


def _is_within_bounds(datagram: Datagram) -> bool:
    if not 0 < datagram.boot_epoch <= datagram.incarnation <= MAX_INCARNATION:
        return False
    if not 0 < datagram.sequence < MAX_NUMBER or not 0 <= datagram.number < MAX_NUMBER:
        return False
    if datagram.kind not in (PING, ACK, ASK, NACK) or not _is_name(datagram.target):
        return False
    return (
        all(map(_is_valid_update, datagram.updates))
        and all(map(_is_valid_counter, datagram.counters))
        and all(map(_is_valid_health_report, datagram.health_reports))
    )


def _is_name(name: str) -> bool:
    return len(name) <= MAX_NAME


def _is_valid_update(update: MembershipUpdate) -> bool:
    if not 0 < update.incarnation <= MAX_INCARNATION or update.state not in STATES:
        return False
    return _is_name(update.name) and _is_name(update.witness)


def _is_valid_counter(counter: CounterValue) -> bool:
    return 0 < counter.version < MAX_NUMBER and 0 <= counter.value < MAX_NUMBER and _is_name(counter.key)


def _is_valid_health_report(report: HealthReport) -> bool:
    if not 0 < report.boot_epoch <= MAX_INCARNATION or not 0 < report.number < MAX_NUMBER:
        return False
    if not 0 <= report.started < MAX_NUMBER or not 0 <= report.age < MAX_AGE:
        return False
    return 1 <= report.kind <= MAX_KIND and _is_name(report.witness) and _is_name(report.server)


@dataclass(slots=True)
class _ReplayWindow:
    """The sequence numbers of one sender's start that were accepted: the highest, and a bit for each just below it."""

    boot_epoch: int
    highest: int = 0
    accepted: int = 0  # bit n: ``highest`` - n was accepted

    def accept(self, sequence: int) -> bool:
        """Mark a number as accepted; False: it was before, or is too old to tell."""
        if sequence > self.highest:
            ahead = sequence - self.highest
            self.accepted = self.accepted << ahead | 1 if ahead < WINDOW else 1
            self.accepted &= (1 << WINDOW) - 1
            self.highest = sequence
            return True
        behind = self.highest - sequence
        if behind >= WINDOW:
            return False
        bit = 1 << behind
        if self.accepted & bit:
            return False
        self.accepted |= bit
        return True


class ReplayFilter:
    """Which datagrams of each sender were accepted already: a sliding window, as in RFC 4303 section 3.4.3."""

    def __init__(self) -> None:
        self._windows: dict[str, _ReplayWindow] = {}

    def accept(self, sender: str, boot_epoch: int, sequence: int) -> None:
        """Raises ``DroppedError`` for one that was accepted before, is too old to tell, or of an earlier start."""
        window = self._windows.get(sender)
        if window is None or boot_epoch > window.boot_epoch:
            window = self._windows[sender] = _ReplayWindow(boot_epoch)
        if boot_epoch < window.boot_epoch or not window.accept(sequence):
            raise DroppedError("old")

    def retain(self, names: set[str]) -> None:
        """Forget all but these senders."""
        self._windows = {name: window for name, window in self._windows.items() if name in names}
