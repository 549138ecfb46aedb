"""The parent and the children of this gateway in each channel's tree. No I/O; times (ns) come in.

Bounds: ``MAX_CHILDREN`` times the fan-out children of a channel, ``MAX_RANKS`` ranks kept.

| state of a parent | by | to |
| --- | --- | --- |
| NONE | the channel is followed, and there is an ancestor | ASKED |
| ASKED | it spoke of the channel | FED |
| ASKED, FED | silent for ``PARENT_TIMEOUT``, or no ancestor any more | ASKED, of the next ancestor |
| any | the channel is owned here, or no more followed | NONE |
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from yardbank.cluster.channels import tree
from yardbank.cluster.channels.api import MS, SECOND

PARENT_TIMEOUT = 2500 * MS  # without a message of the channel its parent counts as broken
FIRST_CHOICE_RETRY = 30 * SECOND  # so long a gateway stays with another parent than its first choice
SUBSCRIPTION_LIFETIME = 6 * SECOND  # unless it is renewed
MAX_RANKS = 10_000  # kept
MAX_CHILDREN = 4  # times the fan-out, of one channel: room for children of parents that broke


@dataclass(slots=True)
class _Parent:
    name: str
    since: int
    heard_at: int  # 0: not yet
    attempt: int = 0


class Subscriptions:
    """This gateway's place in the trees of its channels."""

    def __init__(self, name: str, fan_out: int, random: Random) -> None:
        self.name, self._fan_out, self._random = name, fan_out, random
        self.refused = 0  # subscriptions beyond the bound
        self.broken = 0  # times that a parent fell silent
        self._followers: Mapping[str, frozenset[str]] = {}
        self._parents: dict[str, _Parent] = {}
        self._children: dict[str, dict[str, int]] = {}  # by channel and child: until when
        self._orders: dict[tuple[int, frozenset[str]], tuple[list[str], dict[str, int]]] = {}
        self._ranks: dict[tuple[int, str], int] = {}
        self._trees: dict[str, int] = {}  # by channel
        self._ancestors: dict[str, tuple[str, list[str]]] = {}  # by channel: for which owner, the ways

    def joined(self, followers: Mapping[str, frozenset[str]]) -> None:
        """The channels that this gateway takes part in, and who that is there follows each."""
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
            found = self._orders[key] = names, {name: place for place, name in enumerate(names)}
        return found

    def _ancestors_of(self, channel: str, owner: str) -> list[str]:
        known = self._ancestors.get(channel)
        if known is not None and known[0] == owner:
            return known[1]
        names, places = self._order(channel)
        place = places.get(self.name)
        found = [] if place is None else tree.ancestors(names, place, self._fan_out, owner)
        if place:  # where all of these are out of reach, anybody that stands before
            found.append(names[self._random.randrange(place)])
        self._ancestors[channel] = owner, found
        return found

    def roots(self, channel: str, owner: str) -> list[str]:
        """Whom the owner feeds whether they subscribed or not."""
        return tree.roots(self._order(channel)[0], self._fan_out, owner)

    def choose(self, now: int, owners: Mapping[str, str]) -> list[str]:
        """Look after all parents; channels that were given another one. ``owners``: as far as they are known."""
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
        """The parent of a channel; "": none."""
        found = self._parents.get(channel)
        return found.name if found is not None else ""

    def heard(self, now: int, channel: str, sender: str) -> None:
        """A gateway sent a message of a channel."""
        found = self._parents.get(channel)
        if found is not None and found.name == sender:
            found.heard_at = now

    def adopt(self, now: int, channel: str, child: str) -> bool:
        """A gateway subscribes; whether it is accepted."""
        known = self._children.setdefault(channel, {})
        if child not in known and len(known) >= MAX_CHILDREN * self._fan_out:
            for name in [name for name, until in known.items() if until < now]:
                del known[name]
            if len(known) >= MAX_CHILDREN * self._fan_out:
                self.refused += 1
                return False
        known[child] = now + SUBSCRIPTION_LIFETIME
        return True

    def children(self, now: int, channel: str) -> list[str]:
        """The children of a channel here."""
        known = self._children.get(channel)
        if not known:
            return []
        for name in [name for name, until in known.items() if until < now]:
            del known[name]
        return list(known)
