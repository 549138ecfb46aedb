"""Which voters must agree while the list of gateways changes. No I/O: time (ns) is an argument.

Gateways take a new list at different times. A voter grants only requests made under its own list. A candidate that has
taken a new list needs a majority of the old list's voters as well. That ends once so many of them have announced that
they left the old list that the rest are no majority of it, and one lease has passed since each announcement: by then
all that they granted under the old list has expired. Gateways that the new list no longer names cannot be asked; one
lease after the change they are taken to have stopped.

Safety therefore does not depend on how long the gateways' lists differ, only on each gateway remembering the lists that
it went through. A gateway that started without that memory neither grants nor requests new leases while it hears of a
list that it does not know.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.messages import MAX_LISTS, LeaseRequest
from yardbank.cluster.lease.quorum import majority, voters_of
from yardbank.cluster.lease.timing import max_lease_duration

ANNOUNCEMENTS_PER_TICK = 1
MAX_CACHED = 4096  # resources whose voters are cached

VoterSet = tuple[tuple[str, ...], int]  # voters, and how many of them must agree
StoredList = tuple[int, dict[str, str], int]  # hash, zones by name, how many vote on each resource


class OlderList(NamedTuple):
    """A list that was in force here. ``since``: when it was replaced; ``votes``: number of voters per resource."""

    hash: int
    zones: Mapping[str, str]
    votes: int
    since: int


class Announcement(NamedTuple):
    """The lists that a peer announced last.

    ``since``: when it first announced its present list; ``at``: when its last announcement came.
    """

    hash: int
    older_lists: tuple[int, ...]
    since: int
    at: int


class Electorate:
    """The lists of one gateway, and what its peers announced of theirs. Times are ns of this gateway's clock.

    Owns the list in force, at most ``MAX_LISTS // 2`` older lists whose voters must still agree, as many past lists
    whose voters need not, one announcement of each peer, and a cache of voters (``MAX_CACHED``).
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
        # ns; longer if the terms before this start allowed longer leases
        self.longest_lease = max_lease_duration(terms)
        self.hash = 0
        self.zones: dict[str, str] = {}
        self.older_lists: list[OlderList] = []  # still binding, newest first
        self.past_lists: tuple[int, ...] = ()  # hashes of lists that no longer bind
        self.announcements: dict[str, Announcement] = {}
        self.without_memory = True  # the lists from before this start are unknown
        self.forgotten = 0  # older lists dropped because there were too many
        self._announce_at = 0
        self._last_peer = ""
        self._cache: dict[tuple[int, str], tuple[str, ...]] = {}

    def restore(self, now: int, lists: Iterable[StoredList], longest_lease: int) -> None:
        """Restore the lists stored before this start, newest first, and the longest lease known then (ns)."""
        self.longest_lease = max(self.longest_lease, longest_lease)
        for list_hash, zones, votes in lists:
            self.without_memory = False
            self.older_lists.append(OlderList(list_hash, dict(zones), votes, now))

    def stored_lists(self) -> list[StoredList]:
        """The lists to store for the next start, newest first."""
        found = [(self.hash, dict(self.zones), self._terms.voters)]
        found += [(older.hash, dict(older.zones), older.votes) for older in self.older_lists]
        return found

    def update_list(self, now: int, list_hash: int, zones: Mapping[str, str]) -> bool:
        """Take the present list; returns whether it has changed. ``list_hash`` covers the list and the lease terms."""
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
        self.announcements = {peer: announcement for peer, announcement in self.announcements.items() if peer in zones}
        self._announce_at = now
        self._last_peer = ""
        return True

    def _retire(self, older: OlderList) -> None:
        self.older_lists.remove(older)
        self.past_lists = (older.hash, *self.past_lists)[: MAX_LISTS // 2]

    def record_announcement(self, now: int, peer: str, list_hash: int, older_lists: tuple[int, ...]) -> None:
        """Record the list that a peer is at, and the older lists that still bind it."""
        if peer == self.name or peer not in self.zones:
            return
        last = self.announcements.get(peer)
        since = now
        if last is not None and last.hash == list_hash:
            since = last.since
        self.announcements[peer] = Announcement(list_hash, older_lists, since, now)

    # Voters

    def voters(self, resource: str) -> tuple[str, ...]:
        """The voters of a resource under the list in force."""
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

    def voter_sets(self, now: int, resource: str) -> list[VoterSet]:
        """All sets of voters that must agree, each with the number of votes needed."""
        voters = self.voters(resource)
        found: list[VoterSet] = [(voters, majority(len(voters)))]
        for older in self.older_lists:
            if bound := self._binding(now, older, resource):
                found.append(bound)
        return found

    def _binding(self, now: int, older: OlderList, resource: str) -> VoterSet | None:
        """The voters of an older list that must still agree, and how many of them; None: it no longer binds."""
        voters = self._voters(resource, older.hash, older.zones, older.votes)
        if set(voters) == set(self.voters(resource)):
            return None  # same voters: any two majorities of them share a voter
        quorum = majority(len(voters))
        if now < older.since + self.longest_lease:
            return voters, quorum
        remaining = tuple(name for name in voters if name in self.zones)
        needed = len(remaining) - quorum + 1  # the voters left over are then no majority
        if needed <= sum(self._has_settled(now, name) for name in remaining):
            return None
        return remaining, needed

    def _has_settled(self, now: int, peer: str) -> bool:
        """Whether a peer has been at this list for one lease and is bound by no list unknown to this gateway."""
        if peer == self.name:
            return True  # the caller checked that this gateway changed its list at least one lease ago
        return self._is_at_list(now, peer) and self._all_known().issuperset(self.announcements[peer].older_lists)

    def _is_at_list(self, now: int, peer: str) -> bool:
        """Whether a peer has been at this list for one lease."""
        announcement = self.announcements.get(peer)
        return (
            announcement is not None
            and announcement.hash == self.hash
            and announcement.since + self.longest_lease <= now
        )

    def all_voters(self, now: int, resource: str) -> list[str]:
        """The voters of all sets, sorted by name."""
        return sorted({voter for voters, _ in self.voter_sets(now, resource) for voter in voters})

    def accepts(self, now: int, request: LeaseRequest) -> bool:
        """Whether the candidate is at the same list and knows all older lists that still bind this gateway."""
        if request.list_hash != self.hash:
            return False
        if not request.renewal and self.may_be_behind(now):
            return False
        for older in self.older_lists:
            if older.hash not in request.known_lists and self._binding(now, older, request.resource) is not None:
                return False
        return True

    # Known lists

    def known_lists(self) -> tuple[int, ...]:
        """Hashes of the lists that this gateway went through lately; sent in requests."""
        return self.binding_lists() + self.past_lists

    def binding_lists(self) -> tuple[int, ...]:
        """Hashes of the older lists that still bind this gateway; sent in replies and announcements."""
        return tuple(older.hash for older in self.older_lists)

    def _all_known(self) -> set[int]:
        return {*self.known_lists(), self.hash}

    def may_be_behind(self, now: int) -> bool:
        """Whether a list unknown to this gateway may be in force at other gateways."""
        if not self.without_memory:
            return False
        known = self._all_known()
        return any(
            announcement.hash not in known and now < announcement.at + 2 * self.longest_lease
            for announcement in self.announcements.values()
        )

    def _unconfirmed_peers(self) -> list[str]:
        """Peers that have not announced this list, or are bound by a list unknown to this gateway."""
        known = self._all_known()
        confirmed = {
            peer
            for peer, announcement in self.announcements.items()
            if announcement.hash == self.hash and known.issuperset(announcement.older_lists)
        }
        return sorted(name for name in self.zones if name != self.name and name not in confirmed)

    # Time

    def tick(self, now: int) -> list[str]:
        """The peers to send an announcement to now, at most ``ANNOUNCEMENTS_PER_TICK``."""
        if not self.hash or now < self._announce_at or not (self.older_lists or self.without_memory):
            return []
        self._retire_older_lists(now)
        peers = [name for name in self._unconfirmed_peers() if name > self._last_peer]
        if not peers:
            self._end_pass(now)
            return []
        self._announce_at = now + self._terms.term // 8
        chosen = peers[:ANNOUNCEMENTS_PER_TICK]
        self._last_peer = chosen[-1]
        return chosen

    def _end_pass(self, now: int) -> None:
        """End a pass over all peers.

        If at least half of the others are at this list and no peer announced an unknown one, no list is missing here.
        """
        self._last_peer = ""
        self._announce_at = now + self._terms.term
        others = len(self.zones) - 1
        if self.without_memory and not self.may_be_behind(now) and 2 * len(self._unconfirmed_peers()) <= others:
            self.without_memory = False

    def _retire_older_lists(self, now: int) -> None:
        """Drop older lists once too few gateways may be at any other list to be a majority anywhere.

        Lists that only other gateways went through have ended by then as well, so gateways never wait for each other in
        a cycle.
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
