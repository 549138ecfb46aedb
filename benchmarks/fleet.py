"""Lists and durable state: what they cost, by size."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from twisted.internet.task import Clock

from benchmarks.common import keep, table
from yardbank.gateway import Gateway, ServerSpec
from yardbank.interface import RequestClass, Settings
from yardbank.server_list import Apply, ServerListLifecycle, read_set
from yardbank.server_list.document import render
from yardbank.server_list.watcher import Watcher
from yardbank.state import Snapshot, Store, encode
from yardbank.state.snapshot import GroupState, ServerState

MS = 1_000_000


class Silent:
    """A log that keeps nothing."""

    def bind(self, **facts: Any) -> Silent:
        """The same log."""
        return self

    def is_enabled_for(self, level: int) -> bool:
        """No level is."""
        return False

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **facts: None


def servers(count: int, changed: int = -1) -> list[ServerSpec]:
    return [
        ServerSpec(
            f"s{n}", f"g{n // 5}", "z", "127.0.0.1", 1024 + n, n % 5 == 0, "draining" if n == changed else "ready"
        )
        for n in range(count)
    ]


def gateway() -> Gateway:
    kind = RequestClass("read", 400 * MS, 1000 * MS, 1, 0, "safe", read="any")
    clock = Clock()
    clock.advance(100)
    return Gateway(Settings(1, "z", 1, (kind,)), None, reactor=clock, seconds=clock.seconds, log=Silent())  # type: ignore[arg-type]


def apply_cost(count: int) -> tuple[float, float, float]:
    """Milliseconds: a list read for the first time; again with one line changed; that change applied."""
    groups = {f"g{n}" for n in range(count // 5 + 1)}
    first, life, made = [], [], []
    for turn in range(5):
        membership, target = ServerListLifecycle(groups, settle=0), gateway()
        text = render(servers(count)).encode()
        began = time.perf_counter()
        (action,) = membership.seen(1, {"l": text})
        assert isinstance(action, Apply)
        first.append(time.perf_counter() - began)
        target.apply_list(action.fleet.servers, 1)
        changed = render(servers(count, changed=1 + turn % (count - 1))).encode()
        began = time.perf_counter()
        (action,) = membership.seen(2, {"l": changed})
        life.append(time.perf_counter() - began)
        assert isinstance(action, Apply)
        began = time.perf_counter()
        assert action.delta is not None
        target.apply_changes({name: now for name, (_, now) in action.delta.items()}, 2)
        made.append(time.perf_counter() - began)
    return tuple(statistics.median(times) * 1e3 for times in (first, life, made))  # type: ignore[return-value]


def seen_cost(count: int, turns: int) -> list[float]:
    """Milliseconds from a file renamed into place to the list applied, notified by the system."""
    from twisted.internet import defer, reactor

    folder = Path(tempfile.mkdtemp())
    path = folder / "list.hcl"
    path.write_text(render(servers(count)))
    groups = {f"g{n}" for n in range(count // 5 + 1)}
    applied: list[float] = []
    target = gateway()
    waiting: list[defer.Deferred[None]] = []

    def act(action: Any) -> None:
        if action.delta is None:
            target.apply_list(action.fleet.servers, action.number)
        else:
            target.apply_changes({name: now for name, (_, now) in action.delta.items()}, action.number)
        applied.append(time.perf_counter())
        if waiting:
            waiting.pop().callback(None)

    membership = ServerListLifecycle(groups)
    now = lambda: time.monotonic_ns()  # noqa: E731
    watcher = Watcher(path, membership, act, reactor=reactor, now=now, log=Silent(), every=60.0)
    found: list[float] = []

    @defer.inlineCallbacks
    def play() -> Any:
        first: defer.Deferred[None] = defer.Deferred()
        waiting.append(first)
        watcher.start()
        yield first
        for turn in range(turns):
            new = folder / "new"
            new.write_text(render(servers(count, changed=1 + turn % (count - 1))))
            done: defer.Deferred[None] = defer.Deferred()
            waiting.append(done)
            began = time.perf_counter()
            new.replace(path)
            yield done
            found.append((applied[-1] - began) * 1e3)
        watcher.stop()

    play().addErrback(lambda failure: failure.printTraceback()).addBoth(lambda _: reactor.crash())
    reactor.run(installSignalHandlers=False)
    return found


def snapshot_cost(count: int) -> tuple[int, float, float]:
    """Octets, and milliseconds to write and to read."""
    marks: dict[str, list[int | str]] = {"001": ["20260101000000.000000Z", 1, 0]}
    kept = [ServerState(s.name, s.group, s.zone, s.host, s.port, s.primary, marks=marks) for s in servers(count)]
    snapshot = Snapshot(1.0, 1, "d", False, kept, [GroupState(f"g{n}", marks) for n in range(count // 5)])
    store = Store(Path(tempfile.mkdtemp()) / "s")
    writes, reads = [], []
    for _ in range(5):
        began = time.perf_counter()
        store.write(snapshot)
        writes.append(time.perf_counter() - began)
        began = time.perf_counter()
        store.read()
        reads.append(time.perf_counter() - began)
    store.close()
    return len(encode(snapshot)), statistics.median(writes) * 1e3, statistics.median(reads) * 1e3


def main() -> None:
    """Measure and keep."""
    rows, kept = [], []
    for count in (10, 1_000, 10_000):
        first, life, made = apply_cost(count)
        seen = sorted(seen_cost(count, 30 if count < 10_000 else 10))
        rows.append(
            [
                f"{count:,}",
                f"{first:.1f}",
                f"{life:.1f}",
                f"{made:.2f}",
                f"{statistics.median(seen):.0f}",
                f"{seen[-1]:.0f}",
            ]
        )
        octets, write, read = snapshot_cost(count)
        kept.append([f"{count:,}", f"{octets:,}", f"{write:.1f}", f"{read:.1f}"])
    assert read_set({"l": render(servers(10)).encode()}, {"g0", "g1"}).servers
    head = [
        "servers",
        "first read ms",
        "read with one line changed ms",
        "that change applied ms",
        "renamed to applied, p50 ms",
        "most ms",
    ]
    notes = ["Medians of 5; renamed to applied over 30 changes (10 at 10,000), of which 20 ms are the settle time."]
    more = ["Sessions are not kept: floors stand in their place, so the size does not grow with them."]
    keep(
        "fleet",
        "Lists and durable state",
        [
            table("Lists", head, rows, notes),
            table("Snapshots", ["servers", "octets", "write ms", "read ms"], kept, more),
        ],
    )


if __name__ == "__main__":
    main()
