"""Transfers that other gateways offer to this one. No I/O: time (ns, its own clock) is an argument.

Owns the open offers, at most ``MAX_OFFERS``, each for one overlap after it was last repeated, and which of them the
user has not seen yet.
"""

from __future__ import annotations

from typing import NamedTuple

from yardbank.cluster.lease.messages import TransferOffer

MAX_OFFERS = 256


class OpenOffer(NamedTuple):
    """The holder that offers the lease, its epoch, and when its offer last came."""

    sender: str
    epoch: int
    received_at: int


class TransferOffers:
    """Open offers by resource; ``rejected`` counts those beyond ``MAX_OFFERS``."""

    __slots__ = ("_overlap", "offers", "rejected", "unseen")

    def __init__(self, overlap: int) -> None:
        self._overlap = overlap  # ns
        self.offers: dict[str, OpenOffer] = {}
        self.unseen: dict[str, str] = {}  # by resource: the sender of an offer that the user has not seen
        self.rejected = 0

    def is_open(self, now: int, resource: str) -> bool:
        """Whether there is an open offer of this resource."""
        offer = self.offers.get(resource)
        return offer is not None and now < offer.received_at + self._overlap

    def record(self, now: int, sender: str, message: TransferOffer) -> bool:
        """Record a new or repeated offer; returns whether there was room for it."""
        known = self.offers.get(message.resource)
        if known is None and len(self.offers) >= MAX_OFFERS:
            self.rejected += 1
            return False
        if known is None or (known.sender, known.epoch) != (sender, message.epoch):
            self.unseen[message.resource] = sender
        self.offers[message.resource] = OpenOffer(sender, message.epoch, now)
        return True

    def expire(self, now: int) -> None:
        """Drop the offers that were not repeated within one overlap."""
        for resource in list(self.offers):
            if self.offers[resource].received_at + self._overlap <= now:
                del self.offers[resource]
                self.unseen.pop(resource, None)

    def take_unseen(self, prefix: str) -> list[tuple[str, str]]:
        """Resource and sender of the offers not seen yet, for resources with this prefix; each is returned once."""
        found = [offer for offer in self.unseen.items() if offer[0].startswith(prefix)]
        for resource, _ in found:
            del self.unseen[resource]
        return found
