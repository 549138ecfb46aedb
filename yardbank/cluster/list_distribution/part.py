"""The distribution as a part of the link between gateways: the copy and, given a source, the publisher. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from yardbank.cluster.lease.api import Leases
from yardbank.cluster.list_distribution.messages import decode, encode
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.replica import Adoption, FencedError, Replica
from yardbank.cluster.list_distribution.table import Table, shown
from yardbank.cluster.peers.parts import MembershipView, Message

RESOURCE = "list-publisher"  # the lease whose holder may publish
RATE, BURST = 4000, 64 * 1024  # octets a second on average, and at once, of all that one gateway sends for this
LOOK_EVERY = 200_000_000  # ns, between two looks of a publisher at its lease


class DistributionPart:
    """Implements ``peers.parts.Part``. ``leases`` decide who may publish; without a source none is asked for."""

    topic = "list"
    rate: tuple[int, int] | None = (RATE, BURST)

    def __init__(
        self,
        membership_view: MembershipView,
        leases: Leases,
        random: Random,
        options: Options | None = None,
        table: Table | None = None,
    ) -> None:
        self._membership_view, self._leases = membership_view, leases
        self._options = options or Options()
        self.replica = Replica(membership_view.name, random, self._options, table)
        self.heard_epoch: Any = None  # told of the epochs of versions, so that later leases are above them
        self._source: Mapping[str, str] | None = None
        self._held_since: int | None = None
        self._next_look = 0
        self.fenced = 0  # publications refused, as a later publisher was heard of
        self.refusal = ""  # why the source was not published last

    def source(self, now: int, entries: Mapping[str, str]) -> None:
        """What is to be published from now on, by whoever holds the lease; this gateway would hold it."""
        if self._source is None:
            self._leases.acquire(now, RESOURCE)
        self._source = dict(entries)
        self._next_look = now

    @property
    def publishes(self) -> bool:
        """Whether this gateway is the publisher, as far as it knows."""
        return self._held_since is not None

    def adoptions(self) -> list[Adoption]:
        """Versions gone on to since this was asked last; taken off."""
        return self.replica.adoptions()

    def listed(self, now: int) -> None:
        """The list of gateways has changed."""
        self._look_around()

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A message of a peer. Raises ``DroppedError`` on one that cannot be read."""
        self.replica.receive(now, sender, decode(body))
        self._tell_epoch(now)

    def tick(self, now: int) -> None:
        """Time has passed."""
        if now >= self.replica.next_at():
            self._look_around()
            self.replica.tick(now)
        if self._source is not None and now >= self._next_look:
            self._next_look = now + LOOK_EVERY
            self._publish(now, self._source)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        due = self.replica.next_at()
        return min(due, self._next_look) if self._source is not None else due

    def outgoing_messages(self) -> list[Message]:
        """What is to be sent; taken off."""
        return [Message(out.to, encode(out.message)) for out in self.replica.outgoing()]

    def view(self, now: int) -> dict[str, Any]:
        """What an operator should see."""
        table = self.replica.table
        return {
            "version": shown(table.version),
            "digest": table.digest.hex(),
            "entries": len(table.entries),
            "publishes": self.publishes,
            "fenced": self.fenced,
            "refusal": self.refusal,
            "counts": dict(self.replica.counts),
        }

    def _look_around(self) -> None:
        self.replica.peers(self._membership_view.alive(), self._membership_view.zones())

    def _publish(self, now: int, source: Mapping[str, str]) -> None:
        """Publish the source, once the lease has been held for long enough to have heard of newer versions."""
        epoch = self._leases.epoch(now, RESOURCE)
        if epoch is None:
            self._held_since = None
            return
        if self._held_since is None:
            self._held_since = now
        if now - self._held_since < self._options.settle:
            return
        try:
            self.replica.publish(now, epoch, source)
            self.refusal = ""
        except FencedError as problem:
            self.fenced += 1
            self.refusal = str(problem)
        except ValueError as problem:
            self.refusal = str(problem)

    def _tell_epoch(self, now: int) -> None:
        if self.heard_epoch is not None:
            self.heard_epoch(now, self.replica.table.version.epoch)
