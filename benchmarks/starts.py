"""Time from the start of a gateway process to its first successful answer, with and without durable state."""

from __future__ import annotations

import statistics
import tempfile
import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from benchmarks.common import keep, table
from benchmarks.kills import write_list
from yardbank.cli.common import set_up_logs
from yardbank.directory.codes import Code
from yardbank.ldap import messages as m
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD, REQUESTS, Recorder, World
from yardbank.testing.rig.client import connect

RUNS = 3


@inlineCallbacks
def first_answer(world: World, list_delay_s: float) -> Generator[Deferred[Any], Any, float]:
    """Return seconds until a session read succeeds; the list is written ``list_late`` seconds after the start."""
    reactor, path = world.reactor, world.watched
    assert path is not None
    if list_delay_s:
        path.unlink(missing_ok=True)
        reactor.callLater(list_delay_s, write_list, world, path)
    began = time.monotonic()
    yield world.start_gateway()
    while True:
        client = yield connect(reactor, "127.0.0.1", world.port, "c")
        yield client.bind(DESK_DN, DESK_PASSWORD)
        answer = yield client.request(m.SearchRequest(f"cn=1,{REQUESTS}", 0, m.Present("cn")))
        client.leave()
        if answer.code == Code.SUCCESS:
            return time.monotonic() - began
        yield deferLater(reactor, 0.005, lambda: None)


@inlineCallbacks
def play(reactor: Any, times_by_case: dict[str, list[float]]) -> Generator[Deferred[Any], Any, None]:
    """Run all cases in turn, several times."""
    for _ in range(RUNS):
        for name, durable, list_delay_s in (
            ("fresh, list there", False, 0.0),
            ("warm, list there", True, 0.0),
            ("fresh, list 2 s late", False, 2.0),
            ("warm, list 2 s late", True, 2.0),
        ):
            world = World(reactor, Recorder(), daemon=True, durable=durable, session_by="identity")
            world.load(5)
            world.watched = Path(tempfile.mkdtemp()) / "list.hcl"
            write_list(world, world.watched)
            yield first_answer(world, 0.0)
            yield world.kill_gateway()
            times_by_case.setdefault(name, []).append((yield first_answer(world, list_delay_s)))
            yield world.stop_gateway()
            world.close()


def main() -> None:
    """Measure and store the results."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    set_up_logs("error", "console")
    times_by_case: dict[str, list[float]] = {}
    finished = play(reactor, times_by_case)
    finished.addErrback(lambda failure: failure.printTraceback())
    finished.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    rows = [
        [name, f"{statistics.median(times):.2f}", f"{min(times):.2f} to {max(times):.2f}"]
        for name, times in times_by_case.items()
    ]
    notes = [
        f"{RUNS} runs each, cases in turn; from starting the process to the first session read served, after a kill -9."
    ]
    head = ["start", "seconds, median", "range"]
    keep("starts", "Start to first good answer", [table("After a kill", head, rows, notes)])


if __name__ == "__main__":
    main()
