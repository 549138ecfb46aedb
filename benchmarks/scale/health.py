"""Health of databases: cost of evaluating reports on them, and probes sent by the whole fleet."""

from __future__ import annotations

from random import Random

from benchmarks.scale.decisions import DATABASES, START, members, settings, specs
from benchmarks.scale.line import COUNTED, Line, Quantity, Values
from benchmarks.scale.memory import processor_ms
from yardbank.cluster.peers.datagram import HealthReport
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.outlier_consensus import reach_consensus
from yardbank.cluster.peers.report_store import SILENT
from yardbank.cluster.peers.sharing import Sharing
from yardbank.cluster.peers.transport import JUDGE_INTERVAL
from yardbank.interface import ServerList
from yardbank.policy import Router
from yardbank.testing.rig.virtual import Fleet
from yardbank.testing.rig.virtual_world import World

SECOND = 1_000_000_000
EVALUATIONS_PER_S = SECOND / JUDGE_INTERVAL  # evaluations per second, if datagrams arrive that often
REPORTED_DATABASES = 4  # databases that others report as failing
RATE, LENGTH = 240.0, 12.0  # first attempts per second of the whole fleet; seconds


def sharing_by_databases(databases: int, seed: int) -> Values:
    """Measure one gateway's sharing: evaluating reports and publishing figures, as a share of a core."""
    router = Router(settings())
    router.handle(START, ServerList("saved", members(databases)))
    listed = {spec.name: spec for spec in specs(databases)}
    numbers = {name: number for number, name in enumerate(listed)}
    sharing = Sharing(router, listed, numbers, lambda: dict.fromkeys(listed, 1), {}, lambda event: None)
    node = GossipNode("g0000", "porting", [b"k" * 32], 1, Random(seed))
    node.listed(START, [f"g{number:04}" for number in range(20)])
    reports = [
        HealthReport(f"g{n:04}", 1, n + 1, f"db-{d:05}", 0, SILENT, 10)
        for n in range(1, 4)
        for d in range(REPORTED_DATABASES)
    ]
    node.report_store.receive(START, reports)

    def evaluate() -> None:
        own = sharing.first_hand(START)
        node.report_store.record_first_hand(START, own)
        sharing.apply_consensus(reach_consensus(START, node.report_store, sharing.listed(), own, lambda name: 0.5))

    def publish() -> None:
        node.counters.update(sharing.figures())

    evaluate_ms, publish_ms = processor_ms(evaluate, 30), processor_ms(publish, 10)
    return {
        "one judgement": evaluate_ms,
        "figures": publish_ms,
        "processor": (evaluate_ms * EVALUATIONS_PER_S + publish_ms) / 10,
    }


def questions_by_gateways(gateways: int, seed: int) -> Values:
    """Measure probes, opened and held connections of each database, at constant traffic and number of databases."""
    world = World(seed=seed, gateways=gateways, groups=4, copies=5, rate=RATE, length=LENGTH)
    fleet = Fleet(world, Router)
    counts: dict[str, int] = {}
    fleet.count = lambda what: counts.__setitem__(what, counts.get(what, 0) + 1)  # type: ignore[method-assign]
    fleet.run()
    servers = len(fleet.servers)
    held = sum(sum(gateway._idle.values()) for gateway in fleet.gateways)
    busiest = max(sum(gateway._idle[number] for gateway in fleet.gateways) for number in fleet.servers)
    return {
        "asked": counts.get("probes", 0) / servers / LENGTH,
        "opened": counts.get("connections", 0) / servers / LENGTH,
        "held": held / servers,
        "most held": busiest,
        "asked by one gateway": counts.get("probes", 0) / gateways / LENGTH,
    }


LINES = (
    Line(
        "sharing-databases",
        "Words on databases: one gateway's judging and telling, by databases",
        "databases",
        DATABASES,
        3900,
        (Quantity("one judgement", "ms"), Quantity("figures", "ms"), Quantity("processor", "% of a core")),
        sharing_by_databases,
        "What a gateway with a `peers` block does beside the link itself: its own findings taken, others' words judged (five"
        " times a second, as datagrams come), its counts told (once a second). Four databases are doubted by three.",
        small=(100,),
    ),
    Line(
        "questions-gateways",
        "What databases are asked by the whole fleet, by gateways",
        "gateways",
        (25, 50, 100, 200, 400),
        1800,
        (
            Quantity("asked", "questions/s a database", COUNTED),
            Quantity("opened", "connections/s a database", COUNTED),
            Quantity("held", "connections a database", COUNTED),
            Quantity("most held", "connections", COUNTED),
            Quantity("asked by one gateway", "questions/s", COUNTED),
        ),
        questions_by_gateways,
        "The virtual fleet: 240 first tries a second over 24 databases in four groups, the same at each size; 12 s. So each"
        " gateway has less traffic, the more there are, and what each asks for itself adds up.",
        small=(25,),
        runs=2,
    ),
)
