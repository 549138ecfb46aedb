"""Planned transfers of channels to successors: at a stop, from who has too many, to a better place. No I/O.

One successor after another is offered the lease; where none takes it, it is released and the election decides.
"""

from __future__ import annotations

import math
from collections import Counter

from yardbank.cluster.channels import placement as placing
from yardbank.cluster.channels.api import SECOND, Options, resource
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.messages import TransferNotice
from yardbank.cluster.channels.placement import BETTER, BETTER_BY, Placement
from yardbank.cluster.channels.states import OwnershipPhase, OwnerState
from yardbank.cluster.channels.succession import Succession
from yardbank.cluster.channels.tenure import Tenure
from yardbank.cluster.lease.api import Leases

MAX_SUCCESSORS_TRIED = 3  # before a channel is given up without one
MAX_TRANSFERS = 4  # at a time, in service
MAX_TRANSFERS_AT_STOP = 64  # at a time
BETTER_FOR = 10 * SECOND  # so long another place must be better before a channel moves


class Transfers:
    """Channels on their way to other gateways."""

    def __init__(
        self,
        table: ChannelTable,
        leases: Leases,
        succession: Succession,
        tenure: Tenure,
        members: Members,
        placement: Placement,
        feed: Feed,
        options: Options,
    ) -> None:
        self._table = table
        self._leases = leases
        self._succession = succession
        self._tenure = tenure
        self._members = members
        self._placement = placement
        self._feed = feed
        self._options = options

    def begin(self, now: int, channel: str, own: OwnerState, to: str) -> bool:
        """Offer the lease to a successor; whether that was possible: not in the lease's first moments."""
        if not self._leases.transfer(now, resource(channel), to):
            return False
        own.to = to
        self._table.move(now, channel, own, OwnershipPhase.TRANSFERRING)
        self._feed.send_urgent(to, TransferNotice(channel))
        return True

    def all(self, now: int) -> None:
        """At a stop: transfer what is owned, give up what is requested, or what nobody takes."""
        transferring = self._table.transferring_count()
        loads: Counter[str] | None = None
        for channel, own in self._table.channels.items():
            if own.state == OwnershipPhase.CANDIDATE:
                self._leases.release(now, resource(channel))
                self._table.move(now, channel, own, OwnershipPhase.IDLE)
            if own.state != OwnershipPhase.OWNER or transferring >= MAX_TRANSFERS_AT_STOP:
                continue
            if loads is None:
                loads = self._table.loads(self._feed.known.values())
            names = self._succession.successors(channel, own, loads)
            exhausted = len(own.tried) >= MAX_SUCCESSORS_TRIED or not names
            if not exhausted and self.begin(now, channel, own, names[0]):
                transferring += 1
                loads[names[0]] += 1
            elif exhausted or now - own.at > 2 * self._options.overlap:
                self._leases.release(now, resource(channel))
                self._tenure.end(now, channel, own, "given up")

    def surplus(self, now: int, loads: Counter[str]) -> None:
        """From a gateway with too many channels, a few at a time, to those with less than an even share."""
        owned = self._table.owned()
        left = len(owned)
        transferring = self._table.transferring_count()
        total = len(self._table.channels)
        for channel, own in owned:
            gateways = len(self._members.candidates(channel))
            if transferring >= MAX_TRANSFERS or left + transferring <= placing.bound(total, gateways):
                return
            even_share = math.ceil(total / max(1, gateways))
            own.tried.clear()
            names = [name for name in self._succession.successors(channel, own, loads) if loads[name] < even_share]
            if names and self.begin(now, channel, own, names[0]):
                loads[names[0]] += 1
                loads[self._table.name] -= 1
                transferring += 1
                left -= 1

    def to_better(self, now: int, loads: Counter[str]) -> None:
        """To a place whose worst latency to the followers is much lower, for a while; one channel at a time."""
        for channel, own in self._table.channels.items():
            if own.state != OwnershipPhase.OWNER:
                continue
            name = self._better_place(channel, own, loads)
            if not name:
                own.better_since = 0
            elif not own.better_since:
                own.better_since = now
            elif now - own.better_since >= BETTER_FOR:
                own.better_since = 0
                if self.begin(now, channel, own, name):
                    return

    def _better_place(self, channel: str, own: OwnerState, loads: Counter[str]) -> str:
        """The best successor, if it is much better than this gateway and not full; "": none is."""
        followers = self._members.followers(channel)
        cost = self._placement.cost(self._table.name, followers)
        names = self._succession.successors(channel, own, loads)
        best = self._placement.cost(names[0], followers) if names else None
        if cost is None or best is None:
            return ""
        if best > BETTER * cost or cost - best < BETTER_BY:
            return ""
        most = placing.bound(len(self._table.channels), len(names) + 1)
        return names[0] if loads[names[0]] < most else ""
