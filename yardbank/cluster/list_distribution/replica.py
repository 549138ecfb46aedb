"""One gateway's replica of the list and its protocol. No I/O; time (nanoseconds) and randomness are passed in.

A new version spreads by gossip: each gateway that received it notifies a few others, some in other zones, for a few
rounds. A gateway that missed it learns of it from a heartbeat and fetches from its sender the merged increments since
its own version, or a snapshot (anti-entropy as in Demers et al., PODC 1987). Without messages a replica keeps its
list and version, which is harmless.

Invariants under lost, duplicated, late and corrupted messages and under gateways that stop:

- the version of a replica only increases;
- two replicas of the same version hold the same entries;
- the entries of a replica were published as a whole, by the holder of the lease whose epoch is in the version.
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
from yardbank.cluster.list_distribution.serving import DocumentCache, Pieces
from yardbank.cluster.list_distribution.table import DoesNotFitError, Increment, Table, format_version
from yardbank.cluster.list_distribution.transfer import Assembly, split
from yardbank.cluster.list_distribution.version import EMPTY_DIGEST, NOTHING, Version

EMPTY = Have(NOTHING, EMPTY_DIGEST)


class FencedError(ValueError):
    """A publication under an epoch that is lower than that of the current version."""


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message for another gateway."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Adoption:
    """A version that this replica has applied, and the gateway it was received from."""

    version: Version
    digest: bytes
    source: str
    changed: int  # number of entries
    whole: bool  # applied from a snapshot


class Replica:
    """Implements the protocol of the module. The owner collects ``outgoing``, ``adoptions`` and ``faults``."""

    def __init__(self, name: str, random: Random, options: Options | None = None, table: Table | None = None) -> None:
        self.name, self.table = name, table or Table()
        self.counts: Counter[str] = Counter()  # rejected messages and abandoned fetches, by reason
        self._random, self._options = random, options or Options()
        self._history = History()
        self._documents = DocumentCache()
        self._neighbours = Neighbours(name)
        self._fetching: Fetching | None = None
        self._push_assembly: Assembly | None = None
        self._announced_pieces: Pieces = ()  # the newest increment, sent in each round of announcements
        self._rounds_left = 2  # a starting gateway announces its version, so that others reply with theirs
        self._next_round = self._next_heartbeat = 0
        self._outgoing: list[OutgoingMessage] = []
        self._adoptions: list[Adoption] = []
        self.faults: list[str] = []  # documents that could not be applied, for the log; cleared by the owner

    def peers(self, alive: Collection[str], zones: Mapping[str, str]) -> None:
        """Set the live gateways and the zone of each gateway."""
        self._neighbours.update(alive, zones)

    def publish(self, now: int, epoch: int, entries: Mapping[str, str]) -> Version | None:
        """Publish entries under the epoch of the lease held. Returns None if the list has these entries already.

        Raises ``FencedError``, and ``ValueError`` if the entries are too many or too large.
        """
        if epoch < self.table.version.epoch:
            raise FencedError(f"epoch {epoch} is over: the list is at {format_version(self.table.version)}")
        increment = self.table.difference(entries, Version(epoch, self.table.version.number + 1))
        if increment is None:
            return None
        pieces = split(increment)
        self._apply(now, increment, self.name)
        self._start_announcing(now, pieces)
        return increment.version

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handle a message, which may be late or a duplicate."""
        if isinstance(message, Have):
            self._on_have(now, sender, message)
        elif isinstance(message, Fetch):
            self._on_fetch(sender, message)
        else:
            self._on_piece(now, sender, message)

    def tick(self, now: int) -> None:
        """Do everything that is due at ``now``."""
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._options.heartbeat
            for to in self._neighbours.sample(1, self._random):
                self._send(to, self._own())
        if self._rounds_left and now >= self._next_round:
            self._rounds_left -= 1
            self._next_round = now + self._options.round
            for to in self._neighbours.sample(self._options.fan_out, self._random):
                for message in self._announced_pieces or (self._own(),):
                    self._send(to, message)
        fetching = self._fetching
        if fetching is not None and now >= fetching.retry_at:
            if fetching.retry(now, self._options, self._random):
                self._send_fetch(fetching)
            else:
                self._fetching = None
                self.counts["fetch given up"] += 1

    def next_at(self) -> int:
        """When ``tick`` must be called next."""
        due = [self._next_heartbeat]
        if self._rounds_left:
            due.append(self._next_round)
        if self._fetching is not None:
            due.append(self._fetching.retry_at)
        return min(due)

    def outgoing(self) -> list[OutgoingMessage]:
        """Remove and return the messages to send."""
        messages, self._outgoing = self._outgoing, []
        return messages

    def adoptions(self) -> list[Adoption]:
        """Remove and return the versions applied since the last call."""
        adoptions, self._adoptions = self._adoptions, []
        return adoptions

    # Messages

    def _on_have(self, now: int, sender: str, message: Have) -> None:
        if message.version > self.table.version:
            self._on_newer_version(now, sender, message.version)
        elif message.version < self.table.version:
            self._send(sender, self._own())
        elif message.digest != self.table.digest:
            self.counts["digest disputed"] += 1

    def _on_newer_version(self, now: int, sender: str, version: Version) -> None:
        """Fetch a newer version that ``sender`` holds, unless the current fetch can continue."""
        fetching = self._fetching
        if fetching is not None and version >= fetching.version:
            fetching.add_source(sender)
        replaced = fetching is not None and fetching.source == sender and version > fetching.version
        if fetching is None or replaced:  # the source has a newer version and may no longer serve the old one
            self._fetching = Fetching(version, sender, now + self._options.retry)
            self._fetching.add_source(sender)
            self._send_fetch(self._fetching)

    def _on_fetch(self, sender: str, request: Fetch) -> None:
        pieces = self._documents.pieces(request, self.table, self._history)
        if pieces is None:
            self._send(sender, self._own())
            return
        for piece in pieces[request.first : request.first + request.count]:
            self._send(sender, piece)

    def _on_piece(self, now: int, sender: str, piece: Piece) -> None:
        if piece.version <= self.table.version:
            return
        fetching = self._fetching
        if fetching is not None and sender == fetching.source and piece.version == fetching.version:
            self._on_fetched_piece(now, fetching, piece)
        elif piece.base == self.table.version:
            if self._push_assembly is None or not self._push_assembly.matches(piece):
                self._push_assembly = Assembly(piece)
            self._push_assembly.add(piece)
            if self._push_assembly.is_complete:
                assembly, self._push_assembly = self._push_assembly, None
                self._apply_assembly(now, assembly, sender, spread=True)
        else:
            self._on_newer_version(now, sender, piece.version)

    def _on_fetched_piece(self, now: int, fetching: Fetching, piece: Piece) -> None:
        if fetching.assembly is None or not fetching.assembly.matches(piece):
            fetching.assembly = Assembly(piece)
        fetching.assembly.add(piece)
        fetching.on_progress(now, self._options)
        if fetching.assembly.is_complete:
            assembly, fetching.assembly = fetching.assembly, None
            if not self._apply_assembly(now, assembly, fetching.source, spread=False):
                self._on_inapplicable(fetching, assembly)
        elif fetching.wants_more():
            self._send_fetch(fetching)

    def _on_inapplicable(self, fetching: Fetching, assembly: Assembly) -> None:
        """After an inapplicable increment request a snapshot; after an inapplicable snapshot give up the fetch.

        The next announcement of a newer version starts another fetch.
        """
        if fetching.wants_snapshot or assembly.base == NOTHING:
            self._fetching = None
        else:
            fetching.wants_snapshot = True
            self._send_fetch(fetching)

    # Applying

    def _apply_assembly(self, now: int, assembly: Assembly, source: str, spread: bool) -> bool:
        """Apply a complete document; returns whether it was applicable. ``spread``: it came by gossip; pass it on."""
        try:
            increment = assembly.increment()
            self._apply(now, increment, source)
        except DoesNotFitError as error:
            self.counts["did not fit"] += 1
            self.faults.append(f"{source}: {error}")
            del self.faults[:-20]
            return False
        self._start_announcing(now, split(increment) if spread else ())
        return True

    def _apply(self, now: int, increment: Increment, source: str) -> None:
        before = self.table.digest
        self.table.apply(increment)
        self._history.add(increment, before)
        self._push_assembly = None
        if self._fetching is not None and self._fetching.version <= increment.version:
            self._fetching = None
        self._adoptions.append(
            Adoption(increment.version, increment.digest, source, len(increment.entries), increment.is_snapshot)
        )

    def _start_announcing(self, now: int, pieces: Pieces) -> None:
        """Start announcing the new version, by its pieces if there are a few, else by the version alone.

        Pieces are passed only for an increment that is new to other gateways, not for a fetched one.
        """
        self._announced_pieces = pieces if len(pieces) <= self._options.pushed else ()
        self._rounds_left = self._options.rounds
        self._next_round = now

    # Sending

    def _own(self) -> Have:
        return Have(self.table.version, self.table.digest)

    def _send_fetch(self, fetching: Fetching) -> None:
        self._send(fetching.source, fetching.request(self._own(), self._options.window, EMPTY))

    def _send(self, to: str, message: Message) -> None:
        self._outgoing.append(OutgoingMessage(to, message))
