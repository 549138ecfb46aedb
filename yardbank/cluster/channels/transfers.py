"""Planned transfers of channels: when stopping, from an overloaded gateway, to a better placed one. No I/O.

The lease is offered to one successor after another; if none takes it, it is released and the election decides.
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
from yardbank.cluster.channels.placement import RELOCATION_COST_RATIO, RELOCATION_MIN_GAIN, Placement
from yardbank.cluster.channels.states import OwnershipPhase, OwnerState
from yardbank.cluster.channels.succession import Succession
from yardbank.cluster.channels.tenure import Tenure
from yardbank.cluster.lease.api import Leases

MAX_SUCCESSORS_TRIED = 3  # before a channel's lease is released without one
MAX_TRANSFERS = 4  # at a time while in service
MAX_TRANSFERS_AT_STOP = 64  # at a time while stopping
RELOCATION_DELAY = 10 * SECOND  # time for which another gateway must be better before a channel moves


class Transfers:
    """Channels being transferred to other gateways."""

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

    def begin(self, now: int, channel: str, owner_state: OwnerState, to: str) -> bool:
        """Offer the lease to a successor; returns False if that is not possible yet, just after the grant."""
        if not self._leases.transfer(now, resource(channel), to):
            return False
        owner_state.successor = to
        self._table.move(now, channel, owner_state, OwnershipPhase.TRANSFERRING)
        self._feed.send_urgent(to, TransferNotice(channel))
        return True

    def transfer_all(self, now: int) -> None:
        """Transfer all channels because this gateway is stopping."""
        transferring = self._table.transferring_count()
        loads: Counter[str] | None = None
        for channel, owner_state in self._table.channels.items():
            if owner_state.phase == OwnershipPhase.CANDIDATE:
                self._leases.release(now, resource(channel))
                self._table.move(now, channel, owner_state, OwnershipPhase.IDLE)
            if owner_state.phase != OwnershipPhase.OWNER or transferring >= MAX_TRANSFERS_AT_STOP:
                continue
            if loads is None:
                loads = self._table.loads(self._feed.known.values())
            names = self._succession.successors(channel, owner_state, loads)
            exhausted = len(owner_state.failed_successors) >= MAX_SUCCESSORS_TRIED or not names
            if not exhausted and self.begin(now, channel, owner_state, names[0]):
                transferring += 1
                loads[names[0]] += 1
            elif exhausted or now - owner_state.phase_since > 2 * self._options.overlap:
                self._leases.release(now, resource(channel))
                self._tenure.end(now, channel, owner_state, "given up")

    def rebalance(self, now: int, loads: Counter[str]) -> None:
        """Transfer channels from an overloaded gateway to those below an even share, a few at a time."""
        owned = self._table.owned()
        left = len(owned)
        transferring = self._table.transferring_count()
        total = len(self._table.channels)
        for channel, owner_state in owned:
            gateways = len(self._members.candidates(channel))
            if transferring >= MAX_TRANSFERS or left + transferring <= placing.load_bound(total, gateways):
                return
            even_share = math.ceil(total / max(1, gateways))
            owner_state.failed_successors.clear()
            names = [
                name for name in self._succession.successors(channel, owner_state, loads) if loads[name] < even_share
            ]
            if names and self.begin(now, channel, owner_state, names[0]):
                loads[names[0]] += 1
                loads[self._table.name] -= 1
                transferring += 1
                left -= 1

    def to_better(self, now: int, loads: Counter[str]) -> None:
        """Transfer a channel to a much better placed gateway, one channel at a time.

        The other gateway's worst latency to the followers must have been much lower for ``RELOCATION_DELAY``.
        """
        for channel, owner_state in self._table.channels.items():
            if owner_state.phase != OwnershipPhase.OWNER:
                continue
            name = self._better_successor(channel, owner_state, loads)
            if not name:
                owner_state.better_since = 0
            elif not owner_state.better_since:
                owner_state.better_since = now
            elif now - owner_state.better_since >= RELOCATION_DELAY:
                owner_state.better_since = 0
                if self.begin(now, channel, owner_state, name):
                    return

    def _better_successor(self, channel: str, owner_state: OwnerState, loads: Counter[str]) -> str:
        """The best successor if it is much better than this gateway and not full; otherwise ""."""
        followers = self._members.followers(channel)
        cost = self._placement.cost(self._table.name, followers)
        names = self._succession.successors(channel, owner_state, loads)
        best = self._placement.cost(names[0], followers) if names else None
        if cost is None or best is None:
            return ""
        if best > RELOCATION_COST_RATIO * cost or cost - best < RELOCATION_MIN_GAIN:
            return ""
        max_channels = placing.load_bound(len(self._table.channels), len(names) + 1)
        return names[0] if loads[names[0]] < max_channels else ""
