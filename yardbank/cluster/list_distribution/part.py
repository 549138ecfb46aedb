"""List distribution as a part of the link between gateways: the replica and, given a source, the publisher. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from yardbank.cluster.lease.api import Leases
from yardbank.cluster.list_distribution.messages import decode, encode
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.replica import Adoption, FencedError, Replica
from yardbank.cluster.list_distribution.table import Table, format_version
from yardbank.cluster.peers.parts import MembershipView, Message

RESOURCE = "list-publisher"  # only the holder of this lease may publish
SEND_RATE, SEND_BURST = 4000, 64 * 1024  # octets per second on average, and octets at once, that one gateway sends
LEASE_CHECK_INTERVAL = 200_000_000  # nanoseconds between two checks by a publisher whether it holds the lease


class DistributionPart:
    """Implements ``peers.parts.Part``. ``leases`` decide who may publish; no lease is requested without a source."""

    topic = "list"
    rate: tuple[int, int] | None = (SEND_RATE, SEND_BURST)

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
        self.heard_epoch: Any = None  # called with the epochs of versions, so that later leases get higher ones
        self._source: Mapping[str, str] | None = None
        self._lease_held_since: int | None = None
        self._next_lease_check = 0
        self.fenced = 0  # publications refused because a publisher with a higher epoch is known
        self.refusal = ""  # why the last attempt to publish failed; empty: it succeeded

    def source(self, now: int, entries: Mapping[str, str]) -> None:
        """Set the entries to publish while this gateway holds the lease. The first call requests the lease."""
        if self._source is None:
            self._leases.acquire(now, RESOURCE)
        self._source = dict(entries)
        self._next_lease_check = now

    @property
    def publishes(self) -> bool:
        """Whether this gateway is the publisher, according to its own state."""
        return self._lease_held_since is not None

    def adoptions(self) -> list[Adoption]:
        """Remove and return the versions adopted since the last call."""
        return self.replica.adoptions()

    def listed(self, now: int) -> None:
        """Handle a change of the list of gateways."""
        self._update_neighbours()

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """Handle a message from a peer. Raises ``DroppedError`` if it cannot be decoded."""
        self.replica.receive(now, sender, decode(body))
        self._report_epoch(now)

    def tick(self, now: int) -> None:
        """Do everything that is due at ``now``."""
        if now >= self.replica.next_at():
            self._update_neighbours()
            self.replica.tick(now)
        if self._source is not None and now >= self._next_lease_check:
            self._next_lease_check = now + LEASE_CHECK_INTERVAL
            self._publish(now, self._source)

    def next_at(self) -> int | None:
        """When ``tick`` must be called next."""
        due = self.replica.next_at()
        return min(due, self._next_lease_check) if self._source is not None else due

    def outgoing_messages(self) -> list[Message]:
        """Remove and return the messages to send."""
        return [Message(outgoing.to, encode(outgoing.message)) for outgoing in self.replica.outgoing()]

    def view(self, now: int) -> dict[str, Any]:
        """The state shown to operators."""
        table = self.replica.table
        return {
            "version": format_version(table.version),
            "digest": table.digest.hex(),
            "entries": len(table.entries),
            "publishes": self.publishes,
            "fenced": self.fenced,
            "refusal": self.refusal,
            "counts": dict(self.replica.counts),
        }

    def _update_neighbours(self) -> None:
        self.replica.peers(self._membership_view.alive(), self._membership_view.zones())

    def _publish(self, now: int, source: Mapping[str, str]) -> None:
        """Publish the source once the lease has been held for ``settle``, which is time to receive newer versions."""
        epoch = self._leases.epoch(now, RESOURCE)
        if epoch is None:
            self._lease_held_since = None
            return
        if self._lease_held_since is None:
            self._lease_held_since = now
        if now - self._lease_held_since < self._options.settle:
            return
        try:
            self.replica.publish(now, epoch, source)
            self.refusal = ""
        except FencedError as error:
            self.fenced += 1
            self.refusal = str(error)
        except ValueError as error:
            self.refusal = str(error)

    def _report_epoch(self, now: int) -> None:
        if self.heard_epoch is not None:
            self.heard_epoch(now, self.replica.table.version.epoch)
