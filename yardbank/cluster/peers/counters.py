"""Counts that gateways tell each other, summed over those heard lately. No I/O: time (ns) is passed in.

Every figure belongs to the one gateway that tells it, and only the newest telling of it counts: a newer life
replaces an older one whole, and within one the version decides. So a restart, a duplicate or a datagram that comes late
cannot count anything twice, and nobody tells another's figures.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from yardbank.cluster.peers.datagram import MAX_NAME, CounterValue

MAX_KEYS = 512  # of one gateway; more are not told, and not taken
FRESH = 15_000_000_000  # so old (ns), a gateway's figures no longer count


@dataclass(slots=True)
class _Told:
    boot_epoch: int
    heard_at: int
    values: dict[str, tuple[int, int]] = field(default_factory=dict)  # by key: version, value


@dataclass(slots=True, frozen=True)
class Sum:
    """One figure over the fleet."""

    value: int
    parts: int  # gateways in it, this one too
    missing: int  # gateways of the list that are not
    oldest: int  # age of the oldest part, ns


class Register:
    """One gateway's own figures, and what it has heard of the others'."""

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, int]] = {}
        self._told: dict[str, _Told] = {}
        self._turn: list[str] = []
        self._version = 0
        self._peers: set[str] = set()
        self.not_kept = 0

    def listed(self, names: set[str]) -> None:
        """The peers; what others told is forgotten."""
        self._peers = set(names)
        self._told = {name: told for name, told in self._told.items() if name in names}

    def set(self, figures: Mapping[str, int]) -> None:
        """This gateway's figures as they are now. One that is no longer there is told as 0 from now on."""
        for key in [*self._own, *figures]:
            value = figures.get(key, 0)
            known = self._own.get(key)
            if known is None and (len(self._own) >= MAX_KEYS or len(key.encode()) > MAX_NAME):
                self.not_kept += 1
            elif known is None or known[1] != value:
                self._version += 1
                self._own[key] = self._version, value

    def some(self, most: int) -> list[CounterValue]:
        """What to tell next: what changed last first, then all by turns."""
        newest = sorted(self._own, key=lambda key: -self._own[key][0])[: most // 2]
        names = list(newest)
        while len(names) < min(most, len(self._own)):
            if not self._turn:
                self._turn = sorted(self._own)
            key = self._turn.pop()
            if key in self._own and key not in names:
                names.append(key)
            elif not self._turn and len(names) >= len(self._own):
                break
        return [CounterValue(key, *self._own[key]) for key in names]

    def heard(self, now: int, sender: str, boot_epoch: int, counts: Iterable[CounterValue]) -> None:
        """A peer's own figures."""
        told = self._told.get(sender)
        if sender not in self._peers or (told is not None and boot_epoch < told.boot_epoch):
            return
        if told is None or boot_epoch > told.boot_epoch:
            told = self._told[sender] = _Told(boot_epoch, now)
        told.heard_at = now
        for one in counts:
            known = told.values.get(one.key)
            if known is None and len(told.values) >= MAX_KEYS:
                self.not_kept += 1
            elif known is None or one.version > known[0]:
                told.values[one.key] = one.version, one.value

    def total(self, now: int, key: str) -> Sum:
        """One figure summed over this gateway and those heard lately."""
        parts = [told for told in self._told.values() if now - told.heard_at <= FRESH]
        value = self._own.get(key, (0, 0))[1] + sum(told.values.get(key, (0, 0))[1] for told in parts)
        oldest = max((now - told.heard_at for told in parts), default=0)
        return Sum(value, 1 + len(parts), len(self._peers) - len(parts), oldest)

    def keys(self) -> list[str]:
        """Every figure's name that is known here."""
        return sorted(set(self._own).union(*(told.values for told in self._told.values())))
