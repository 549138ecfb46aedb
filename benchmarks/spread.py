"""Searches over many groups, compared with one search per group, and with a slow group: python -m benchmarks.spread."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from benchmarks.common import keep, table
from yardbank.cli.common import set_up_logs
from yardbank.directory.codes import Scope
from yardbank.ldap import messages as m
from yardbank.testing.demo.world import BASE, DESK_DN, DESK_PASSWORD, Recorder, World
from yardbank.testing.rig.client import Client, connect
from yardbank.testing.standin.server import Capacity

ENTRIES, PARTS = 50, 16
CLASSES = """
class "lookup" {
  effect    = "safe"
  read      = "bounded"
  staleness = "800ms"
  aim       = "2s"
  deadline  = "5s"
  match {
    operation = ["search", "compare"]
  }
}
"""


class FirstEntryClient(Client):
    """A client that records when the first entry of an answer arrived."""

    first_at = 0.0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record the arrival of the first entry."""
        super().dataReceived(data)
        if not self.first_at and any(pending.answer.entries for pending in self._asked.values()):
            self.first_at = time.perf_counter()


def make_world(reactor: Any, count: int) -> World:
    groups = {f"g{i}": f"ou=g{i},{BASE}" for i in range(count)}
    members = {name: [(f"{name}-{i}", "norte") for i in range(2)] for name in groups}
    capacity = Capacity(slots=64, queue=1000, read_s=0.0005)
    return World(
        reactor,
        Recorder(),
        daemon=True,
        groups=groups,
        members=members,
        classes=CLASSES,
        capacity=capacity,
        listener=f"  parts = {PARTS}\n",
    )


def search_all_groups(client: Client) -> Deferred[Any]:
    return client.request(m.SearchRequest(BASE, Scope.SUBTREE, m.Present("objectClass")))


@inlineCallbacks
def search_each_group(client: Client, suffixes: list[str]) -> Generator[Deferred[Any], Any, int]:
    """Search each group separately, with as many requests in parallel as the gateway uses."""
    found, waiting = 0, list(suffixes)

    @inlineCallbacks
    def worker() -> Generator[Deferred[Any], Any, None]:
        nonlocal found
        while waiting:
            request = m.SearchRequest(waiting.pop(), Scope.SUBTREE, m.Present("objectClass"))
            answer = yield client.request(request)
            assert answer.code == 0, answer
            found += len(answer.entries)

    yield gatherResults([worker() for _ in range(PARTS)])
    return found


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@inlineCallbacks
def measure(reactor: Any, count: int, rows: list[Any], slow: list[Any]) -> Generator[Deferred[Any], Any, None]:
    world = make_world(reactor, count)
    world.load(ENTRIES)
    yield world.start_gateway()
    client: Any = yield connect(reactor, "127.0.0.1", world.port, "bench")
    client.__class__ = FirstEntryClient
    yield client.bind(DESK_DN, DESK_PASSWORD)
    suffixes, wanted = list(world.groups.values()), count * (ENTRIES + 1)
    for _ in range(3):  # warm-up of connections and positions
        yield search_each_group(client, suffixes)
    spread, hand = [], []
    for _ in range(max(6, 300 // count)):  # alternating, so that both run under the same conditions
        began = time.perf_counter()
        answer = yield search_all_groups(client)
        spread.append(time.perf_counter() - began)
        assert answer.code == 0 and len(answer.entries) == wanted + 1, (answer.code, answer.diagnostic)
        began = time.perf_counter()
        found = yield search_each_group(client, suffixes)
        hand.append(time.perf_counter() - began)
        assert found == wanted
    ratio = statistics.median(b / a for a, b in zip(spread, hand, strict=True))
    rows.append(
        [
            str(count),
            f"{wanted / statistics.median(spread):,.0f}",
            f"{wanted / statistics.median(hand):,.0f}",
            f"{ratio:.2f}",
        ]
    )
    for name, factor in (("all well", 1.0), ("one group 200 times slower", 200.0)):
        for server in ("g0-0", "g0-1"):
            world.servers[server].faults.slow = factor
        first, final = [], []
        for _ in range(60 if count < 200 else 20):
            client.first_at, began = 0.0, time.perf_counter()
            answer = yield search_all_groups(client)
            first.append((client.first_at - began) * 1e3)
            final.append((time.perf_counter() - began) * 1e3)
            assert answer.code == 0, (answer.code, answer.diagnostic)
        slow.append([str(count), name, *(f"{quantile(v, q):.1f}" for v in (first, final) for q in (0.5, 0.99))])
    client.leave()
    yield world.stop_gateway()
    world.close()


def main() -> None:
    """Measure and store the results."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    set_up_logs("error", "console")
    rows: list[Any] = []
    slow: list[Any] = []
    failed: list[Any] = []

    @inlineCallbacks
    def play() -> Generator[Deferred[Any], Any, None]:
        for count in (2, 20, 200):
            yield measure(reactor, count, rows, slow)

    done = play()
    done.addErrback(failed.append)
    stop: Callable[[Any], Any] = lambda _: reactor.callLater(0, reactor.stop)  # noqa: E731
    done.addBoth(stop)
    reactor.run()
    if failed:
        raise SystemExit(failed[0].getTraceback())
    notes = [
        f"Each group: two stand-ins, {ENTRIES} entries; one gateway process; client and stand-ins share the other. By "
        f"hand: the client asks each group by itself, {PARTS} at once as the gateway does. Ratio: medians of pairs."
    ]
    keep(
        "spread",
        "Searches that span groups",
        [
            table(
                "Entries a second",
                ["groups", "one search", "by hand", "time by hand / time of one search"],
                rows,
                notes,
            ),
            table(
                "Milliseconds to the first entry and the final answer",
                ["groups", "", "first p50", "first p99", "final p50", "final p99"],
                slow,
                ["The first entry is the glue entry's, which the gateway holds itself."],
            ),
        ],
    )


if __name__ == "__main__":
    main()
