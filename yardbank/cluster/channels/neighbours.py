"""Which peers count as present in the trees, and which to send this gateway's interests now.

No I/O; times are passed in (ns).
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

from yardbank.cluster.channels.api import SECOND
from yardbank.cluster.channels.members import Members
from yardbank.cluster.peers.parts import MembershipView

SUSPICION_GRACE = 3 * SECOND  # a peer that is suspected for less time stays in the trees
REFRESH_PERIOD = 60 * SECOND  # period in which every peer is sent the interests once more
MAX_ATTEMPTS = 4  # at sending interests to a peer that does not answer
MAX_NEW_PEERS_PER_HEARTBEAT = 32
SECOND_SENDER_DELAY = 2 * SECOND  # of two that meet, one sends first; the other after this delay if nothing arrived


class Neighbours:
    """Present peers, according to the failure detector."""

    def __init__(self, membership_view: MembershipView) -> None:
        self._membership_view = membership_view
        self._present: frozenset[str] = frozenset()
        self._absent: dict[str, int] = {}  # peers that are no longer alive, and since when
        self._unknown_peers: dict[str, tuple[int, int]] = {}  # by peer: when to send to it, attempts left
        self._rotation = 0

    def listed(self, names: Collection[str]) -> None:
        """Forget peers that are no longer listed."""
        self._absent = {name: since for name, since in self._absent.items() if name in names}
        self._unknown_peers = {name: schedule for name, schedule in self._unknown_peers.items() if name in names}

    def update(self, now: int, members: Members) -> frozenset[str]:
        """Update and return the present peers; one that is suspected only briefly stays present."""
        alive = self._membership_view.alive()
        for name in alive - self._present:
            if name not in self._unknown_peers and not members.knows_interests(name):
                self._unknown_peers[name] = now if self._sends_first(name) else now + SECOND_SENDER_DELAY, MAX_ATTEMPTS
        for name in self._present - alive:
            self._absent.setdefault(name, now)
        self._absent = {name: since for name, since in self._absent.items() if name not in alive}
        self._present = alive | {name for name, since in self._absent.items() if now - since < SUSPICION_GRACE}
        return self._present

    def interests_received(self, name: str) -> None:
        """A peer has sent its interests."""
        self._unknown_peers.pop(name, None)

    def due(self, now: int, heartbeat: int) -> list[str]:
        """Peers to send interests at this heartbeat: new ones, then some of all others in rotation."""
        found: list[str] = []
        for name, (at, attempts_left) in list(self._unknown_peers.items()):
            if now >= at and len(found) < MAX_NEW_PEERS_PER_HEARTBEAT:
                found.append(name)
                if attempts_left > 1:
                    self._unknown_peers[name] = now + SECOND_SENDER_DELAY, attempts_left - 1
                else:  # the peer may not support channels
                    del self._unknown_peers[name]
        names = sorted(self._present)
        count = max(1, len(names) * heartbeat // REFRESH_PERIOD)
        found += names[self._rotation : self._rotation + count]
        self._rotation = self._rotation + count if self._rotation + count < len(names) else 0
        return found

    def _sends_first(self, other: str) -> bool:
        """Whether this gateway sends first when two meet; true for about half of the peers."""
        one, two = f"{self._membership_view.name}/{other}", f"{other}/{self._membership_view.name}"
        return xxhash.xxh3_64_intdigest(one.encode()) < xxhash.xxh3_64_intdigest(two.encode())
