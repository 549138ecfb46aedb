"""Epochs of leases: no epoch is used twice, and a later one is higher. No I/O.

Owns one number for all resources together: the highest epoch that this gateway has granted, requested or heard of. It
starts no lower than the boot epoch shifted left by ``BOOT_EPOCH_SHIFT`` bits. Boot epochs are at least wall-clock
seconds, so even if all stores are lost, new epochs are above the old ones unless more than 2**BOOT_EPOCH_SHIFT leases
began per second or the clock was set back. The stored number runs ahead by ``STORED_LEAD``: few leases cost a write.
"""

from __future__ import annotations

from yardbank.cluster.lease.messages import MAX_EPOCH

BOOT_EPOCH_SHIFT = 10
STORED_LEAD = 64
MAX_EPOCH_LEAD = 1 << 44  # epochs further above this gateway's start are rejected; wide, as clocks may be decades apart
NS_PER_MS_SHIFT = 20  # converts nanoseconds to about milliseconds


class Epochs:
    """The epochs known to one gateway; times are ns of its own clock."""

    __slots__ = ("_base", "_begun_at", "floor", "highest_epoch", "refused", "stored")

    def __init__(self) -> None:
        self.highest_epoch = 0
        self.floor = 0  # new grants must be above it
        self.stored = 0  # where the next start begins
        self.refused = 0  # epochs rejected as too far ahead
        self._base = 0
        self._begun_at = 0

    def begin(self, now: int, boot_epoch: int, stored: int) -> None:
        """Initialise; must be called first. ``stored``: the epoch in the store, 0 if there is none."""
        self._begun_at = now
        self._base = max(stored, min(boot_epoch << BOOT_EPOCH_SHIFT, MAX_EPOCH - 2 * MAX_EPOCH_LEAD))
        self.highest_epoch = self._base
        self.floor = self._base
        self.stored = self._base

    def hear(self, now: int, epoch: int) -> bool:
        """Take note of a received epoch; returns whether it is plausible.

        The limit keeps a faulty sender from using up all epochs: it can raise them by ``MAX_EPOCH_LEAD`` at most.
        """
        elapsed = max(0, now - self._begun_at >> NS_PER_MS_SHIFT)
        if epoch > min(MAX_EPOCH - 1, self._base + MAX_EPOCH_LEAD + elapsed):
            self.refused += 1
            return False
        self.highest_epoch = max(self.highest_epoch, epoch)
        return True

    def next_epoch(self) -> int:
        """A new epoch, above all that this gateway knows."""
        self.highest_epoch += 1
        return self.highest_epoch

    def raise_floor(self) -> None:
        """From now on grant new leases only above the highest epoch known now, whatever the resource."""
        self.floor = self.highest_epoch

    def to_store(self) -> int | None:
        """The number to store before anything more is sent; None: the stored one is high enough."""
        if self.highest_epoch <= self.stored:
            return None
        self.stored = self.highest_epoch + STORED_LEAD
        return self.stored
