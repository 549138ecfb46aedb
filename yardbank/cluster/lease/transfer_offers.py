"""Leases that other gateways offer to this one. No I/O: time (ns, its own clock) comes in.

Owns the open offers, at most ``MAX_OFFERS``, each for one overlap after it was last repeated, and which of them the
user has not yet seen.
"""

from __future__ import annotations

from typing import NamedTuple

from yardbank.cluster.lease.messages import TransferOffer

MAX_OFFERS = 256


class OpenOffer(NamedTuple):
    """Who offers, under which epoch it holds, and when it last said so."""

    sender: str
    epoch: int
    received_at: int


class TransferOffers:
    """Open offers by resource."""

    __slots__ = ("_overlap", "offers", "rejected", "unseen")

    def __init__(self, overlap: int) -> None:
        self._overlap = overlap  # ns
        self.offers: dict[str, OpenOffer] = {}
        self.unseen: dict[str, str] = {}  # by resource: the sender, until the user asks
        self.rejected = 0  # because too many were open

    def is_open(self, now: int, resource: str) -> bool:
        """Whether another gateway offers it just now."""
        offer = self.offers.get(resource)
        return offer is not None and now < offer.received_at + self._overlap

    def record(self, now: int, sender: str, message: TransferOffer) -> bool:
        """An offer came, perhaps again; whether there was room for it."""
        known = self.offers.get(message.resource)
        if known is None and len(self.offers) >= MAX_OFFERS:
            self.rejected += 1
            return False
        if known is None or (known.sender, known.epoch) != (sender, message.epoch):
            self.unseen[message.resource] = sender
        self.offers[message.resource] = OpenOffer(sender, message.epoch, now)
        return True

    def expire(self, now: int) -> None:
        """Forget what was not repeated within an overlap."""
        for resource in list(self.offers):
            if self.offers[resource].received_at + self._overlap <= now:
                del self.offers[resource]
                self.unseen.pop(resource, None)

    def take(self, prefix: str) -> list[tuple[str, str]]:
        """Resource and sender of offers that the user has not seen; taken off."""
        found = [offer for offer in self.unseen.items() if offer[0].startswith(prefix)]
        for resource, _ in found:
            del self.unseen[resource]
        return found
