"""The gossip datagram: authenticated, versioned and of bounded size. No I/O.

Format: two octets of magic, one of version, sixteen of a keyed BLAKE2b digest over version and body, then the body in
MessagePack. A datagram that does not verify, is of another fleet or version, or was received before is dropped whole,
and counted by the reason.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

import msgspec

MAGIC, VERSION = b"yb", 1
MAX_OCTETS = 1200  # of a datagram; passes any path without fragmentation
DIGEST_OCTETS, HEADER_OCTETS = 16, 19
MAX_INCARNATION = 1 << 53
REPLAY_WINDOW = 64  # datagrams may be reordered by less than this many sequence numbers
MIN_KEY_OCTETS = 16
ALIVE, SUSPECT, GONE = 1, 2, 3  # states of a peer in updates
STATES = {ALIVE: "alive", SUSPECT: "suspect", GONE: "gone"}
MAX_NAME = 64  # octets of any name or key
MAX_KIND = 5  # highest kind of a health report
MAX_NUMBER = 1 << 62
MAX_AGE = 1 << 31  # ms, age of a health report
PING, ACK, ASK, NACK = "ping", "ack", "ask", "nack"
DROP_REASONS = ("size", "magic", "version", "digest", "shape", "fleet", "stranger", "old")


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
    """A witness's finding about one start of a server, and how long ago it was made (``age``, ms).

    ``number`` rises with each report within the witness's boot epoch.
    """

    witness: str
    boot_epoch: int
    number: int
    server: str
    started: int  # start of the server in the list, ms since 1970; 0: not given
    kind: int
    age: int


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One datagram. ``number`` identifies its probe, ``target`` the peer that an ASK or the reply to it is about.

    ``boot_epoch`` identifies the sender's start; ``incarnation`` rises within it with each refuted suspicion.
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
    """A datagram or message that cannot be used; for datagrams ``reason`` is one of ``DROP_REASONS``."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def read_keys(text: str) -> list[bytes]:
    """Parse one or two keys, in hexadecimal, one a line. The first signs, both verify.

    Raises ``ValueError`` with the line number and what is wrong there.
    """
    found: list[bytes] = []
    for line, word in enumerate(text.splitlines(), 1):
        if not word.strip() or word.lstrip().startswith("#"):
            continue
        try:
            key = bytes.fromhex(word.strip())
        except ValueError:
            raise ValueError(f"{line}: not hexadecimal") from None
        if not MIN_KEY_OCTETS <= len(key) <= 64:
            raise ValueError(f"{line}: a key must have {MIN_KEY_OCTETS} to 64 octets, this one has {len(key)}")
        found.append(key)
    if not 1 <= len(found) <= 2:
        raise ValueError(f"1: one or two keys are required, {len(found)} found")
    return found


def _digest(key: bytes, version: int, body: bytes) -> bytes:
    return blake2b(bytes((version,)) + body, key=key, digest_size=DIGEST_OCTETS).digest()


def seal(version: int, body: bytes, keys: Sequence[bytes]) -> bytes:
    """A signed datagram with this body. Raises ``ValueError`` if it is too long; callers must limit the body."""
    if HEADER_OCTETS + len(body) > MAX_OCTETS:
        raise ValueError(f"{HEADER_OCTETS + len(body)} octets, {MAX_OCTETS} allowed")
    return MAGIC + bytes((version,)) + _digest(keys[0], version, body) + body


def version_of(data: bytes) -> int:
    """The version in a datagram's header; 0: not a datagram of this protocol."""
    return data[2] if len(data) > HEADER_OCTETS and data[:2] == MAGIC else 0


def open_sealed(data: bytes, version: int, keys: Sequence[bytes]) -> bytes:
    """The body of a datagram signed with one of the keys. Raises ``DroppedError``."""
    if not HEADER_OCTETS < len(data) <= MAX_OCTETS:
        raise DroppedError("size")
    if data[:2] != MAGIC:
        raise DroppedError("magic")
    if data[2] != version:  # from an older or newer program in the same fleet
        raise DroppedError("version")
    body = data[HEADER_OCTETS:]
    if not any(compare_digest(data[3:HEADER_OCTETS], _digest(key, version, body)) for key in keys):
        raise DroppedError("digest")
    return body


def encode(datagram: Datagram, keys: Sequence[bytes]) -> bytes:
    """Encode and sign a datagram. Raises ``ValueError`` if it is too long."""
    return seal(VERSION, msgspec.msgpack.encode(datagram), keys)


def size_of(item: msgspec.Struct) -> int:
    """Octets that this item takes in a datagram."""
    return len(msgspec.msgpack.encode(item))


_decoder = msgspec.msgpack.Decoder(Datagram)


def decode(data: bytes, keys: Sequence[bytes], fleet: str) -> Datagram:
    """Verify and decode a datagram of this fleet. Raises ``DroppedError``."""
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
    """Accepted sequence numbers of one sender's start: the highest, and a bitmap of those just below it."""

    boot_epoch: int
    highest: int = 0
    accepted: int = 0  # bit n: ``highest`` - n was accepted

    def accept(self, sequence: int) -> bool:
        """Mark a number as accepted; False: it was accepted before, or is too old to tell."""
        if sequence > self.highest:
            ahead = sequence - self.highest
            self.accepted = self.accepted << ahead | 1 if ahead < REPLAY_WINDOW else 1
            self.accepted &= (1 << REPLAY_WINDOW) - 1
            self.highest = sequence
            return True
        behind = self.highest - sequence
        if behind >= REPLAY_WINDOW:
            return False
        bit = 1 << behind
        if self.accepted & bit:
            return False
        self.accepted |= bit
        return True


class ReplayFilter:
    """Rejects datagrams accepted before, with a sliding window per sender as in RFC 4303 section 3.4.3."""

    def __init__(self) -> None:
        self._windows: dict[str, _ReplayWindow] = {}

    def accept(self, sender: str, boot_epoch: int, sequence: int) -> None:
        """Raises ``DroppedError`` for a datagram accepted before, too old to tell, or from an earlier start."""
        window = self._windows.get(sender)
        if window is None or boot_epoch > window.boot_epoch:
            window = self._windows[sender] = _ReplayWindow(boot_epoch)
        if boot_epoch < window.boot_epoch or not window.accept(sequence):
            raise DroppedError("old")

    def retain(self, names: set[str]) -> None:
        """Drop the state of all but these senders."""
        self._windows = {name: window for name, window in self._windows.items() if name in names}
