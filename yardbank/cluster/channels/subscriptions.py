"""The parent and the children of this gateway in each channel's tree. No I/O; times are passed in (ns).

Bounds: per channel ``MAX_CHILDREN`` times the fan-out children; ``MAX_RANKS`` ranks cached.

| state of a parent | on | to |
| --- | --- | --- |
| NONE | the channel is followed, and there is an ancestor | ASKED |
| ASKED | it sent a message of the channel | FED |
| ASKED, FED | silent for ``PARENT_TIMEOUT``, or no ancestor any more | ASKED, of the next ancestor |
| any | the channel is owned here, or no longer followed | NONE |
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from yardbank.cluster.channels import tree
from yardbank.cluster.channels.api import MS, SECOND

PARENT_TIMEOUT = 2500 * MS  # without a message of the channel for this long, its parent counts as broken
FIRST_CHOICE_RETRY = 30 * SECOND  # after which a gateway returns to its first-choice parent
SUBSCRIPTION_LIFETIME = 6 * SECOND  # unless renewed
MAX_RANKS = 10_000  # cached
MAX_CHILDREN = 4  # times the fan-out, per channel: leaves room for children whose parent broke


@dataclass(slots=True)
class _Parent:
    name: str
    since: int
    heard_at: int  # 0: not heard yet
    attempt: int = 0


class Subscriptions:
    """This gateway's place in the trees of its channels."""

    def __init__(self, name: str, fan_out: int, random: Random) -> None:
        self.name, self._fan_out, self._random = name, fan_out, random
        self.refused = 0  # subscriptions rejected because of the bound
        self.broken = 0  # parents that timed out
        self._followers: Mapping[str, frozenset[str]] = {}
        self._parents: dict[str, _Parent] = {}
        self._children: dict[str, dict[str, int]] = {}  # by channel and child: expiry of the subscription
        self._orders: dict[tuple[int, frozenset[str]], tuple[list[str], dict[str, int]]] = {}
        self._ranks: dict[tuple[int, str], int] = {}
        self._trees: dict[str, int] = {}  # by channel
        self._ancestors: dict[str, tuple[str, list[str]]] = {}  # by channel: the owner and the resulting ancestors

    def set_followers(self, followers: Mapping[str, frozenset[str]]) -> None:
        """Set the channels of this gateway and the present followers of each."""
        self._followers = followers
        self._orders.clear()
        if len(self._ranks) > MAX_RANKS:
            self._ranks.clear()
        self._ancestors.clear()
        self._trees = {channel: tree.tree_of(channel) for channel in followers}
        for known in (self._parents, self._children):
            for channel in known.keys() - followers.keys():
                del known[channel]

    def _order(self, channel: str) -> tuple[list[str], dict[str, int]]:
        key = self._trees.get(channel, 0), self._followers.get(channel, frozenset())
        found = self._orders.get(key)
        if found is None:
            names = tree.order(*key, self._ranks)
            found = self._orders[key] = names, {name: index for index, name in enumerate(names)}
        return found

    def _ancestors_of(self, channel: str, owner: str) -> list[str]:
        known = self._ancestors.get(channel)
        if known is not None and known[0] == owner:
            return known[1]
        names, indexes = self._order(channel)
        index = indexes.get(self.name)
        found = [] if index is None else tree.ancestors(names, index, self._fan_out, owner)
        if index:  # if all of these are unreachable: any gateway earlier in the order
            found.append(names[self._random.randrange(index)])
        self._ancestors[channel] = owner, found
        return found

    def roots(self, channel: str, owner: str) -> list[str]:
        """Followers to which the owner sends items whether or not they subscribed."""
        return tree.roots(self._order(channel)[0], self._fan_out, owner)

    def update_parents(self, now: int, owners: Mapping[str, str]) -> list[str]:
        """Check all parents; returns the channels that were given a new one.

        ``owners``: as far as they are known.
        """
        changed = []
        for channel in self._followers:
            owner = owners.get(channel, "")
            parent = self._parents.get(channel)
            if not (ancestors := [] if owner == self.name else self._ancestors_of(channel, owner)):
                self._parents.pop(channel, None)
                continue
            if parent is None or parent.name not in ancestors:
                attempt = 0
            elif now - max(parent.heard_at, parent.since) > PARENT_TIMEOUT:
                attempt = parent.attempt + 1
                self.broken += 1
            elif parent.attempt and now - parent.since > FIRST_CHOICE_RETRY:
                attempt = 0
            else:
                continue
            self._parents[channel] = _Parent(ancestors[attempt % len(ancestors)], now, 0, attempt)
            changed.append(channel)
        return changed

    def parent(self, channel: str) -> str:
        """The parent of a channel; "" if there is none."""
        found = self._parents.get(channel)
        return found.name if found is not None else ""

    def note_message(self, now: int, channel: str, sender: str) -> None:
        """A gateway sent a message of a channel."""
        found = self._parents.get(channel)
        if found is not None and found.name == sender:
            found.heard_at = now

    def add_child(self, now: int, channel: str, child: str) -> bool:
        """Add or renew a child's subscription; returns whether it is accepted."""
        known = self._children.setdefault(channel, {})
        if child not in known and len(known) >= MAX_CHILDREN * self._fan_out:
            for name in [name for name, expires_at in known.items() if expires_at < now]:
                del known[name]
            if len(known) >= MAX_CHILDREN * self._fan_out:
                self.refused += 1
                return False
        known[child] = now + SUBSCRIPTION_LIFETIME
        return True

    def children(self, now: int, channel: str) -> list[str]:
        """The current children of a channel."""
        known = self._children.get(channel)
        if not known:
            return []
        for name in [name for name, expires_at in known.items() if expires_at < now]:
            del known[name]
        return list(known)
