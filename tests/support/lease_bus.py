"""A few gateways' leases on one clock; letters arrive at once unless they are cut off."""

from random import Random

from yardbank.cluster.lease import Terms
from yardbank.cluster.lease.messages import decode
from yardbank.cluster.lease.model_check.nodes import Sight
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.lease.timing import long_lease
from yardbank.cluster.peers.parts import Forgetful

SECOND = 1_000_000_000
TERMS = Terms()
R = "channel/a"


class Bus:
    def __init__(self, names, terms=TERMS, zones=None, seed=1, fresh=False):
        self.terms, self.now, self.random, self.cut = terms, 100 * SECOND, Random(seed), set()
        self.zones = zones or dict.fromkeys(names, "")
        self.parts, self.lives, self.said = {}, 0, []
        for name in names:
            self.start(name)
        if not fresh:
            self.run(long_lease(terms) + 1)

    def start(self, name, life=None, keep=None):
        self.lives += 1
        sight = Sight(name, life or self.lives, self.zones)
        part = self.parts[name] = LeasePart(sight, self.terms, Random(f"{name}{self.lives}"), keep or Forgetful())
        part.listed(self.now)
        return part

    def flush(self):
        while letters := [(name, one) for name, part in self.parts.items() for one in part.letters()]:
            for name, letter in letters:
                self.said.append((name, letter.to, decode(letter.body)))
                if letter.to in self.parts and name not in self.cut and letter.to not in self.cut:
                    self.parts[letter.to].receive(self.now, name, self.parts[name].life, letter.body)

    def run(self, span):
        end = self.now + span
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
