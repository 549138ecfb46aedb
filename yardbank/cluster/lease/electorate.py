"""Which voters must agree while the list changes. No I/O: time (ns) comes in.

Gateways take a new list at different times. A voter grants only under the list that it has itself. Who has taken a new
one needs a majority of the old one's voters as well, until so many of them have said that they left the old list that
the rest are no majority of it, and a lease has passed since each said so: what they granted under it is over then.
Those that the new list no longer names cannot be asked; one lease after the change they count as stopped.

So it does not matter how long gateways differ, only that each remembers the lists that it went through. One that
started without that memory grants and asks nothing new while it hears of a list that it does not know.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.messages import MAX_LISTS, LeaseRequest
from yardbank.cluster.lease.quorum import majority, voters_of
from yardbank.cluster.lease.timing import long_lease

GREETED = 1  # at once
CACHED = 4096  # resources whose voters are remembered


class Older(NamedTuple):
    """A list that was in force here; ``since``: when it was left. ``votes``: how many vote on each resource."""

    hash: int
    zones: Mapping[str, str]
    votes: int
    since: int


class Heard(NamedTuple):
    """Where a peer stands, as it said last; ``since``: as long as it says just this; ``at``: when it said it last."""

    hash: int
    older: tuple[int, ...]
    since: int
    at: int


class Electorate:
    """The lists of one gateway, and what it has heard of its peers'."""

    __slots__ = (
        "_cache",
        "_greet_at",
        "_last",
        "_terms",
        "forgotten",
        "fresh",
        "hash",
        "heard",
        "long",
        "name",
        "older",
        "past",
        "zones",
    )

    def __init__(self, name: str, terms: LeaseTerms) -> None:
        self.name, self._terms = name, terms
        self.long = long_lease(terms)  # or longer, if terms were in an earlier life
        self.hash, self.zones = 0, dict[str, str]()
        self.older: list[Older] = []  # the newest first
        self.past: tuple[int, ...] = ()  # lists that bind no more
        self.heard: dict[str, Heard] = {}
        self.fresh = True  # without memory of lists from before this start
        self.forgotten = 0  # older lists given up because there were too many
        self._greet_at, self._last = 0, ""
        self._cache: dict[tuple[int, str], tuple[str, ...]] = {}

    def restore(self, now: int, lists: Iterable[tuple[int, Mapping[str, str], int]], long: int) -> None:
        """What an earlier life went through, the newest first, and the longest lease that it knew (ns)."""
        self.long = max(self.long, long)
        for number, zones, count in lists:
            self.fresh = False
            self.older.append(Older(number, dict(zones), count, now))

    def kept(self) -> list[tuple[int, dict[str, str], int]]:
        """What a later life needs."""
        own = (self.hash, dict(self.zones), self._terms.voters)
        return [own, *((one.hash, dict(one.zones), one.votes) for one in self.older)]

    def listed(self, now: int, number: int, zones: Mapping[str, str]) -> bool:
        """The list as it is now; ``number`` stands for it and for the terms. Whether it is another."""
        if number == self.hash:
            return False
        if self.hash:
            self.older.insert(0, Older(self.hash, self.zones, self._terms.voters, now))
        self.older = [one for one in self.older if one.hash != number]
        for one in self.older[MAX_LISTS // 2 :]:
            self.forgotten += 1
            self._over(one)
        self.hash, self.zones = number, dict(zones)
        self.heard = {name: heard for name, heard in self.heard.items() if name in zones}
        self._greet_at, self._last = now, ""
        return True

    def _over(self, one: Older) -> None:
        self.older.remove(one)
        self.past = (one.hash, *self.past)[: MAX_LISTS // 2]

    def hear(self, now: int, peer: str, number: int, older: tuple[int, ...]) -> None:
        """A peer says by which list it goes, and which older ones still bind it."""
        if peer == self.name or peer not in self.zones:
            return
        last = self.heard.get(peer)
        same = last is not None and last.hash == number
        self.heard[peer] = Heard(number, older, last.since if same and last else now, now)

    def settled(self, now: int, peer: str) -> bool:
        """Whether a peer has been at this list for a lease, bound by no list that this gateway does not know."""
        if peer == self.name:
            return True  # asked only when its own change is a lease ago
        return self._here(now, peer) and {*self.known(), self.hash}.issuperset(self.heard[peer].older)

    def _here(self, now: int, peer: str) -> bool:
        """Whether a peer has been at this list for a lease."""
        heard = self.heard.get(peer)
        return heard is not None and heard.hash == self.hash and heard.since + self.long <= now

    def _voters(self, resource: str, number: int, zones: Mapping[str, str], count: int) -> tuple[str, ...]:
        key = number, resource
        if (found := self._cache.get(key)) is None:
            if len(self._cache) >= CACHED:
                self._cache.clear()
            found = self._cache[key] = voters_of(resource, zones, count)
        return found

    def voters(self, resource: str) -> tuple[str, ...]:
        """Those that the list in force gives it."""
        return self._voters(resource, self.hash, self.zones, self._terms.voters)

    def _binding(self, now: int, one: Older, resource: str) -> tuple[tuple[str, ...], int] | None:
        """The voters of an older list that must agree, and how many of them; None: it binds no more."""
        voters = self._voters(resource, one.hash, one.zones, one.votes)
        if set(voters) == set(self.voters(resource)):
            return None  # any two majorities of them share one
        most = majority(len(voters))
        if now < one.since + self.long:
            return voters, most
        left = tuple(name for name in voters if name in self.zones)
        needed = len(left) - most + 1  # then the others are no majority
        if needed <= sum(self.settled(now, name) for name in left):
            return None
        return left, needed

    def sets(self, now: int, resource: str) -> list[tuple[tuple[str, ...], int]]:
        """Sets of voters, and how many of each must agree."""
        voters = self.voters(resource)
        found = [(voters, majority(len(voters)))]
        return found + [bound for one in self.older if (bound := self._binding(now, one, resource))]

    def all_voters(self, now: int, resource: str) -> list[str]:
        """Whoever is in one of the sets, by name."""
        return sorted({voter for voters, _ in self.sets(now, resource) for voter in voters})

    def accepts(self, now: int, ask: LeaseRequest) -> bool:
        """Whether one who asks goes by the same list, and through all that still bind this gateway."""
        if ask.list != self.hash or (not ask.renewal and self.doubt(now)):
            return False
        return all(one.hash in ask.past or self._binding(now, one, ask.resource) is None for one in self.older)

    def known(self) -> tuple[int, ...]:
        """Lists gone through lately, as they stand in asks."""
        return tuple(one.hash for one in self.older) + self.past

    def binding(self) -> tuple[int, ...]:
        """Older lists that are not over, as they stand in answers."""
        return tuple(one.hash for one in self.older)

    def doubt(self, now: int) -> bool:
        """Whether a list that this gateway never saw may be in force elsewhere."""
        if not self.fresh:
            return False
        known = {*self.known(), self.hash}
        return any(heard.hash not in known and now < heard.at + 2 * self.long for heard in self.heard.values())

    def _missing(self) -> list[str]:
        """Peers that have not said that they are at this list, bound by none that is unknown here."""
        known = {*self.known(), self.hash}
        here = {name for name, heard in self.heard.items() if heard.hash == self.hash and known.issuperset(heard.older)}
        return sorted(name for name in self.zones if name != self.name and name not in here)

    def tick(self, now: int) -> list[str]:
        """Whom to greet now."""
        if not self.hash or now < self._greet_at or not (self.older or self.fresh):
            return []
        self._clear(now)
        missing = [name for name in self._missing() if name > self._last]
        self._greet_at = now + self._terms.term // 8
        if not missing:  # once through all of them
            self._last, self._greet_at = "", now + self._terms.term
            others = len(self.zones) - 1
            if self.fresh and not self.doubt(now) and 2 * len(self._missing()) <= others:
                self.fresh = False  # half of the list say the same, and nobody anything else
            return []
        self._last = missing[:GREETED][-1]
        return missing[:GREETED]

    def _clear(self, now: int) -> None:
        """Forget older lists once so few may go by any other than this one that they are no majority anywhere.

        Lists that only others went through are over then as well, so nobody waits for anybody in a node.
        """
        late = sum(name != self.name and not self._here(now, name) for name in self.zones)
        for one in list(self.older):
            if now >= one.since + self.long and late < majority(min(one.votes, len(one.zones))):
                self._over(one)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        return self._greet_at if self.hash and (self.older or self.fresh) else None
