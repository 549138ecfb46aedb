"""Which gateways would own which channels, and which follow them. No I/O.

Each gateway sends the others a hash of its own interests, and on request the channels that the hash stands for. Most
gateways have the same interests, so one small message per pair is enough. No gateway reports the interests of another.
At most ``MAX_PARTIAL_SETS`` incomplete sets are kept.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from yardbank.cluster.channels.messages import InterestDigest, InterestQuery, InterestSet, name_batches

MAX_PARTIAL_SETS = 16  # sets of which only some parts have arrived


@dataclass(slots=True)
class _PeerDigest:
    boot_epoch: int
    version: int
    interests_hash: int


@dataclass(slots=True, frozen=True)
class _Interests:
    owns: frozenset[str] = frozenset()
    follows: frozenset[str] = frozenset()


_NO_GATEWAYS: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()


def _hash(owns: Iterable[str], follows: Iterable[str]) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode([sorted(owns), sorted(follows)])) | 1


class Members:
    """Interests of all listed gateways, as each reported them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.version, self.hash = 1, _hash((), ())
        self.revision = 0  # rises whenever a result of this class may have changed
        self._own = _Interests()
        self._peers: dict[str, _PeerDigest] = {}
        self._interests_by_hash: dict[int, _Interests] = {self.hash: self._own}
        self._partial: dict[int, dict[int, InterestSet]] = {}
        self._present: frozenset[str] = frozenset()
        self._index_cache: tuple[int, dict[str, tuple[frozenset[str], frozenset[str]]]] = -1, {}

    def listed(self, names: Collection[str]) -> None:
        """Forget gateways that are no longer listed."""
        for name in self._peers.keys() - set(names):
            del self._peers[name]
        self.revision += 1

    def set_own_interests(self, owns: Iterable[str], follows: Iterable[str]) -> bool:
        """Set the interests of this gateway; returns whether they changed."""
        found = _Interests(frozenset(owns), frozenset(follows))
        if found == self._own:
            return False
        self._own, self.hash = found, _hash(found.owns, found.follows)
        self.version += 1
        self.revision += 1
        self._interests_by_hash[self.hash] = found
        self._drop_unreferenced()
        return True

    def digest_for(self, to: str) -> InterestDigest:
        """The digest to send to another gateway."""
        peer = self._peers.get(to)
        return InterestDigest(self.version, self.hash, peer.interests_hash if peer is not None else 0)

    def on_interest_digest(
        self, sender: str, boot_epoch: int, digest: InterestDigest
    ) -> list[InterestDigest | InterestQuery]:
        """Handle a gateway's digest; returns the replies."""
        peer = self._peers.get(sender)
        if peer is None or (boot_epoch, digest.version) > (peer.boot_epoch, peer.version):
            if peer is None or peer.interests_hash != digest.interests_hash:
                self.revision += 1
            self._peers[sender] = _PeerDigest(boot_epoch, digest.version, digest.interests_hash)
        elif (boot_epoch, digest.version) < (peer.boot_epoch, peer.version):
            return []
        found: list[InterestDigest | InterestQuery] = []
        if digest.interests_hash not in self._interests_by_hash:
            found.append(InterestQuery(digest.interests_hash))
        if digest.receiver_hash != self.hash:
            found.append(self.digest_for(sender))
        return found

    def on_interest_query(self, query: InterestQuery) -> list[InterestSet]:
        """Handle a query for the channels that a hash stands for; returns the replies."""
        found = self._interests_by_hash.get(query.interests_hash)
        if found is None:
            return []
        owns, follows = name_batches(sorted(found.owns)), name_batches(sorted(found.follows))
        none: list[str] = []
        parts = [(some, none) for some in owns] + [(none, some) for some in follows] or [(none, none)]
        return [
            InterestSet(query.interests_hash, number, len(parts), tuple(own), tuple(follow))
            for number, (own, follow) in enumerate(parts)
        ]

    def on_interest_set(self, part: InterestSet) -> None:
        """Handle a part of a reply; the set is accepted once all parts are there and match the hash."""
        if part.interests_hash in self._interests_by_hash or part.part >= part.parts:
            return
        parts = self._partial.setdefault(part.interests_hash, {})
        parts[part.part] = part
        if len(parts) == part.parts:
            del self._partial[part.interests_hash]
            owns = frozenset(name for one in parts.values() for name in one.owns)
            follows = frozenset(name for one in parts.values() for name in one.follows)
            if _hash(owns, follows) == part.interests_hash:
                self._interests_by_hash[part.interests_hash] = _Interests(owns, follows)
                self._drop_unreferenced()
                self.revision += 1
        elif len(self._partial) > MAX_PARTIAL_SETS:
            del self._partial[next(iter(self._partial))]

    def _drop_unreferenced(self) -> None:
        """Keep only sets that some gateway's digest refers to."""
        used = {self.hash, *(one.interests_hash for one in self._peers.values())}
        self._interests_by_hash = {key: value for key, value in self._interests_by_hash.items() if key in used}

    def unresolved_hash(self, name: str) -> int:
        """The hash that a gateway sent and whose channels are not known yet; 0: none."""
        peer = self._peers.get(name)
        return peer.interests_hash if peer is not None and peer.interests_hash not in self._interests_by_hash else 0

    def knows_interests(self, name: str) -> bool:
        """Whether the interests of a gateway are known."""
        peer = self._peers.get(name)
        return peer is not None and peer.interests_hash in self._interests_by_hash

    def set_present(self, names: Iterable[str]) -> None:
        """Set the gateways that are present, other than this one."""
        found = frozenset(names)
        if found != self._present:
            self._present = found
            self.revision += 1

    def unknown_gateways(self, names: Iterable[str]) -> frozenset[str]:
        """Gateways whose interests are not known yet: they may be candidates too."""
        return frozenset(name for name in names if name != self.name and not self.knows_interests(name))

    def candidates(self, channel: str) -> frozenset[str]:
        """Present gateways that would own a channel, possibly including this one."""
        return self._index().get(channel, _NO_GATEWAYS)[0]

    def followers(self, channel: str) -> frozenset[str]:
        """Present gateways that receive a channel's items: its followers and its candidates."""
        return self._index().get(channel, _NO_GATEWAYS)[1]

    def channels(self) -> list[str]:
        """All channels that some gateway would own."""
        return [channel for channel, (candidates, _) in self._index().items() if candidates]

    def _index(self) -> dict[str, tuple[frozenset[str], frozenset[str]]]:
        """Candidates and followers by channel. Channels of the same gateways share the same sets."""
        if self._index_cache[0] == self.revision:
            return self._index_cache[1]
        names_by_hash: dict[int, list[str]] = {self.hash: [self.name]}
        for name, peer in self._peers.items():
            if name in self._present and peer.interests_hash in self._interests_by_hash:
                names_by_hash.setdefault(peer.interests_hash, []).append(name)
        candidate_hashes: dict[str, list[int]] = {}
        follower_hashes: dict[str, list[int]] = {}
        for key in names_by_hash:
            channels = self._interests_by_hash[key]
            for channel in channels.owns:
                candidate_hashes.setdefault(channel, []).append(key)
            for channel in channels.owns | channels.follows:
                follower_hashes.setdefault(channel, []).append(key)
        shared: dict[tuple[int, ...], frozenset[str]] = {}

        def names(keys: list[int]) -> frozenset[str]:
            known = tuple(keys)
            if known not in shared:
                shared[known] = frozenset(name for key in known for name in names_by_hash[key])
            return shared[known]

        found = {
            channel: (names(candidate_hashes.get(channel, [])), names(keys))
            for channel, keys in follower_hashes.items()
        }
        self._index_cache = self.revision, found
        return found
