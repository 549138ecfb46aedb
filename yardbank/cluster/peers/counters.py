"""Counters that gateways gossip, totalled over the gateways heard from recently. No I/O: time (ns) is an argument.

Owns this gateway's counters and the last known ones of its peers.

Invariants: a counter belongs to the one gateway that sends it, and only its newest value counts: a higher boot epoch
replaces all values of the one before, and within one boot epoch the higher version wins. So a restart, a duplicate or a
late datagram cannot count anything twice, and no gateway can send another's counters.

Bound: ``MAX_KEYS`` counters of each gateway.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from yardbank.cluster.peers.datagram import MAX_NAME, CounterValue

MAX_KEYS = 512  # counters of one gateway; more are neither sent nor stored
MAX_CONTRIBUTION_AGE = 15_000_000_000  # ns; totals leave out gateways whose last datagram is older


@dataclass(slots=True, frozen=True)
class _VersionedValue:
    version: int
    value: int


_ABSENT = _VersionedValue(0, 0)


@dataclass(slots=True)
class _PeerCounters:
    boot_epoch: int
    heard_at: int
    values: dict[str, _VersionedValue] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CounterTotal:
    """One counter over the fleet.

    ``contributors``: gateways included, this one too; ``missing``: listed gateways that are not included; ``oldest``:
    age of the oldest contribution, ns.
    """

    value: int
    contributors: int
    missing: int
    oldest: int


class CounterRegistry:
    """This gateway's counters, and those received from the others.

    ``dropped`` counts values rejected because of a bound.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self._own: dict[str, _VersionedValue] = {}
        self._of_peers: dict[str, _PeerCounters] = {}
        self._not_sent_yet: list[str] = []  # keys not yet sent in the current round over all counters
        self._version = 0
        self._peers: set[str] = set()

    def set_peers(self, names: set[str]) -> None:
        """Set the listed gateways except this one; counters of all others are dropped."""
        self._peers = set(names)
        self._of_peers = {name: counters for name, counters in self._of_peers.items() if name in names}

    def update(self, values: Mapping[str, int]) -> None:
        """Set this gateway's counters. One that is missing from ``values`` is sent as 0 from now on."""
        for key in [*self._own, *values]:
            self._update_one(key, values.get(key, 0))

    def _update_one(self, key: str, value: int) -> None:
        known = self._own.get(key)
        if known is None and (len(self._own) >= MAX_KEYS or len(key.encode()) > MAX_NAME):
            self.dropped += 1
            return
        if known is not None and known.value == value:
            return
        self._version += 1
        self._own[key] = _VersionedValue(self._version, value)

    def next_to_send(self, limit: int) -> list[CounterValue]:
        """The counters to send next: up to half are those changed last, the rest are all counters in turn."""
        by_change = sorted(self._own, key=lambda key: -self._own[key].version)
        keys = by_change[: limit // 2]
        while len(keys) < min(limit, len(self._own)):
            if not self._not_sent_yet:
                self._not_sent_yet = sorted(self._own)
            key = self._not_sent_yet.pop()
            if key in self._own and key not in keys:
                keys.append(key)
        return [CounterValue(key, self._own[key].version, self._own[key].value) for key in keys]

    def receive(self, now: int, sender: str, boot_epoch: int, values: Iterable[CounterValue]) -> None:
        """Store a peer's own counters; those of an earlier start than the last known one are ignored."""
        if sender not in self._peers:
            return
        known = self._of_peers.get(sender)
        if known is not None and boot_epoch < known.boot_epoch:
            return
        if known is None or boot_epoch > known.boot_epoch:
            known = self._of_peers[sender] = _PeerCounters(boot_epoch, now)
        known.heard_at = now
        for counter in values:
            self._receive_one(known.values, counter)

    def _receive_one(self, values: dict[str, _VersionedValue], counter: CounterValue) -> None:
        known = values.get(counter.key)
        if known is None and len(values) >= MAX_KEYS:
            self.dropped += 1
            return
        if known is None or counter.version > known.version:
            values[counter.key] = _VersionedValue(counter.version, counter.value)

    def total(self, now: int, key: str) -> CounterTotal:
        """One counter summed over this gateway and the peers heard from recently."""
        fresh = [counters for counters in self._of_peers.values() if now - counters.heard_at <= MAX_CONTRIBUTION_AGE]
        value = self._own.get(key, _ABSENT).value
        value += sum(counters.values.get(key, _ABSENT).value for counters in fresh)
        oldest = max((now - counters.heard_at for counters in fresh), default=0)
        return CounterTotal(value, 1 + len(fresh), len(self._peers) - len(fresh), oldest)

    def keys(self) -> list[str]:
        """The names of all known counters, sorted."""
        return sorted(set(self._own).union(*(counters.values for counters in self._of_peers.values())))
