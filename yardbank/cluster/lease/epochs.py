"""Numbers of ownerships: none comes twice, a later one is higher. No I/O.

One number is known for all resources together: the highest that this gateway has granted, asked for or been told of.
It starts no lower than the life number with ``SHIFT`` bits behind it: lives are at least wall-clock seconds, so after
all memory is lost epochs go on above the old ones unless more than 2**SHIFT ownerships a second were begun or the clock
was set back. What is kept on disk runs ahead by ``STEP``, so that few ownerships cost a write.
"""

from __future__ import annotations

from yardbank.cluster.lease.messages import MAX_EPOCH

SHIFT = 10
STEP = 64
FAR = 1 << 44  # so far ahead of one's own start an epoch is believed: clocks may be decades apart
MS_SHIFT = 20  # nanoseconds to about milliseconds


class Epochs:
    """What one gateway knows."""

    __slots__ = ("_base", "_begun", "floor", "kept", "refused", "top")

    def __init__(self) -> None:
        self.top = self.floor = self.kept = self._base = self._begun = 0
        self.refused = 0  # epochs too far ahead

    def begin(self, now: int, boot_epoch: int, kept: int) -> None:
        """The first thing after a start; ``kept``: what the store says, 0 where it says nothing."""
        self._begun, self._base = now, max(kept, min(boot_epoch << SHIFT, MAX_EPOCH - 2 * FAR))
        self.top = self.floor = self.kept = self._base

    def hear(self, now: int, epoch: int) -> bool:
        """One that was said by anybody; whether it is believed. A liar can move epochs by ``FAR``, not to their end."""
        if epoch > min(MAX_EPOCH - 1, self._base + FAR + max(0, now - self._begun >> MS_SHIFT)):
            self.refused += 1
            return False
        self.top = max(self.top, epoch)
        return True

    def above(self) -> int:
        """A new one, above all that are known here."""
        self.top += 1
        return self.top

    def raise_floor(self) -> None:
        """From now on nothing new is granted here under what is known now, whatever the resource."""
        self.floor = self.top

    def to_keep(self) -> int | None:
        """What the store must say before anything more is said; None: it says enough."""
        if self.top <= self.kept:
            return None
        self.kept = self.top + STEP
        return self.kept
