"""Accuracy and cost of the latency map, on a virtual clock: python -m benchmarks.atlas [--small]."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import mean, quantiles
from time import thread_time

from benchmarks.atlas_fleet import JITTER, Fleet, sites, spread_over
from benchmarks.common import chart, keep, table
from yardbank.cluster.latency_map.options import Options, Pair, pair_of

SIZES = ((24, 3), (48, 8), (200, 3), (200, 8), (200, 20))
SEED, CHANGE_FACTOR = 1, 2.5


def middle(values: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile."""
    cuts = quantiles(values, n=100, method="inclusive") if len(values) > 1 else values * 99
    return cuts[49], cuts[98]


class ProcessorTimer:
    """Measures the processor time of the latency map's part, summed over all gateways."""

    def __init__(self, fleet: Fleet) -> None:
        self.seconds = 0.0
        for part in fleet.parts.values():
            for name in ("tick", "receive", "record_peer_round_trip", "record_server_round_trip", "outgoing_messages"):
                setattr(part, name, self._timed(getattr(part, name)))
        for name, node in fleet.gossip.nodes.items():
            node.on_round_trip[:] = [fleet.parts[name].record_peer_round_trip]

    def _timed(self, function: Callable[..., object]) -> Callable[..., object]:
        def call(*arguments: object) -> object:
            began = thread_time()
            try:
                return function(*arguments)
            finally:
                self.seconds += thread_time() - began

        return call


def measure_size(case: tuple[int, int, float]) -> list[str]:
    """Measure one size: errors, time to adopt a change, traffic."""
    gateways, count, probes = case
    trips = sites(count, SEED)
    fleet = Fleet(spread_over(gateways, trips), trips, SEED, probes=probes)
    fleet.run(90)
    own, _ = fleet.errors(own=True)
    others, unknown = fleet.errors(own=False)
    octets = octets_sent(fleet)
    fleet.run(30)
    rates = [(octets_sent(fleet)[name] - octets[name]) / 30 for name in fleet.parts]
    pair = pair_of("z00", "z01")
    before = trips[pair]
    fleet.change(*pair, before * CHANGE_FACTOR)
    increase_times = fleet.taken_up(*pair, own=True)
    fleet.run(30)
    fleet.change(*pair, before)
    decrease_times = fleet.taken_up(*pair, own=True)
    fleet.run(30)
    fleet.change(*pair, before * CHANGE_FACTOR)
    remote_times = fleet.taken_up(*pair, own=False)
    return [
        str(gateways),
        str(count),
        "yes" if probes else "no",
        format_quantiles(own, 100, "%"),
        format_quantiles(others, 100, "%"),
        f"{unknown / max(1, unknown + len(others)):.1%}",
        format_quantiles(increase_times),
        format_quantiles(decrease_times),
        format_quantiles(remote_times),
        f"{mean(rates):.0f}",
        f"{max(rates):.0f}",
    ]


def measure_processor_time(case: tuple[int, int, float]) -> list[str]:
    """Measure the processor time of the map's part after convergence, when one latency has just changed."""
    gateways, count, probes = case
    trips = sites(count, SEED)
    fleet = Fleet(spread_over(gateways, trips), trips, SEED, probes=probes)
    fleet.run(30)
    fleet.change("z00", "z01", trips[pair_of("z00", "z01")] * CHANGE_FACTOR)
    timer = ProcessorTimer(fleet)
    fleet.run(20)
    return [str(gateways), str(count), "yes" if probes else "no", f"{100 * timer.seconds / (gateways * 20):.3f}"]


def octets_sent(fleet: Fleet) -> dict[str, int]:
    """Return the octets of messages that each gateway has sent."""
    return {name: node.outbox.octets for name, node in fleet.gossip.nodes.items()}


def format_quantiles(values: list[float], by: float = 1, unit: str = "") -> str:
    """Format the median and the 99th percentile."""
    return " / ".join(f"{value * by:.1f}{unit}" for value in middle(values)) if values else "none"


def measure_herd(case: tuple[int, int, float]) -> list[str]:
    """Measure the largest share of the fleet that switches to a zone within a second, when latencies to one zone drop."""
    gateways, count, step = case
    trips, samples_per_s = sites(count, SEED), 20
    fleet = Fleet(spread_over(gateways, trips), trips, SEED, Options(step=step), probes=1)
    fleet.run(60)
    zones = sorted({zone for pair in trips for zone in pair})
    farthest = max(zones, key=lambda zone: sum(trip for pair, trip in trips.items() if zone in pair))
    for zone in zones:
        if zone != farthest:
            fleet.change(farthest, zone, 3.0)
    shares: dict[str, list[float]] = {}
    samples = round((20 + 2 / step) * samples_per_s)
    for sample in range(samples):
        fleet.run(1 / samples_per_s)
        for name, part in fleet.parts.items():
            latency = min(part.zone_latencies(fleet.gossip.own(name)), key=lambda latency: latency[1], default=("",))
            shares.setdefault(latency[0], [0.0] * samples)[sample] += 1 / gateways
    max_gain = 0.0
    for zone_shares in shares.values():
        seconds = [sum(zone_shares[at : at + samples_per_s]) / samples_per_s for at in range(samples - samples_per_s)]
        max_gain = max(
            max_gain, *(later - sooner for sooner, later in zip(seconds, seconds[samples_per_s:], strict=False))
        )
    first, last = shares[farthest][0], shares[farthest][-1]
    reached = next(at for at, share in enumerate(shares[farthest]) if share >= last - 0.01) / samples_per_s
    return [
        str(gateways),
        str(count),
        f"{step:.0%}",
        f"{first:.1%}",
        f"{last:.1%}",
        f"{max_gain:.1%}",
        f"{reached:.1f}",
    ]


def vivaldi(known: Mapping[Pair, float], seed: int, rounds: int = 300) -> Callable[[Pair], float]:
    """Fit Vivaldi coordinates, on a plane with a height, to the known latencies (Dabek et al., SIGCOMM 2004)."""
    random = Random(seed)
    coordinates = {zone: [random.uniform(-1, 1), random.uniform(-1, 1), 1.0] for pair in known for zone in pair}
    errors = dict.fromkeys(coordinates, 1.0)

    def distance(pair: Pair) -> float:
        a, b = (coordinates[zone] for zone in pair)
        return ((a[0] - b[0]) ** 2 + (a[1] - b[1]) ** 2) ** 0.5 + a[2] + b[2]

    samples = [
        (a, b, trip) for (one, other), trip in known.items() if one != other for a, b in ((one, other), (other, one))
    ]
    for _ in range(rounds):
        random.shuffle(samples)
        for a, b, trip in samples:
            error = trip - distance((a, b))
            weight = errors[a] / (errors[a] + errors[b])
            errors[a] += 0.25 * weight * (abs(error) / trip - errors[a])
            source, target = coordinates[a], coordinates[b]
            planar_distance = ((source[0] - target[0]) ** 2 + (source[1] - target[1]) ** 2) ** 0.5 or 1.0
            force = 0.25 * weight * error / (planar_distance + source[2] + target[2])
            source[0] += force * (source[0] - target[0])
            source[1] += force * (source[1] - target[1])
            source[2] = max(0.1, source[2] + force * (source[2] + target[2]))
    return distance


def estimate_errors(count: int) -> list[str]:
    """Compare three estimates of latencies that are not measured, each on ten random maps."""
    found: dict[str, list[float]] = {"third": [], "middle": [], "vivaldi": []}
    for seed in range(10):
        trips = {pair: trip for pair, trip in sites(count, seed).items() if pair[0] != pair[1]}
        hidden = Random(seed).sample(sorted(trips), max(1, len(trips) // 5))
        known = {pair: trip for pair, trip in trips.items() if pair not in hidden}
        fitted = vivaldi(known, seed)
        zones = {zone for pair in trips for zone in pair}
        for a, b in hidden:
            legs = [
                (known[pair_of(a, c)], known[pair_of(c, b)])
                for c in zones - {a, b}
                if pair_of(a, c) in known and pair_of(c, b) in known
            ]
            if legs:
                upper, lower = min(x + y for x, y in legs), max(abs(x - y) for x, y in legs)
                trip = trips[a, b]
                found["third"].append(abs(upper - trip) / trip)
                found["middle"].append(abs((upper + min(lower, upper)) / 2 - trip) / trip)
                found["vivaldi"].append(abs(fitted((a, b)) - trip) / trip)
    return [
        str(count),
        str(len(found["third"])),
        *(format_quantiles(found[key], 100, "%") for key in ("third", "middle", "vivaldi")),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true", help="up to 48 gateways")
    parser.add_argument("--processes", type=int, default=2)
    given = parser.parse_args()
    sizes = [size for size in SIZES if not given.small or size[0] < 200]
    with ProcessPoolExecutor(given.processes) as pool:
        rows = list(pool.map(measure_size, [(*size, probes) for size in sizes for probes in (0.0, 1.0)]))
        herds = list(pool.map(measure_herd, [(*size, step) for size in sizes if size[1] != 20 for step in (0.1, 1.0)]))
        costs = list(pool.map(measure_processor_time, [(*size, probes) for size in sizes for probes in (0.0, 1.0)]))
        estimate_rows = list(pool.map(estimate_errors, (4, 8, 20)))
    bars = {
        label: [float(row[6].split(" / ")[0]) for row in rows if row[2] == asked]
        for label, asked in {"by peers' probes alone": "no", "servers asked once a second": "yes"}.items()
    }
    chart(
        "atlas", "Seconds until half of a way's ends have its new round trip", [f"{g} in {z}" for g, z in sizes], bars
    )
    head = [
        "gateways",
        "zones",
        "servers asked",
        "error of own ways",
        "of others'",
        "unknown",
        "longer way taken up, s",
        "shorter, s",
        "by others, s",
        "octets/s, mean",
        "most",
    ]
    notes = [
        "Deciders on a virtual clock; two figures are the median and the 99th percentile over gateways and ways. Sites are"
        f" drawn on a plane of 80 ms; a round trip has up to {JITTER:.0%} on top, drawn for each, which is within the error."
        " Servers asked: each gateway asks one of each zone once a second, as connects and probes do.",
        f"A way becomes {CHANGE_FACTOR} times as long, and as short again. Octets are those of the link's letters, all the map's.",
    ]
    tables = [table("The map against the delays that were set", head, rows, notes)]
    head = ["gateways", "zones", "step", "chose it before", "after", "most gained in a second", "reached after, s"]
    notes = [
        "All ways to the farthest zone become the shortest at once, and each gateway wants the nearest other zone; step 100 %: all"
        " go over as soon as they know. The bound is the step."
    ]
    tables.append(table("No herd", head, herds, notes))
    head = ["zones", "ways hidden", "shortest through a third", "middle of its bounds", "Vivaldi with height"]
    notes = [
        "A fifth of the ways of ten drawn maps is hidden and worked out from the rest: the error's median and 99th percentile."
    ]
    tables.append(table("Ways that nobody has measured", head, estimate_rows, notes))
    head = ["gateways", "zones", "servers asked", "% of a core, a gateway"]
    notes = ["Processor time of the thread in the part's own calls, over the 20 s after a way has changed."]
    tables.append(table("Processor time", head, costs, notes))
    keep("atlas", "The map of ways between zones", tables)


if __name__ == "__main__":
    main()
