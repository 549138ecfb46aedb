"""The link between gateways by their number: octets, processor time, memory, a death, and all finding each other."""

from __future__ import annotations

import time
from collections.abc import Iterable
from random import Random

from benchmarks.scale.line import COUNTED, Line, Quantity, Values
from benchmarks.scale.memory import resident_kib
from yardbank.peers.circle import Circle
from yardbank.peers.datagram import ALIVE, GONE, Count
from yardbank.peers.register import MAX_KEYS
from yardbank.rig.circles import Circles
from yardbank.rig.wire import Effect

SECOND = 1_000_000_000
ZONES = 11
SAMPLE = 24  # gateways whose view is looked at
STEADY = 20  # seconds of which the mean is taken
LONGEST_JOIN, LONGEST_DEATH = 900, 180  # seconds until it is given up
LOSS = 0.05


def zoned(gateways: int) -> dict[str, str]:
    """Gateways by turns in eleven zones."""
    return {f"g{number:04}": f"z{number % ZONES}" for number in range(gateways)}


def acquaint(circles: Circles) -> None:
    """Have all know all, as after a long time; what they would have told each other on the way is left out."""
    for name, circle in circles.circles.items():
        for other, peer in circle.detector.peers.items():
            peer.state, peer.incarnation = ALIVE, circles.circles[other].detector.incarnation
            peer.witness, peer.heard_at = other, circles.own(name)


def knowing(circles: Circles, names: Iterable[str], other: str, state: int) -> int:
    """How many of some gateways hold another to be in a state."""
    return sum(circles.believes(name, other) == state for name in names)


def _started(gateways: int, seed: int, known: bool) -> Circles:
    zones = zoned(gateways)
    circles = Circles(zones, seed=seed, zones=zones)
    for name in zones:
        circles.start(name)
    if known:
        acquaint(circles)
    return circles


def _death(circles: Circles, names: list[str], sample: list[str]) -> float:
    """Kill one; seconds until all of the sample hold it gone."""
    dead, killed = names[0], circles.now
    circles.kill(dead)
    known = circles.run_until(
        lambda: knowing(circles, sample, dead, GONE) == len(sample), LONGEST_DEATH * SECOND, SECOND // 4
    )
    return float("inf") if known is None else (known - killed) / SECOND


def link_by_gateways(gateways: int, seed: int) -> Values:
    """A fleet whose members know each other: octets a second, processor time, memory; then one dies. 0 and 5 % loss."""
    before = resident_kib()
    circles = _started(gateways, seed, known=True)
    names = list(circles.names)
    sample = Random(seed).sample(names[1:], min(SAMPLE, gateways - 1))
    circles.run(5 * SECOND)
    sent, since, began = sum(circles.octets.values()), circles.now, time.process_time()
    circles.run(since + STEADY * SECOND)
    processor = (time.process_time() - began) / STEADY / gateways * 100
    rate = (sum(circles.octets.values()) - sent) / STEADY / gateways
    memory = (resident_kib() - before) / gateways
    death = _death(circles, names, sample)
    circles.way = Effect(delay=0.0005, jitter=0.001, lose=LOSS)
    sent, since = sum(circles.octets.values()), circles.now
    circles.run(since + STEADY * SECOND)
    lossy = (sum(circles.octets.values()) - sent) / STEADY / gateways
    death_lossy = _death(circles, names[1:], [name for name in sample if name != names[1]])
    return {"octets": rate, "octets at 5 % loss": lossy, "processor": processor, "memory": memory, "death": death,
            "death at 5 % loss": death_lossy}  # fmt: skip


def join_by_gateways(gateways: int, seed: int) -> Values:
    """All start at once and know nothing but the list: seconds until a sample holds all others alive."""
    circles = _started(gateways, seed, known=False)
    sample = Random(seed).sample(circles.names, min(SAMPLE, gateways))

    def found() -> bool:
        return all(peer.state == ALIVE for name in sample for peer in circles.circles[name].detector.peers.values())

    at = circles.run_until(found, LONGEST_JOIN * SECOND, SECOND)
    return {"all found": float("inf") if at is None else at / SECOND}


def counts_by_gateways(gateways: int, seed: int) -> Values:
    """One gateway that has heard the counts of all others: memory, and processor time of its view's totals."""
    zones = zoned(gateways)
    circle = Circle("g0000", "porting", [b"k" * 32], 1, Random(seed))
    circle.listed(0, zones, zones)
    before = resident_kib()
    for name in zones:
        hear_counts(circle, name)
    memory = resident_kib() - before
    began = time.process_time()
    totals = circle.totals(SECOND)
    view = (time.process_time() - began) * 1e3
    return {"memory": memory, "totals": view, "kept": sum(sum_.parts for sum_ in totals.values())}


def hear_counts(circle: Circle, name: str) -> None:
    """As many counts of a peer as one gateway tells: two of each database, up to its bound."""
    keys = [f"{what}:db-{number:05}" for number in range(MAX_KEYS // 2) for what in ("out", "connections")]
    circle.register.heard(SECOND, name, 1, [Count(key, at + 1, at % 7) for at, key in enumerate(keys)])


LINES = (
    Line(
        "link-gateways", "The link between gateways by their number", "gateways", (8, 50, 200, 500, 1000, 1800), 1800,
        (Quantity("octets", "octets/s", COUNTED), Quantity("octets at 5 % loss", "octets/s", COUNTED),
         Quantity("processor", "% of a core"), Quantity("memory", "KiB"), Quantity("death", "s", COUNTED),
         Quantity("death at 5 % loss", "s", COUNTED)),
        link_by_gateways,
        "Deciders on a virtual clock, one probe a second, 0.5 to 1.5 ms of delay; all know all when it begins. Values are of"
        " one gateway, the mean over all. A death is known when each of 24 gateways drawn holds it. No counts, no words on"
        " servers. Processor time includes the virtual clock and the network between them.",
        small=(8,), runs=1,
    ),
    Line(
        "join-gateways", "All gateways find each other, by their number", "gateways", (8, 50, 200, 500), 1800,
        (Quantity("all found", "s", COUNTED),),
        join_by_gateways,
        "All start within a second and know nothing but the list of names. Found: 24 gateways drawn hold all others alive.",
        small=(8,), runs=1,
    ),
    Line(
        "counts-gateways", "What one gateway holds of the others' counts, by gateways", "gateways",
        (100, 250, 500, 1000, 1800), 1800,
        (Quantity("memory", "KiB"), Quantity("totals", "ms"), Quantity("kept", "counts", COUNTED)),
        counts_by_gateways,
        "Each tells two counts of each database, 512 at most. The totals are worked out for the view each 5 s.",
        small=(8,),
    ),
)  # fmt: skip
