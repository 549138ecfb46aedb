"""Which peers count as present in the trees, and which to send the own interests now. No I/O; times (ns) come in."""

from __future__ import annotations

from collections.abc import Collection

import xxhash

from yardbank.cluster.channels.api import SECOND
from yardbank.cluster.channels.members import Members
from yardbank.cluster.peers.parts import MembershipView

GRACE = 3 * SECOND  # a peer suspected for less stays in the trees
REFRESH_PERIOD = 60 * SECOND  # in which all peers are sent the interests once more
MAX_ATTEMPTS = 4  # to send interests to a peer that does not answer
MAX_AT_ONCE = 32  # peers at one heartbeat
SECOND_SENDER_DELAY = 2 * SECOND  # of two that meet one sends first, the other only if nothing came


class Neighbours:
    """Peers that are present, as the failure detector finds them."""

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
        """Who is present: one that is suspected for a moment stays."""
        alive = self._membership_view.alive()
        for name in alive - self._here:
            if name not in self._met and not members.knows_interests(name):
                self._met[name] = now if self._first(name) else now + SECOND_SENDER_DELAY, MAX_ATTEMPTS
        for name in self._here - alive:
            self._absent.setdefault(name, now)
        self._absent = {name: since for name, since in self._absent.items() if name not in alive}
        self._here = alive | {name for name, since in self._absent.items() if now - since < GRACE}
        return self._here

    def known(self, name: str) -> None:
        """A peer has sent its interests."""
        self._met.pop(name, None)

    def due(self, now: int, beat: int) -> list[str]:
        """Whom to send interests at this heartbeat: new peers, then some of all others in rotation."""
        found: list[str] = []
        for name, (at, tries) in list(self._met.items()):
            if now >= at and len(found) < MAX_AT_ONCE:
                found.append(name)
                if tries > 1:
                    self._met[name] = now + SECOND_SENDER_DELAY, tries - 1
                else:  # it may know nothing of channels
                    del self._met[name]
        names = sorted(self._here)
        some = max(1, len(names) * beat // REFRESH_PERIOD)
        found += names[self._turn : self._turn + some]
        self._turn = self._turn + some if self._turn + some < len(names) else 0
        return found

    def _first(self, other: str) -> bool:
        """Whether this gateway sends first when the two meet: with about half of the others."""
        one, two = f"{self._membership_view.name}/{other}", f"{other}/{self._membership_view.name}"
        return xxhash.xxh3_64_intdigest(one.encode()) < xxhash.xxh3_64_intdigest(two.encode())
