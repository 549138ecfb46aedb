"""Cost of server lists and durable state, by size."""

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


class SilentLog:
    """A log that discards everything."""

    def bind(self, **facts: Any) -> SilentLog:
        """Returns the same log."""
        return self

    def is_enabled_for(self, level: int) -> bool:
        """Returns False: no level is enabled."""
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
    return Gateway(Settings(1, "z", 1, (kind,)), None, reactor=clock, seconds=clock.seconds, log=SilentLog())  # type: ignore[arg-type]


def apply_cost(count: int) -> tuple[float, float, float]:
    """Return milliseconds to read a list first, to read it with one changed line, and to apply that change."""
    groups = {f"g{n}" for n in range(count // 5 + 1)}
    first_read_times, change_read_times, apply_times = [], [], []
    for turn in range(5):
        membership, target = ServerListLifecycle(groups, settle=0), gateway()
        text = render(servers(count)).encode()
        began = time.perf_counter()
        (action,) = membership.seen(1, {"l": text})
        assert isinstance(action, Apply)
        first_read_times.append(time.perf_counter() - began)
        target.apply_list(action.fleet.servers, 1)
        changed = render(servers(count, changed=1 + turn % (count - 1))).encode()
        began = time.perf_counter()
        (action,) = membership.seen(2, {"l": changed})
        change_read_times.append(time.perf_counter() - began)
        assert isinstance(action, Apply)
        began = time.perf_counter()
        assert action.delta is not None
        target.apply_changes({name: now for name, (_, now) in action.delta.items()}, 2)
        apply_times.append(time.perf_counter() - began)
    return tuple(statistics.median(times) * 1e3 for times in (first_read_times, change_read_times, apply_times))  # type: ignore[return-value]


def notified_apply_cost(count: int, turns: int) -> list[float]:
    """Return milliseconds from renaming a file into place to applying the list, with change notifications."""
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
    watcher = Watcher(path, membership, act, reactor=reactor, now=now, log=SilentLog(), every=60.0)
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
    """Return the octets of a snapshot, and milliseconds to write and to read it."""
    marks: dict[str, list[int | str]] = {"001": ["20260101000000.000000Z", 1, 0]}
    server_states = [
        ServerState(s.name, s.group, s.zone, s.host, s.port, s.primary, marks=marks) for s in servers(count)
    ]
    snapshot = Snapshot(1.0, 1, "d", False, server_states, [GroupState(f"g{n}", marks) for n in range(count // 5)])
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
    """Measure and store the results."""
    rows, snapshot_rows = [], []
    for count in (10, 1_000, 10_000):
        first_read, change_read, apply = apply_cost(count)
        notified = sorted(notified_apply_cost(count, 30 if count < 10_000 else 10))
        rows.append(
            [
                f"{count:,}",
                f"{first_read:.1f}",
                f"{change_read:.1f}",
                f"{apply:.2f}",
                f"{statistics.median(notified):.0f}",
                f"{notified[-1]:.0f}",
            ]
        )
        octets, write, read = snapshot_cost(count)
        snapshot_rows.append([f"{count:,}", f"{octets:,}", f"{write:.1f}", f"{read:.1f}"])
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
            table("Snapshots", ["servers", "octets", "write ms", "read ms"], snapshot_rows, more),
        ],
    )


if __name__ == "__main__":
    main()
