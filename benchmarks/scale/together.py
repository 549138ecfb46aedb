"""Coordination between gateways: leases and channels, the latency map by zones, a rollout by gateways."""

from __future__ import annotations

import time

from benchmarks.atlas_fleet import Fleet as MapFleet
from benchmarks.atlas_fleet import sites, spread_over
from benchmarks.scale.line import COUNTED, Line, Quantity, Values
from tests.support.channels_fleet import ChannelFleet
from tests.support.rollout_fleet import World, change, zoned

SECOND = 1_000_000_000
GATEWAYS = 12
MEASURED_S = 10  # seconds over which the mean is taken
MAP_GATEWAYS = 44
STAGES = (0.02, 0.1, 0.5, 1.0)


def feeds_by_channels(channels: int, seed: int) -> Values:
    """Measure twelve gateways that all follow all channels, with one item per second on each."""
    fleet = ChannelFleet(GATEWAYS, channels, seed, every=SECOND)
    fleet.start()
    owned = fleet.run_until(fleet.all_owned, 120 * SECOND)
    fleet.run(5 * SECOND)
    sent, began = sum(fleet.gossip.octets.values()), time.process_time()
    fleet.run(MEASURED_S * SECOND)
    return {
        "all owned": float("inf") if owned is None else owned / SECOND,
        "octets": (sum(fleet.gossip.octets.values()) - sent) / MEASURED_S / GATEWAYS,
        "processor": (time.process_time() - began) / MEASURED_S / GATEWAYS * 100,
        "most carried": max(fleet.loads().values()),
    }


def map_by_zones(zones: int, seed: int) -> Values:
    """Measure gateways that share a latency map of the given number of zones."""
    trips = sites(zones, seed)
    fleet = MapFleet(spread_over(MAP_GATEWAYS, trips), trips, seed, probes=0.5)
    fleet.run(60)
    sent, began = sum(fleet.gossip.octets.values()), time.process_time()
    fleet.run(MEASURED_S)
    processor = (time.process_time() - began) / MEASURED_S / MAP_GATEWAYS * 100
    part = next(iter(fleet.parts.values()))
    _, unknown = fleet.errors(own=False)
    return {
        "octets": (sum(fleet.gossip.octets.values()) - sent) / MEASURED_S / MAP_GATEWAYS,
        "processor": processor,
        "unknown ways": unknown / len(fleet.parts),
        "ways": len(part.zone_latencies(fleet.gossip.own(next(iter(fleet.parts))))),
    }


def rollout_by_gateways(gateways: int, seed: int) -> Values:
    """Measure a good change through all stages: seconds until all gateways have changed, and octets meanwhile."""
    world = World(zoned(gateways, 3), seed=seed)
    world.run(30)
    sent, began = sum(world.gossip.octets.values()), world.gossip.now
    world.ask(
        change(
            stages=STAGES, hold=20 * SECOND, most_at_once=max(1, gateways // 12), longest=1800 * SECOND, worse_by=0.02
        )
    )
    finished_at = world.until(lambda: len(world.said("finished")) == gateways, 3600)
    elapsed_s = (world.gossip.now - began) / SECOND
    return {
        "over": float("inf") if finished_at is None else (finished_at - began) / SECOND,
        "octets": (sum(world.gossip.octets.values()) - sent) / elapsed_s / gateways,
    }


LINES = (
    Line(
        "feeds-channels",
        "Leases and feeds by channels",
        "channels",
        (6, 12, 24, 48),
        1300,
        (
            Quantity("all owned", "s", COUNTED),
            Quantity("octets", "octets/s", COUNTED),
            Quantity("processor", "% of a core"),
            Quantity("most carried", "channels", COUNTED),
        ),
        feeds_by_channels,
        "Twelve gateways that would all carry and that all follow every channel; an item of six octets a second on each,"
        " leases of 3 s. The target size is a channel for each group of three of 3,900 databases, which every gateway"
        " follows. Values are of one gateway.",
        small=(6,),
        runs=1,
    ),
    Line(
        "map-zones",
        "The latency map by zones",
        "zones",
        (3, 6, 11, 22),
        11,
        (
            Quantity("octets", "octets/s", COUNTED),
            Quantity("processor", "% of a core"),
            Quantity("unknown ways", "a gateway", COUNTED),
            Quantity("ways", "known", COUNTED),
        ),
        map_by_zones,
        "44 gateways; each sees a round trip to each zone every two seconds. The link's own octets are in.",
        small=(3,),
        runs=1,
    ),
    Line(
        "rollout-gateways",
        "A rollout by gateways",
        "gateways",
        (8, 16, 32, 64),
        1800,
        (Quantity("over", "s", COUNTED), Quantity("octets", "octets/s", COUNTED)),
        rollout_by_gateways,
        "A sound change in four stages of 20 s each at least, a twelfth at once; the link's and the leases' octets are in.",
        small=(8,),
        runs=1,
    ),
)
