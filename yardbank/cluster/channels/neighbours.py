"""Who is there, for the trees' purposes, and whom to tell one's own interests now. No I/O; times (ns) come in."""

from __future__ import annotations

from collections.abc import Collection

import xxhash

from yardbank.cluster.channels.api import SECOND
from yardbank.cluster.channels.members import Members
from yardbank.cluster.peers.parts import MembershipView

GRACE = 3 * SECOND  # who is doubted for less stays in the trees
TELL_ALL = 60 * SECOND  # in so long all others are told one's interests again
TRIES, AT_ONCE = 4, 32  # to tell one who does not answer; peers at one beat
TOLD_LATER = 2 * SECOND  # of two that meet, one speaks first, the other only if nothing came


class Neighbours:
    """Peers that are there, as the link finds them."""

    def __init__(self, membership_view: MembershipView) -> None:
        self._membership_view = membership_view
        self._here: frozenset[str] = frozenset()
        self._absent: dict[str, int] = {}  # not alive any more: since when
        self._met: dict[str, tuple[int, int]] = {}  # whose interests are not known: when to tell ours, tries left
        self._turn = 0

    def listed(self, names: Collection[str]) -> None:
        """Who is not in the list any more is forgotten."""
        self._absent = {name: since for name, since in self._absent.items() if name in names}
        self._met = {name: told for name, told in self._met.items() if name in names}

    def look(self, now: int, members: Members) -> frozenset[str]:
        """Who is there: one that is doubted for a moment stays."""
        alive = self._membership_view.alive()
        for name in alive - self._here:
            if name not in self._met and not members.knows_interests(name):
                self._met[name] = now if self._first(name) else now + TOLD_LATER, TRIES
        for name in self._here - alive:
            self._absent.setdefault(name, now)
        self._absent = {name: since for name, since in self._absent.items() if name not in alive}
        self._here = alive | {name for name, since in self._absent.items() if now - since < GRACE}
        return self._here

    def known(self, name: str) -> None:
        """One has told its interests."""
        self._met.pop(name, None)

    def due(self, now: int, beat: int) -> list[str]:
        """Whom to tell at this beat: those met anew, then some of all others by turns."""
        found: list[str] = []
        for name, (at, tries) in list(self._met.items()):
            if now >= at and len(found) < AT_ONCE:
                found.append(name)
                if tries > 1:
                    self._met[name] = now + TOLD_LATER, tries - 1
                else:  # it may know nothing of channels
                    del self._met[name]
        names = sorted(self._here)
        some = max(1, len(names) * beat // TELL_ALL)
        found += names[self._turn : self._turn + some]
        self._turn = self._turn + some if self._turn + some < len(names) else 0
        return found

    def _first(self, other: str) -> bool:
        """Whether this gateway speaks first when the two meet: with about half of the others."""
        one, two = f"{self._membership_view.name}/{other}", f"{other}/{self._membership_view.name}"
        return xxhash.xxh3_64_intdigest(one.encode()) < xxhash.xxh3_64_intdigest(two.encode())
