"""Leases of many gateways on a virtual clock: holders by true time under loss, partitions, stops and kills."""

from dataclasses import replace
from random import Random

import pytest

from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.lease.timing import max_lease_duration, vote_time
from yardbank.cluster.peers.parts import NullStore
from yardbank.testing.rig.gossip import GossipFleet
from yardbank.testing.rig.network import Effect, pairs_of

SECOND = 1_000_000_000
TERMS = LeaseTerms(drift=0.02)


class MemoryStore:
    def __init__(self):
        self.data = None

    def load(self):
        return self.data

    def save(self, data):
        self.data = data
        return True


class Fleet(GossipFleet):
    """Checks at every event that no resource has two holders outside of a transfer.

    By true time a lease lasts until it expires by its gateway's clock, whether the gateway is stopped or not.
    """

    def __init__(self, count, seed=1, zones=3, stores=0.5, terms=TERMS, **more):
        names = [f"g{number}" for number in range(count)]
        spread = {name: f"z{number % zones}" for number, name in enumerate(names)}
        self.random, self.stores_by_name, self.stores, self.terms = Random(seed), {}, stores, terms
        self.ends, self.epochs, self.transfers = {}, {}, {}  # by resource: end by holder; highest; (holder, start)
        self.owned, self.overlaps = [], []
        super().__init__(names, seed=seed, zones=spread, parts=self.make_parts, **more)
        for name in names:
            self.start(name, rate=1 + self.random.choice((-1, 1)) * 0.0198)

    def make_parts(self, node, random):
        store = (
            self.stores_by_name.setdefault(node.name, MemoryStore())
            if self.random.random() < self.stores
            else NullStore()
        )
        return [LeasePart(node.membership_view, self.terms, random, store)]

    def part(self, name):
        return self.nodes[name].outbox.parts["lease"]

    def call(self, name, method, *args):
        if name in self.paused or name not in self.nodes:
            return None
        found = getattr(self.part(name), method)(self.own(name), *args)
        self.prompt(name)
        return found

    def transfer(self, resource, to):
        """Let the present holder transfer the resource."""
        for name in self.holders(resource):
            begun = self.now
            if name not in self.paused and self.part(name).transfer(self.own(name), resource, to):
                self.transfers[resource] = name, begun
                self.prompt(name)

    def kill(self, name):
        for ends in self.ends.values():
            ends.pop(name, None)
        super().kill(name)

    def holders(self, resource):
        return [name for name, end in self.ends.get(resource, {}).items() if end > self.now]

    def _act(self, name, what):
        super()._act(name, what)
        if name in self.nodes and name not in self.paused:
            self.check(name)

    def check(self, name):
        part, now = self.part(name), self.own(name)
        for event in part.take_events(""):
            if event.what == "owned":
                assert event.epoch > self.epochs.get(event.resource, 0), (name, event)
                self.epochs[event.resource] = event.epoch
                self.owned.append((self.now, event.resource, name))
        for resource, claim in part.claims.claims.items():
            assert (part.epoch(now, resource) is not None) == claim.holds(now)
        for resource, ends in self.ends.items():
            if name in ends and part.epoch(now, resource) is None:
                del ends[name]
        for resource, claim in part.claims.claims.items():
            if claim.holds(now):
                ends = self.ends.setdefault(resource, {})
                ends[name] = round((claim.until - 3600 * SECOND) / self.rates[name])
                others = [other for other in ends if other != name and ends[other] > self.now]
                if others:
                    self.check_overlap(resource, name, others)

    def check_overlap(self, resource, name, others):
        who, begun = self.transfers.get(resource, ("", 0))
        assert len(others) == 1 and who in (name, others[0]), (self.now, resource, name, others)
        end = min(self.ends[resource][one] for one in (name, others[0]))
        assert end <= begun + TERMS.overlap, (self.now, resource, name, others, end - begun)
        self.overlaps.append(end - self.now)

    def cut(self, name, sources, targets, oneway=False, effect=None):
        self.network.begin(name, pairs_of(sources, targets, oneway), effect or Effect(cut="silent"))

    def change_list(self, zones, within):
        """Let a new list reach each gateway at a random time within so many seconds."""
        self.zones = self.newest = zones
        for name in self.names:
            self.at(
                self.now + int(self.random.uniform(0, within) * SECOND), lambda name=name: self.take_list(name, zones)
            )

    def take_list(self, name, zones):
        if name in self.paused:
            self.at(self.now + SECOND, lambda: self.take_list(name, zones))
        elif name in self.nodes and zones is self.newest:  # older lists are no longer distributed
            self.nodes[name].listed(self.own(name), self.names, zones)
            self.prompt(name)

    def unheld(self, resources):
        return [one for one in resources if not self.holders(one)]


def inject_faults(fleet, seconds, lists=False):
    """Random partitions, message loss, stops, kills and transfers."""
    random, end = fleet.random, fleet.now + seconds * SECOND
    resources = list(fleet.epochs)
    number = 0
    while fleet.now < end:
        fleet.run(fleet.now + int(random.uniform(0.05, 0.8) * SECOND))
        number += 1
        what, name = random.randrange(8), random.choice(fleet.names)
        some = random.sample(fleet.names, len(fleet.names) // 3)
        rest = [one for one in fleet.names if one not in some]
        if what == 0:
            fleet.cut(f"cut{number % 2}", some, rest, oneway=random.random() < 0.3)
        elif what == 1:
            bad = Effect(lose=0.3, double=0.2, reorder=0.3, jitter=random.choice((0.01, 0.5)))
            fleet.cut("lossy", some, fleet.names, effect=bad)
        elif what == 2:
            fleet.network.end(f"cut{random.randrange(2)}")
        elif what == 3 and name in fleet.nodes and name not in fleet.paused:
            fleet.pause(name)
            fleet.at(
                fleet.now + int(random.uniform(0.1, 8) * SECOND),
                lambda name=name: name in fleet.paused and fleet.resume(name),
            )
        elif what == 4 and name in fleet.nodes:
            fleet.kill(name)
            back = fleet.now + int(random.uniform(0.01, 5) * SECOND)
            fleet.at(back, lambda name=name: name not in fleet.nodes and restart(fleet, name, resources))
        elif what == 5 and lists:
            fleet.change_list({one: random.choice("xyz") for one in fleet.names}, random.choice((0.2, 6, 30)))
        else:
            fleet.transfer(random.choice(resources), name)


def restart(fleet, name, resources):
    fleet.start(name, rate=fleet.rates[name])
    for resource in resources:
        fleet.call(name, "acquire", resource)


def heal(fleet, resources):
    for fault in ("cut0", "cut1", "lossy"):
        fleet.network.end(fault)
    for name in fleet.names:
        if name in fleet.paused:
            fleet.resume(name)
        if name not in fleet.nodes:
            restart(fleet, name, resources)


def acquire_all(fleet, resources, by):
    for number, resource in enumerate(resources):
        for name in by(number):
            fleet.call(name, "acquire", resource)


@pytest.mark.parametrize(("seed", "voters"), [(0, 3), (1, 4), (2, 5), (3, 3), (4, 3), (5, 5)])
def test_no_two_holders_outside_a_transfer_under_faults_and_all_leases_held_soon_after(seed, voters):
    lists = seed > 2
    fleet = Fleet(9, seed, stores=1 if lists else 0.5, terms=replace(TERMS, voters=voters))
    resources = [f"channel/{number}" for number in range(6)]
    acquire_all(fleet, resources, lambda number: [fleet.names[(number + more) % 9] for more in range(3)])
    fleet.run(5 * SECOND)
    assert not fleet.unheld(resources)
    inject_faults(fleet, 50, lists)
    heal(fleet, resources)
    if lists:  # wait until all have the same list
        fleet.run(fleet.now + 31 * SECOND)
    healed = fleet.now  # voters that start now are silent for a lease, and the rate limit is used up
    took = fleet.run_until(lambda: not fleet.unheld(resources), 20 * SECOND)
    assert took is not None and took - healed <= 2 * max_lease_duration(TERMS) + SECOND
    assert len(fleet.owned) > 2 * len(resources) and max(fleet.overlaps, default=0) <= TERMS.overlap
    fleet.run(fleet.now + 3 * SECOND)
    assert not fleet.unheld(resources)


def test_200_gateways_start_with_bounded_traffic_and_recover_from_the_loss_of_a_zone():
    fleet = Fleet(200, 3)
    resources = [f"channel/{number}" for number in range(200)]
    acquire_all(fleet, resources, lambda number: [fleet.names[number], fleet.names[(number + 1) % 200]])
    assert fleet.run_until(lambda: not fleet.unheld(resources), 2 * max_lease_duration(TERMS)) is not None
    start = [node.outbox.octets for node in fleet.nodes.values()]
    assert max(start) < 24 * 1024
    fleet.run(fleet.now + 6 * SECOND)
    steady = (sum(node.outbox.octets for node in fleet.nodes.values()) - sum(start)) / 200 / 6
    assert steady < 1024 and all(node.outbox.withheld == 0 for node in fleet.nodes.values())
    lost = [name for name in fleet.names if fleet.zones[name] == "z1"]
    for name in lost:
        fleet.kill(name)
    at, gone = fleet.now, fleet.unheld(resources)
    assert len(gone) > 50
    took = fleet.run_until(lambda: not fleet.unheld(resources), 20 * SECOND)
    assert took is not None and took - at <= max_lease_duration(TERMS) + TERMS.term // 8 + 2 * vote_time(TERMS)
    print(
        f"start: {max(start)} octets at most, {steady:.0f} a second; {len(gone)} lost, held again in {(took - at) / SECOND}"
    )
