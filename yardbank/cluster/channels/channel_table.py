"""The channels that this gateway would own, and the phase of each. No I/O; times (ns) come in.

Owns all ``OwnerState``; phases change through ``move`` alone, so the sets kept beside them always agree. Its bound is
``MAX_CHANNELS``, which ``ChannelPart`` checks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from yardbank.cluster.channels.outgoing import Known
from yardbank.cluster.channels.states import CHANGING, LEASED, OwnershipPhase, OwnerState


class ChannelTable:
    """Phases by channel. ``stopping``: this gateway is about to end and takes no channel any more."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.channels: dict[str, OwnerState] = {}
        self.stopping = False
        self.moves: Counter[tuple[OwnershipPhase, OwnershipPhase]] = Counter()  # of ``states.TABLE``
        self._changing: set[str] = set()
        self._leased: set[str] = set()

    def move(self, now: int, channel: str, own: OwnerState, phase: OwnershipPhase) -> None:
        """Enter a phase, and count the change."""
        self.moves[own.state, phase] += 1
        own.state = phase
        own.at = now
        _mark(self._changing, channel, phase in CHANGING)
        _mark(self._leased, channel, phase in LEASED)

    def forget(self, channel: str) -> None:
        """It is of no interest any more."""
        self.channels.pop(channel, None)
        self._changing.discard(channel)
        self._leased.discard(channel)

    def changing(self) -> list[str]:
        """Channels of which something is to happen soon, by name."""
        return sorted(self._changing)

    def changing_count(self) -> int:
        """How many these are."""
        return len(self._changing)

    def leased(self) -> list[str]:
        """Channels that are owned here, or about to be, by name."""
        return sorted(self._leased)

    def owned(self) -> list[tuple[str, OwnerState]]:
        """Channels owned here that are not being transferred."""
        return [(channel, own) for channel, own in self.channels.items() if own.state == OwnershipPhase.OWNER]

    def transferring_count(self) -> int:
        """How many channels are being transferred to successors."""
        return sum(own.state == OwnershipPhase.TRANSFERRING for own in self.channels.values())

    def loads(self, known: Iterable[Known]) -> Counter[str]:
        """How many channels each gateway owns, as far as is known here."""
        found = Counter(one.owner for one in known if not one.over)
        found[self.name] = len(self._leased)
        return found


def _mark(channels: set[str], channel: str, member: bool) -> None:
    if member:
        channels.add(channel)
    else:
        channels.discard(channel)
