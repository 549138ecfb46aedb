"""Who comes after the owner of a channel: its heirs if it dies, its successors at a planned end. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from yardbank.cluster.channels import placement as placing
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.placement import Placement
from yardbank.cluster.channels.states import OwnerState
from yardbank.cluster.peers.parts import MembershipView

DIRECT_HEIRS = 3  # so many hear from the owner directly that it lives


class Succession:
    """Orders of the gateways that come next. ``prefer``: of some gateways those to prefer, the best first."""

    def __init__(
        self, table: ChannelTable, membership_view: MembershipView, members: Members, placement: Placement
    ) -> None:
        self.prefer: Callable[[Iterable[str]], Sequence[str]] | None = None
        self._table = table
        self._membership_view = membership_view
        self._members = members
        self._placement = placement

    def heirs(self, channel: str, loads: Counter[str]) -> list[str]:
        """The first candidates if this gateway died; they are told directly that it lives."""
        names = self._members.candidates(channel) - {self._membership_view.name}
        most = placing.bound(len(self._table.channels), len(names) + 1)
        order = self._placement.order(channel, names, self._members.followers(channel))
        return placing.turns(order, loads, most)[:DIRECT_HEIRS]

    def successors(self, channel: str, own: OwnerState, loads: Counter[str]) -> list[str]:
        """Who may take it at a planned end, the best first; those that did not take it are left out."""
        alive = self._members.candidates(channel) & self._membership_view.alive()
        names = alive - own.tried - {self._membership_view.name}
        sharing = len(names) if self._table.stopping else len(names) + 1
        most = placing.bound(len(self._table.channels), sharing)
        order = self._placement.order(channel, names, self._members.followers(channel))
        return placing.successors(order, loads, most, self.prefer)
