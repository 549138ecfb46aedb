"""One gateway's copy of the list and its part in spreading it. No I/O; time (ns) and randomness come in.

A new version is handed on by gossip: who has got it tells a few others, some in other zones, for a few rounds.
Whoever missed it learns of it from a heartbeat, and fetches from its sender the increments since its own version,
merged, or a snapshot (anti-entropy as in Demers et al., PODC 1987). Silence is harmless: the copy stays as it is, with
its version.

Invariants, whatever messages are lost, doubled, late or spoilt, and whoever stops:

- the version of a copy only rises;
- two copies of one version hold the same entries;
- what a copy holds was published as a whole, by the holder of the lease whose epoch the version names.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from random import Random

from yardbank.cluster.list_distribution.fetching import Fetching
from yardbank.cluster.list_distribution.history import History
from yardbank.cluster.list_distribution.messages import Fetch, Have, Message, Piece
from yardbank.cluster.list_distribution.neighbours import Neighbours
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.serving import Documents, Pieces
from yardbank.cluster.list_distribution.table import DoesNotFitError, Increment, Table, shown
from yardbank.cluster.list_distribution.transfer import Assembly, split
from yardbank.cluster.list_distribution.version import EMPTY_DIGEST, NOTHING, Version

EMPTY = Have(NOTHING, EMPTY_DIGEST)


class FencedError(ValueError):
    """A publication under an epoch that is lower than one seen already."""


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A message for another gateway."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Adoption:
    """A version that this copy has gone on to, and from whom it came."""

    version: Version
    digest: bytes
    source: str
    changed: int  # entries
    whole: bool  # by a snapshot


class Replica:
    """See the module. ``peers`` says who is there; ``outgoing`` and ``adoptions`` are taken off by the owner."""

    def __init__(self, name: str, random: Random, options: Options | None = None, table: Table | None = None) -> None:
        self.name, self.table = name, table or Table()
        self.counts: Counter[str] = Counter()  # what was refused, and why
        self._random, self._options = random, options or Options()
        self._history = History()
        self._documents = Documents()
        self._neighbours = Neighbours(name)
        self._fetching: Fetching | None = None
        self._pushed: Assembly | None = None
        self._news: Pieces = ()  # the newest increment, as long as it is handed on
        self._rounds = 2  # a gateway that has just started asks by telling what it holds
        self._next_round = self._next_heartbeat = 0
        self._outgoing: list[Outgoing] = []
        self._adoptions: list[Adoption] = []
        self.faults: list[str] = []  # documents that did not fit, for the log; taken off by the owner

    def peers(self, alive: Collection[str], zones: Mapping[str, str]) -> None:
        """The other gateways that are there, and everybody's zone."""
        self._neighbours.update(alive, zones)

    def publish(self, now: int, epoch: int, wanted: Mapping[str, str]) -> Version | None:
        """Publish other entries under the epoch of one's lease; None: they are what is held.

        Raises ``FencedError``, and ``ValueError`` where they are too many or too large.
        """
        if epoch < self.table.version.epoch:
            raise FencedError(f"epoch {epoch} is over: the list is at {shown(self.table.version)}")
        increment = self.table.difference(wanted, Version(epoch, self.table.version.number + 1))
        if increment is None:
            return None
        pieces = split(increment)
        self._apply(now, increment, self.name)
        self._tell(now, pieces)
        return increment.version

    def receive(self, now: int, sender: str, message: Message) -> None:
        """A message came, perhaps late or once more."""
        if isinstance(message, Have):
            self._have(now, sender, message)
        elif isinstance(message, Fetch):
            self._serve(sender, message)
        else:
            self._piece(now, sender, message)

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._options.heartbeat
            for to in self._neighbours.draw(1, self._random):
                self._send(to, self._own())
        if self._rounds and now >= self._next_round:
            self._rounds -= 1
            self._next_round = now + self._options.round
            for to in self._neighbours.draw(self._options.fan_out, self._random):
                for message in self._news or (self._own(),):
                    self._send(to, message)
        fetching = self._fetching
        if fetching is not None and now >= fetching.retry_at:
            if fetching.retried(now, self._options, self._random):
                self._ask(fetching)
            else:
                self._fetching = None
                self.counts["fetch given up"] += 1

    def next_at(self) -> int:
        """When ``tick`` is due."""
        due = [self._next_heartbeat]
        if self._rounds:
            due.append(self._next_round)
        if self._fetching is not None:
            due.append(self._fetching.retry_at)
        return min(due)

    def outgoing(self) -> list[Outgoing]:
        """What is to be sent; taken off."""
        found, self._outgoing = self._outgoing, []
        return found

    def adoptions(self) -> list[Adoption]:
        """Versions gone on to since this was asked last; taken off."""
        found, self._adoptions = self._adoptions, []
        return found

    # Messages

    def _have(self, now: int, sender: str, message: Have) -> None:
        if message.version > self.table.version:
            self._newer(now, sender, message.version)
        elif message.version < self.table.version:
            self._send(sender, self._own())
        elif message.digest != self.table.digest:
            self.counts["digest disputed"] += 1

    def _newer(self, now: int, sender: str, version: Version) -> None:
        """Somebody holds a newer version: fetch it, unless a fetch is under way that goes on."""
        fetching = self._fetching
        if fetching is not None and version >= fetching.version:
            fetching.heard(sender)
        replaced = fetching is not None and fetching.source == sender and version > fetching.version
        if fetching is None or replaced:  # the source has gone on: what it had is not to be had there any more
            self._fetching = Fetching(version, sender, now + self._options.retry)
            self._fetching.heard(sender)
            self._ask(self._fetching)

    def _serve(self, sender: str, asked: Fetch) -> None:
        pieces = self._documents.pieces(asked, self.table, self._history)
        if pieces is None:
            self._send(sender, self._own())
            return
        for piece in pieces[asked.first : asked.first + asked.count]:
            self._send(sender, piece)

    def _piece(self, now: int, sender: str, piece: Piece) -> None:
        if piece.version <= self.table.version:
            return
        fetching = self._fetching
        if fetching is not None and sender == fetching.source and piece.version == fetching.version:
            self._fetched(now, fetching, piece)
        elif piece.base == self.table.version:
            if self._pushed is None or not self._pushed.matches(piece):
                self._pushed = Assembly(piece)
            self._pushed.add(piece)
            if self._pushed.whole:
                assembly, self._pushed = self._pushed, None
                self._take(now, assembly, sender, spread=True)
        else:
            self._newer(now, sender, piece.version)

    def _fetched(self, now: int, fetching: Fetching, piece: Piece) -> None:
        if fetching.assembly is None or not fetching.assembly.matches(piece):
            fetching.assembly = Assembly(piece)
        fetching.assembly.add(piece)
        fetching.progressed(now, self._options)
        if fetching.assembly.whole:
            assembly, fetching.assembly = fetching.assembly, None
            if not self._take(now, assembly, fetching.source, spread=False):
                self._did_not_fit(fetching, assembly)
        elif fetching.wants_more():
            self._ask(fetching)

    def _did_not_fit(self, fetching: Fetching, assembly: Assembly) -> None:
        """An increment that does not fit: ask for a snapshot. One that does not either: wait for another's word."""
        if fetching.whole or assembly.base == NOTHING:
            self._fetching = None
        else:
            fetching.whole = True
            self._ask(fetching)

    # The copy

    def _take(self, now: int, assembly: Assembly, source: str, spread: bool) -> bool:
        """Apply what has come whole; whether it fitted. ``spread``: it was gossip, and goes on as such."""
        try:
            increment = assembly.increment()
            self._apply(now, increment, source)
        except DoesNotFitError as problem:
            self.counts["did not fit"] += 1
            self.faults.append(f"{source}: {problem}")
            del self.faults[:-20]
            return False
        self._tell(now, split(increment) if spread else ())
        return True

    def _apply(self, now: int, increment: Increment, source: str) -> None:
        before = self.table.digest
        self.table.apply(increment)
        self._history.add(increment, before)
        self._pushed = None
        if self._fetching is not None and self._fetching.version <= increment.version:
            self._fetching = None
        self._adoptions.append(
            Adoption(increment.version, increment.digest, source, len(increment.entries), increment.is_snapshot)
        )

    def _tell(self, now: int, pieces: Pieces) -> None:
        """Begin to hand on what is new; where it is large, or not new to others, only its version."""
        self._news = pieces if len(pieces) <= self._options.pushed else ()
        self._rounds = self._options.rounds
        self._next_round = now

    # Sending

    def _own(self) -> Have:
        return Have(self.table.version, self.table.digest)

    def _ask(self, fetching: Fetching) -> None:
        self._send(fetching.source, fetching.request(self._own(), self._options.window, EMPTY))

    def _send(self, to: str, message: Message) -> None:
        self._outgoing.append(Outgoing(to, message))
