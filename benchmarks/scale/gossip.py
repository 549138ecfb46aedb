"""Gossip by number of gateways: octets, processor time, memory, failure detection and discovery."""

from __future__ import annotations

import time
from collections.abc import Iterable
from random import Random

from benchmarks.scale.line import COUNTED, Line, Quantity, Values
from benchmarks.scale.memory import resident_kib
from yardbank.cluster.peers.counters import MAX_KEYS
from yardbank.cluster.peers.datagram import ALIVE, GONE, CounterValue
from yardbank.cluster.peers.node import GossipNode
from yardbank.testing.rig.gossip import GossipFleet
from yardbank.testing.rig.network import Effect

SECOND = 1_000_000_000
ZONES = 11
SAMPLE = 24  # gateways whose view is checked
STEADY = 20  # seconds over which the mean is taken
LONGEST_JOIN, LONGEST_DEATH = 900, 180  # seconds until the measurement gives up
LOSS = 0.05


def zoned(gateways: int) -> dict[str, str]:
    """Distribute gateways over eleven zones in turn."""
    return {f"g{number:04}": f"z{number % ZONES}" for number in range(gateways)}


def mark_all_known(gossip: GossipFleet) -> None:
    """Make all gateways know each other as after a long time, without the messages in between."""
    for name, node in gossip.nodes.items():
        for other, peer in node.detector.peers.items():
            peer.state, peer.incarnation = ALIVE, gossip.nodes[other].detector.incarnation
            peer.witness, peer.heard_at = other, gossip.own(name)


def count_believing(gossip: GossipFleet, names: Iterable[str], other: str, state: int) -> int:
    """Return how many of the given gateways believe that another is in a state."""
    return sum(gossip.believes(name, other) == state for name in names)


def _started_fleet(gateways: int, seed: int, known: bool) -> GossipFleet:
    zones = zoned(gateways)
    gossip = GossipFleet(zones, seed=seed, zones=zones)
    for name in zones:
        gossip.start(name)
    if known:
        mark_all_known(gossip)
    return gossip


def _detection_time(gossip: GossipFleet, names: list[str], sample: list[str]) -> float:
    """Kill a gateway; returns the seconds until the whole sample believes that it is gone."""
    dead, killed = names[0], gossip.now
    gossip.kill(dead)
    known = gossip.run_until(
        lambda: count_believing(gossip, sample, dead, GONE) == len(sample), LONGEST_DEATH * SECOND, SECOND // 4
    )
    return float("inf") if known is None else (known - killed) / SECOND


def link_by_gateways(gateways: int, seed: int) -> Values:
    """Measure octets, processor time and memory of a converged fleet and the detection of a death, at 0 and 5 % loss."""
    before = resident_kib()
    gossip = _started_fleet(gateways, seed, known=True)
    names = list(gossip.names)
    sample = Random(seed).sample(names[1:], min(SAMPLE, gateways - 1))
    gossip.run(5 * SECOND)
    sent, since, began = sum(gossip.octets.values()), gossip.now, time.process_time()
    gossip.run(since + STEADY * SECOND)
    processor = (time.process_time() - began) / STEADY / gateways * 100
    rate = (sum(gossip.octets.values()) - sent) / STEADY / gateways
    memory = (resident_kib() - before) / gateways
    death = _detection_time(gossip, names, sample)
    gossip.way = Effect(delay=0.0005, jitter=0.001, lose=LOSS)
    sent, since = sum(gossip.octets.values()), gossip.now
    gossip.run(since + STEADY * SECOND)
    lossy = (sum(gossip.octets.values()) - sent) / STEADY / gateways
    death_lossy = _detection_time(gossip, names[1:], [name for name in sample if name != names[1]])
    return {
        "octets": rate,
        "octets at 5 % loss": lossy,
        "processor": processor,
        "memory": memory,
        "death": death,
        "death at 5 % loss": death_lossy,
    }


def join_by_gateways(gateways: int, seed: int) -> Values:
    """Start all gateways at once with only the list; returns seconds until a sample believes that all others are alive."""
    gossip = _started_fleet(gateways, seed, known=False)
    sample = Random(seed).sample(gossip.names, min(SAMPLE, gateways))

    def found() -> bool:
        return all(peer.state == ALIVE for name in sample for peer in gossip.nodes[name].detector.peers.values())

    found_at = gossip.run_until(found, LONGEST_JOIN * SECOND, SECOND)
    return {"all found": float("inf") if found_at is None else found_at / SECOND}


def counts_by_gateways(gateways: int, seed: int) -> Values:
    """Measure a gateway with the counters of all others: memory, and processor time of the totals in its view."""
    zones = zoned(gateways)
    node = GossipNode("g0000", "porting", [b"k" * 32], 1, Random(seed))
    node.listed(0, zones, zones)
    before = resident_kib()
    for name in zones:
        receive_counters(node, name)
    memory = resident_kib() - before
    began = time.process_time()
    totals = node.totals(SECOND)
    view = (time.process_time() - began) * 1e3
    return {"memory": memory, "totals": view, "kept": sum(total.contributors for total in totals.values())}


def receive_counters(node: GossipNode, name: str) -> None:
    """Receive the counters of a peer: two for each database, up to the limit."""
    keys = [f"{what}:db-{number:05}" for number in range(MAX_KEYS // 2) for what in ("out", "connections")]
    node.counters.receive(SECOND, name, 1, [CounterValue(key, at + 1, at % 7) for at, key in enumerate(keys)])


LINES = (
    Line(
        "link-gateways",
        "The link between gateways by their number",
        "gateways",
        (8, 50, 200, 500, 1000, 1800),
        1800,
        (
            Quantity("octets", "octets/s", COUNTED),
            Quantity("octets at 5 % loss", "octets/s", COUNTED),
            Quantity("processor", "% of a core"),
            Quantity("memory", "KiB"),
            Quantity("death", "s", COUNTED),
            Quantity("death at 5 % loss", "s", COUNTED),
        ),
        link_by_gateways,
        "Deciders on a virtual clock, one probe a second, 0.5 to 1.5 ms of delay; all know all when it begins. Values are of"
        " one gateway, the mean over all. A death is known when each of 24 gateways drawn holds it. No counts, no words on"
        " servers. Processor time includes the virtual clock and the network between them.",
        small=(8,),
        runs=1,
    ),
    Line(
        "join-gateways",
        "All gateways find each other, by their number",
        "gateways",
        (8, 50, 200, 500),
        1800,
        (Quantity("all found", "s", COUNTED),),
        join_by_gateways,
        "All start within a second and know nothing but the list of names. Found: 24 gateways drawn hold all others alive.",
        small=(8,),
        runs=1,
    ),
    Line(
        "counts-gateways",
        "What one gateway holds of the others' counts, by gateways",
        "gateways",
        (100, 250, 500, 1000, 1800),
        1800,
        (Quantity("memory", "KiB"), Quantity("totals", "ms"), Quantity("kept", "counts", COUNTED)),
        counts_by_gateways,
        "Each tells two counts of each database, 512 at most. The totals are worked out for the view each 5 s.",
        small=(8,),
    ),
)
