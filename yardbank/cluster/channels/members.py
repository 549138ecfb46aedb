"""Which gateways would own which channels, and which follow them. No I/O.

Each sends the others a hash of its interests itself, and on request what the hash stands for. Most have the same, so
that one small message a pair is enough. Nobody speaks for another. Bound: ``MOST_PARTIAL`` incomplete sets.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from yardbank.cluster.channels.messages import InterestDigest, InterestQuery, InterestSet, name_batches

MOST_PARTIAL = 16  # sets of which some parts have come


@dataclass(slots=True)
class _Interest:
    boot_epoch: int
    version: int
    sets: int


@dataclass(slots=True, frozen=True)
class _Channels:
    owns: frozenset[str] = frozenset()
    follows: frozenset[str] = frozenset()


_NOBODY: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()


def _hash(owns: Iterable[str], follows: Iterable[str]) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode([sorted(owns), sorted(follows)])) | 1


class Members:
    """Interests of all gateways of the list, as each sent them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.version, self.hash = 1, _hash((), ())
        self.changes = 0  # rises whenever an answer of this may have changed
        self._own = _Channels()
        self._others: dict[str, _Interest] = {}
        self._sets: dict[int, _Channels] = {self.hash: self._own}
        self._partial: dict[int, dict[int, InterestSet]] = {}
        self._present: frozenset[str] = frozenset()
        self._wide: tuple[int, dict[str, tuple[frozenset[str], frozenset[str]]]] = -1, {}

    def listed(self, names: Collection[str]) -> None:
        """Who is not in the list any more is forgotten."""
        for name in self._others.keys() - set(names):
            del self._others[name]
        self.changes += 1

    def change(self, owns: Iterable[str], follows: Iterable[str]) -> bool:
        """The interests of this gateway; whether they changed."""
        found = _Channels(frozenset(owns), frozenset(follows))
        if found == self._own:
            return False
        self._own, self.hash = found, _hash(found.owns, found.follows)
        self.version += 1
        self.changes += 1
        self._sets[self.hash] = found
        self._tidy()
        return True

    def digest_for(self, to: str) -> InterestDigest:
        """The digest to send to another gateway."""
        other = self._others.get(to)
        return InterestDigest(self.version, self.hash, other.sets if other is not None else 0)

    def on_interest_digest(
        self, sender: str, boot_epoch: int, told: InterestDigest
    ) -> list[InterestDigest | InterestQuery]:
        """A gateway sent its hash: the answers to it."""
        other = self._others.get(sender)
        if other is None or (boot_epoch, told.version) > (other.boot_epoch, other.version):
            if other is None or other.sets != told.sets:
                self.changes += 1
            self._others[sender] = _Interest(boot_epoch, told.version, told.sets)
        elif (boot_epoch, told.version) < (other.boot_epoch, other.version):
            return []
        found: list[InterestDigest | InterestQuery] = []
        if told.sets not in self._sets:
            found.append(InterestQuery(told.sets))
        if told.yours != self.hash:
            found.append(self.digest_for(sender))
        return found

    def on_interest_query(self, wanted: InterestQuery) -> list[InterestSet]:
        """A gateway asks what a hash stands for: the answers."""
        found = self._sets.get(wanted.sets)
        if found is None:
            return []
        owns, follows = name_batches(sorted(found.owns)), name_batches(sorted(found.follows))
        none: list[str] = []
        parts = [(some, none) for some in owns] + [(none, some) for some in follows] or [(none, none)]
        return [
            InterestSet(wanted.sets, number, len(parts), tuple(own), tuple(follow))
            for number, (own, follow) in enumerate(parts)
        ]

    def on_interest_set(self, part: InterestSet) -> None:
        """A part of an answer; it counts once all parts are there and fit the hash."""
        if part.sets in self._sets or part.part >= part.parts:
            return
        parts = self._partial.setdefault(part.sets, {})
        parts[part.part] = part
        if len(parts) == part.parts:
            del self._partial[part.sets]
            owns = frozenset(name for one in parts.values() for name in one.owns)
            follows = frozenset(name for one in parts.values() for name in one.follows)
            if _hash(owns, follows) == part.sets:
                self._sets[part.sets] = _Channels(owns, follows)
                self._tidy()
                self.changes += 1
        elif len(self._partial) > MOST_PARTIAL:
            del self._partial[next(iter(self._partial))]

    def _tidy(self) -> None:
        """Keep only what somebody refers to."""
        used = {self.hash, *(one.sets for one in self._others.values())}
        self._sets = {key: value for key, value in self._sets.items() if key in used}

    def unknown(self, name: str) -> int:
        """The hash that a gateway sent and that is not resolved yet; 0: none."""
        other = self._others.get(name)
        return other.sets if other is not None and other.sets not in self._sets else 0

    def knows_interests(self, name: str) -> bool:
        """Whether it is known what one is interested in."""
        other = self._others.get(name)
        return other is not None and other.sets in self._sets

    def here(self, names: Iterable[str]) -> None:
        """Who is there now, this gateway apart."""
        found = frozenset(names)
        if found != self._present:
            self._present = found
            self.changes += 1

    def strangers(self, names: Iterable[str]) -> frozenset[str]:
        """Those of whom nothing is known yet: they may be candidates too."""
        return frozenset(name for name in names if name != self.name and not self.knows_interests(name))

    def candidates(self, channel: str) -> frozenset[str]:
        """Who of those that are there would carry it, this gateway perhaps among them."""
        return self._index().get(channel, _NOBODY)[0]

    def followers(self, channel: str) -> frozenset[str]:
        """Who of them takes its items: those that follow it, and those that would carry it."""
        return self._index().get(channel, _NOBODY)[1]

    def channels(self) -> list[str]:
        """All that somebody would carry."""
        return [channel for channel, (candidates, _) in self._index().items() if candidates]

    def _index(self) -> dict[str, tuple[frozenset[str], frozenset[str]]]:
        """By channel: who would carry it, who takes it. Channels of the same gateways share the same sets."""
        if self._wide[0] == self.changes:
            return self._wide[1]
        alike: dict[int, list[str]] = {self.hash: [self.name]}
        for name, other in self._others.items():
            if name in self._present and other.sets in self._sets:
                alike.setdefault(other.sets, []).append(name)
        carriers: dict[str, list[int]] = {}
        takers: dict[str, list[int]] = {}
        for key in alike:
            channels = self._sets[key]
            for channel in channels.owns:
                carriers.setdefault(channel, []).append(key)
            for channel in channels.owns | channels.follows:
                takers.setdefault(channel, []).append(key)
        shared: dict[tuple[int, ...], frozenset[str]] = {}

        def names(keys: list[int]) -> frozenset[str]:
            known = tuple(keys)
            if known not in shared:
                shared[known] = frozenset(name for key in known for name in alike[key])
            return shared[known]

        found = {channel: (names(carriers.get(channel, [])), names(keys)) for channel, keys in takers.items()}
        self._wide = self.changes, found
        return found
