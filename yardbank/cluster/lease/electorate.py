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

ANNOUNCED_AT_ONCE = 1
MAX_CACHED = 4096  # resources whose voters are remembered

VoterSet = tuple[tuple[str, ...], int]  # voters, and how many of them must agree
StoredList = tuple[int, dict[str, str], int]  # hash, zones by name, how many vote on each resource


class OlderList(NamedTuple):
    """A list that was in force here; ``since``: when it was left. ``votes``: how many vote on each resource."""

    hash: int
    zones: Mapping[str, str]
    votes: int
    since: int


class Announcement(NamedTuple):
    """Where a peer stands, as it said last; ``since``: as long as it says just this; ``at``: when it said it last."""

    hash: int
    older_lists: tuple[int, ...]
    since: int
    at: int


class Electorate:
    """The lists of one gateway, and what it has heard of its peers'. Times are ns of its own clock.

    Owns the list in force, at most ``MAX_LISTS // 2`` older ones that still bind and as many past ones that do not, one
    announcement of each peer, and a cache of voters (``MAX_CACHED``).
    """

    __slots__ = (
        "_announce_at",
        "_cache",
        "_last_peer",
        "_terms",
        "announcements",
        "forgotten",
        "hash",
        "longest_lease",
        "name",
        "older_lists",
        "past_lists",
        "without_memory",
        "zones",
    )

    def __init__(self, name: str, terms: LeaseTerms) -> None:
        self.name = name
        self._terms = terms
        self.longest_lease = long_lease(terms)  # or longer, if terms were before this start
        self.hash = 0
        self.zones: dict[str, str] = {}
        self.older_lists: list[OlderList] = []  # the newest first
        self.past_lists: tuple[int, ...] = ()  # lists that bind no more
        self.announcements: dict[str, Announcement] = {}
        self.without_memory = True  # of lists from before this start
        self.forgotten = 0  # older lists given up because there were too many
        self._announce_at = 0
        self._last_peer = ""
        self._cache: dict[tuple[int, str], tuple[str, ...]] = {}

    def restore(self, now: int, lists: Iterable[StoredList], longest_lease: int) -> None:
        """What was stored before this start, the newest list first, and the longest lease known then (ns)."""
        self.longest_lease = max(self.longest_lease, longest_lease)
        for list_hash, zones, votes in lists:
            self.without_memory = False
            self.older_lists.append(OlderList(list_hash, dict(zones), votes, now))

    def stored_lists(self) -> list[StoredList]:
        """What a later start needs."""
        found = [(self.hash, dict(self.zones), self._terms.voters)]
        found += [(older.hash, dict(older.zones), older.votes) for older in self.older_lists]
        return found

    def update_list(self, now: int, list_hash: int, zones: Mapping[str, str]) -> bool:
        """The list as it is now; ``list_hash`` stands for it and for the terms. Whether it is another."""
        if list_hash == self.hash:
            return False
        if self.hash:
            self.older_lists.insert(0, OlderList(self.hash, self.zones, self._terms.voters, now))
        self.older_lists = [older for older in self.older_lists if older.hash != list_hash]
        for older in self.older_lists[MAX_LISTS // 2 :]:
            self.forgotten += 1
            self._retire(older)
        self.hash = list_hash
        self.zones = dict(zones)
        self.announcements = {peer: said for peer, said in self.announcements.items() if peer in zones}
        self._announce_at = now
        self._last_peer = ""
        return True

    def _retire(self, older: OlderList) -> None:
        self.older_lists.remove(older)
        self.past_lists = (older.hash, *self.past_lists)[: MAX_LISTS // 2]

    def record_announcement(self, now: int, peer: str, list_hash: int, older_lists: tuple[int, ...]) -> None:
        """A peer says by which list it goes, and which older ones still bind it."""
        if peer == self.name or peer not in self.zones:
            return
        last = self.announcements.get(peer)
        since = now
        if last is not None and last.hash == list_hash:
            since = last.since
        self.announcements[peer] = Announcement(list_hash, older_lists, since, now)

    # Who must agree

    def voters(self, resource: str) -> tuple[str, ...]:
        """Those that the list in force gives it."""
        return self._voters(resource, self.hash, self.zones, self._terms.voters)

    def _voters(self, resource: str, list_hash: int, zones: Mapping[str, str], votes: int) -> tuple[str, ...]:
        key = list_hash, resource
        found = self._cache.get(key)
        if found is None:
            if len(self._cache) >= MAX_CACHED:
                self._cache.clear()
            found = voters_of(resource, zones, votes)
            self._cache[key] = found
        return found

    def sets(self, now: int, resource: str) -> list[VoterSet]:
        """Sets of voters, and how many of each must agree."""
        voters = self.voters(resource)
        found: list[VoterSet] = [(voters, majority(len(voters)))]
        for older in self.older_lists:
            if bound := self._binding(now, older, resource):
                found.append(bound)
        return found

    def _binding(self, now: int, older: OlderList, resource: str) -> VoterSet | None:
        """The voters of an older list that must agree, and how many of them; None: it binds no more."""
        voters = self._voters(resource, older.hash, older.zones, older.votes)
        if set(voters) == set(self.voters(resource)):
            return None  # any two majorities of them share one
        quorum = majority(len(voters))
        if now < older.since + self.longest_lease:
            return voters, quorum
        remaining = tuple(name for name in voters if name in self.zones)
        needed = len(remaining) - quorum + 1  # then the others are no majority
        if needed <= sum(self._has_settled(now, name) for name in remaining):
            return None
        return remaining, needed

    def _has_settled(self, now: int, peer: str) -> bool:
        """Whether a peer has been at this list for a lease, bound by no list that this gateway does not know."""
        if peer == self.name:
            return True  # asked only when its own change is a lease ago
        return self._is_at_list(now, peer) and self._all_known().issuperset(self.announcements[peer].older_lists)

    def _is_at_list(self, now: int, peer: str) -> bool:
        """Whether a peer has been at this list for a lease."""
        said = self.announcements.get(peer)
        return said is not None and said.hash == self.hash and said.since + self.longest_lease <= now

    def all_voters(self, now: int, resource: str) -> list[str]:
        """Whoever is in one of the sets, by name."""
        return sorted({voter for voters, _ in self.sets(now, resource) for voter in voters})

    def accepts(self, now: int, request: LeaseRequest) -> bool:
        """Whether the candidate goes by the same list, and through all that still bind this gateway."""
        if request.list_hash != self.hash:
            return False
        if not request.renewal and self.may_be_behind(now):
            return False
        for older in self.older_lists:
            if older.hash not in request.known_lists and self._binding(now, older, request.resource) is not None:
                return False
        return True

    # Which lists are known

    def known_lists(self) -> tuple[int, ...]:
        """Lists gone through lately, as they stand in requests."""
        return self.binding_lists() + self.past_lists

    def binding_lists(self) -> tuple[int, ...]:
        """Older lists that are not over, as they stand in replies."""
        return tuple(older.hash for older in self.older_lists)

    def _all_known(self) -> set[int]:
        return {*self.known_lists(), self.hash}

    def may_be_behind(self, now: int) -> bool:
        """Whether a list that this gateway never saw may be in force elsewhere."""
        if not self.without_memory:
            return False
        known = self._all_known()
        return any(
            said.hash not in known and now < said.at + 2 * self.longest_lease for said in self.announcements.values()
        )

    def _unconfirmed_peers(self) -> list[str]:
        """Peers that have not said that they are at this list, bound by none that is unknown here."""
        known = self._all_known()
        confirmed = {
            peer
            for peer, said in self.announcements.items()
            if said.hash == self.hash and known.issuperset(said.older_lists)
        }
        return sorted(name for name in self.zones if name != self.name and name not in confirmed)

    # Time

    def tick(self, now: int) -> list[str]:
        """To whom to announce oneself now: ``ANNOUNCED_AT_ONCE`` at a time."""
        if not self.hash or now < self._announce_at or not (self.older_lists or self.without_memory):
            return []
        self._retire_older_lists(now)
        peers = [name for name in self._unconfirmed_peers() if name > self._last_peer]
        if not peers:
            self._end_pass(now)
            return []
        self._announce_at = now + self._terms.term // 8
        chosen = peers[:ANNOUNCED_AT_ONCE]
        self._last_peer = chosen[-1]
        return chosen

    def _end_pass(self, now: int) -> None:
        """All peers were asked once; half of the list say the same, and nobody anything else: nothing is missing."""
        self._last_peer = ""
        self._announce_at = now + self._terms.term
        others = len(self.zones) - 1
        if self.without_memory and not self.may_be_behind(now) and 2 * len(self._unconfirmed_peers()) <= others:
            self.without_memory = False

    def _retire_older_lists(self, now: int) -> None:
        """Forget older lists once so few may go by any other than this one that they are no majority anywhere.

        Lists that only others went through are over then as well, so nobody waits for anybody in a cycle.
        """
        late = sum(name != self.name and not self._is_at_list(now, name) for name in self.zones)
        for older in list(self.older_lists):
            is_lease_over = now >= older.since + self.longest_lease
            if is_lease_over and late < majority(min(older.votes, len(older.zones))):
                self._retire(older)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        if self.hash and (self.older_lists or self.without_memory):
            return self._announce_at
        return None
