"""Numbers of ownerships: none comes twice, a later one is higher. No I/O.

Owns one number for all resources together: the highest epoch that this gateway has granted, requested or heard of. It
starts no lower than the boot epoch with ``SHIFT`` bits behind it: boot epochs are at least wall-clock seconds, so after
all memory is lost epochs go on above the old ones unless more than 2**SHIFT ownerships a second were begun or the clock
was set back. What is stored runs ahead by ``STEP``, so that few ownerships cost a write.
"""

from __future__ import annotations

from yardbank.cluster.lease.messages import MAX_EPOCH

SHIFT = 10
STEP = 64
FAR = 1 << 44  # so far ahead of one's own start an epoch is believed: clocks may be decades apart
MS_SHIFT = 20  # nanoseconds to about milliseconds


class Epochs:
    """What one gateway knows; times in ns of its own clock."""

    __slots__ = ("_base", "_begun_at", "floor", "highest_epoch", "refused", "stored")

    def __init__(self) -> None:
        self.highest_epoch = 0
        self.floor = 0  # new grants are above it
        self.stored = 0  # a later start begins there
        self.refused = 0  # epochs too far ahead
        self._base = 0
        self._begun_at = 0

    def begin(self, now: int, boot_epoch: int, stored: int) -> None:
        """The first thing after a start; ``stored``: what the store says, 0 where it says nothing."""
        self._begun_at = now
        self._base = max(stored, min(boot_epoch << SHIFT, MAX_EPOCH - 2 * FAR))
        self.highest_epoch = self._base
        self.floor = self._base
        self.stored = self._base

    def hear(self, now: int, epoch: int) -> bool:
        """An epoch that anybody sent; whether it is believed. A liar can move epochs by ``FAR``, not to their end."""
        elapsed = max(0, now - self._begun_at >> MS_SHIFT)
        if epoch > min(MAX_EPOCH - 1, self._base + FAR + elapsed):
            self.refused += 1
            return False
        self.highest_epoch = max(self.highest_epoch, epoch)
        return True

    def next_epoch(self) -> int:
        """A new one, above all that are known here."""
        self.highest_epoch += 1
        return self.highest_epoch

    def raise_floor(self) -> None:
        """From now on nothing new is granted here under what is known now, whatever the resource."""
        self.floor = self.highest_epoch

    def to_store(self) -> int | None:
        """What the store must hold before anything more is sent; None: it holds enough."""
        if self.highest_epoch <= self.stored:
            return None
        self.stored = self.highest_epoch + STEP
        return self.stored
