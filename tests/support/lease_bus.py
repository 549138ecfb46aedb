"""Leases of a few gateways on one clock; messages are delivered immediately, except to and from gateways in ``cut``."""

from random import Random

from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.messages import decode
from yardbank.cluster.lease.model_check.nodes import MembershipView
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.lease.timing import max_lease_duration
from yardbank.cluster.peers.parts import NullStore

SECOND = 1_000_000_000
TERMS = LeaseTerms()
R = "channel/a"


class Bus:
    def __init__(self, names, terms=TERMS, zones=None, seed=1, fresh=False):
        self.terms, self.now, self.random, self.cut = terms, 100 * SECOND, Random(seed), set()
        self.zones = zones or dict.fromkeys(names, "")
        self.parts, self.boot_epochs, self.said = {}, 0, []
        for name in names:
            self.start(name)
        if not fresh:
            self.run(max_lease_duration(terms) + 1)

    def start(self, name, boot_epoch=None, keep=None):
        self.boot_epochs += 1
        membership_view = MembershipView(name, boot_epoch or self.boot_epochs, self.zones)
        part = self.parts[name] = LeasePart(
            membership_view, self.terms, Random(f"{name}{self.boot_epochs}"), keep or NullStore()
        )
        part.listed(self.now)
        return part

    def flush(self):
        while messages := [
            (name, outgoing) for name, part in self.parts.items() for outgoing in part.outgoing_messages()
        ]:
            for name, message in messages:
                self.said.append((name, message.to, decode(message.body)))
                if message.to in self.parts and name not in self.cut and message.to not in self.cut:
                    self.parts[message.to].receive(self.now, name, self.parts[name].boot_epoch, message.body)

    def run(self, duration):
        end = self.now + duration
        while True:
            self.flush()
            due = [
                at for name, part in self.parts.items() if name not in self.cut and (at := part.next_at()) is not None
            ]
            self.now = min(end, max(self.now + 1, min(due, default=end)))
            if self.now >= end:
                return
            for name, part in self.parts.items():
                if name not in self.cut:
                    part.tick(self.now)

    def holders(self, resource=R):
        return [name for name, part in self.parts.items() if part.epoch(self.now, resource) is not None]
