"""The channels that this gateway owns or would own, and the phase of each. No I/O; times are passed in (ns).

The table owns every ``OwnerState``. Phases change only through ``move``, which keeps the derived sets consistent. The
number of channels is bounded by ``MAX_CHANNELS``, which ``ChannelPart`` checks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from yardbank.cluster.channels.outgoing import KnownChannel
from yardbank.cluster.channels.states import CHANGING, LEASED, OwnershipPhase, OwnerState


class ChannelTable:
    """Phases by channel. ``stopping`` is set while this gateway shuts down; it then takes no more channels."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.channels: dict[str, OwnerState] = {}
        self.stopping = False
        self.moves: Counter[tuple[OwnershipPhase, OwnershipPhase]] = Counter()  # by (old, new), see ``TRANSITIONS``
        self._changing: set[str] = set()
        self._leased: set[str] = set()

    def move(self, now: int, channel: str, owner_state: OwnerState, new_phase: OwnershipPhase) -> None:
        """Change a channel's phase and count the transition."""
        self.moves[owner_state.phase, new_phase] += 1
        owner_state.phase = new_phase
        owner_state.phase_since = now
        _mark(self._changing, channel, new_phase in CHANGING)
        _mark(self._leased, channel, new_phase in LEASED)

    def forget(self, channel: str) -> None:
        """Remove a channel that this gateway no longer wants to own."""
        self.channels.pop(channel, None)
        self._changing.discard(channel)
        self._leased.discard(channel)

    def changing(self) -> list[str]:
        """Channels in a transient phase, sorted by name."""
        return sorted(self._changing)

    def changing_count(self) -> int:
        """Number of channels in a transient phase."""
        return len(self._changing)

    def leased(self) -> list[str]:
        """Channels whose lease this gateway holds, sorted by name."""
        return sorted(self._leased)

    def owned(self) -> list[tuple[str, OwnerState]]:
        """Channels owned here that are not being transferred."""
        return [
            (channel, owner_state)
            for channel, owner_state in self.channels.items()
            if owner_state.phase == OwnershipPhase.OWNER
        ]

    def transferring_count(self) -> int:
        """Number of channels being transferred to successors."""
        return sum(owner_state.phase == OwnershipPhase.TRANSFERRING for owner_state in self.channels.values())

    def loads(self, known: Iterable[KnownChannel]) -> Counter[str]:
        """Number of channels that each gateway owns, as far as this gateway knows."""
        found = Counter(one.owner for one in known if not one.ended)
        found[self.name] = len(self._leased)
        return found


def _mark(channels: set[str], channel: str, member: bool) -> None:
    if member:
        channels.add(channel)
    else:
        channels.discard(channel)
