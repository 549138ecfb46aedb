"""Who follows the owner of a channel: its standbys if it fails, its successors at a planned end. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from yardbank.cluster.channels import placement as placing
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.placement import Placement
from yardbank.cluster.channels.states import OwnerState
from yardbank.cluster.peers.parts import MembershipView

DIRECT_STANDBYS = 3  # gateways that receive the owner's heartbeats directly


class Succession:
    """Orders of the gateways next in line.

    ``prefer`` returns the preferred ones of some gateways, best first.
    """

    def __init__(
        self, table: ChannelTable, membership_view: MembershipView, members: Members, placement: Placement
    ) -> None:
        self.prefer: Callable[[Iterable[str]], Sequence[str]] | None = None
        self._table = table
        self._membership_view = membership_view
        self._members = members
        self._placement = placement

    def standbys(self, channel: str, loads: Counter[str]) -> list[str]:
        """The first candidates if this gateway failed; they receive its heartbeats directly."""
        names = self._members.candidates(channel) - {self._membership_view.name}
        max_channels = placing.load_bound(len(self._table.channels), len(names) + 1)
        order = self._placement.order(channel, names, self._members.followers(channel))
        return placing.candidacy_order(order, loads, max_channels)[:DIRECT_STANDBYS]

    def successors(self, channel: str, owner_state: OwnerState, loads: Counter[str]) -> list[str]:
        """Gateways that may take a channel at a planned end, best first, without those that did not take it."""
        alive = self._members.candidates(channel) & self._membership_view.alive()
        names = alive - owner_state.failed_successors - {self._membership_view.name}
        sharing = len(names) if self._table.stopping else len(names) + 1
        max_channels = placing.load_bound(len(self._table.channels), sharing)
        order = self._placement.order(channel, names, self._members.followers(channel))
        return placing.successors(order, loads, max_channels, self.prefer)
