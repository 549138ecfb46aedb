"""Gateways killed (kill -9) at random times under load, checked by the audit: python -m benchmarks.kills."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Generator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from benchmarks.common import keep, table
from yardbank.cli.common import set_up_logs
from yardbank.gateway.api import ServerSpec
from yardbank.server_list.document import render
from yardbank.testing.audit import judge
from yardbank.testing.audit.report import as_dict
from yardbank.testing.demo.day import ENTRIES, Session
from yardbank.testing.demo.world import MEMBERS, Recorder, World


def write_list(world: World, path: Path) -> None:
    """Write the current list and rename it into place."""
    specs = [
        ServerSpec(
            name,
            group,
            zone,
            "127.0.0.1",
            world.servers[name].port,
            name == world.listed_primary[group],
            world.states[name],
            time.time() - (time.monotonic() - world.servers[name].started) if world.servers[name].started else 0.0,
        )
        for group, members in MEMBERS.items()
        for name, zone in members
    ]
    new = path.with_name("new")
    new.write_text(render(specs))
    new.replace(path)


@inlineCallbacks
def run_scenario(world: World, random_source: random.Random) -> Generator[Deferred[Any], Any, None]:
    """Run load with lagging copies, a drain, a copy that restarts cold, and three kills."""
    reactor, path = world.reactor, world.watched
    assert path is not None
    sleep = lambda seconds: deferLater(reactor, seconds, lambda: None)  # noqa: E731
    yield world.start_gateway()
    sessions = [Session(world, number, 0.01) for number in range(4)]
    running_sessions = [session.live() for session in sessions]
    for name in ("n2", "n3", "r2", "r3"):
        world.servers[name].member.lag = random_source.choice([1, 30, 100])

    def drain() -> None:
        world.states["n3"] = "draining"
        write_list(world, path)
        reactor.callLater(0.1, world.record, {"kind": "told", "server": "n3", "state": "draining"})

    def restart() -> None:
        world.servers["r3"].restart()
        write_list(world, path)

    reactor.callLater(random_source.uniform(0.3, 1.5), drain)
    crashed = random_source.uniform(0.3, 1.2)
    reactor.callLater(crashed, world.servers["r3"].crash)
    reactor.callLater(crashed + 0.4, restart)
    for _ in range(3):
        yield sleep(random_source.uniform(0.05, 0.9))
        yield world.kill_gateway()
        yield world.start_gateway()
    yield sleep(0.5)
    for session in sessions:
        session.end()
    for running in running_sessions:  # noqa: UP028 - waits for one Deferred after the other
        yield running
    yield world.stop_gateway()


def run_seed(seed: int, durable: bool) -> None:
    """Run one seed in this process and print its verdict."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    set_up_logs("error", "console")
    record, folder = Recorder(), Path(tempfile.mkdtemp())
    world = World(reactor, record, seed=seed, daemon=True, session_by="identity", durable=durable)
    world.load(ENTRIES)
    world.watched = folder / "list.hcl"
    write_list(world, world.watched)
    failed: list[Any] = []
    done = run_scenario(world, random.Random(seed))
    done.addErrback(failed.append)
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    world.close()
    if failed:
        print(json.dumps({"error": failed[0].getErrorMessage()}))
        return
    print(json.dumps(as_dict(judge(record.facts))))


@click.command()
@click.argument("seed", type=int, required=False)
@click.option("--fresh", is_flag=True, help="Without durable state.")
@click.option("--seeds", default=200)
@click.option("--jobs", default=6)
def main(seed: int | None, fresh: bool, seeds: int, jobs: int) -> None:
    """Run one SEED, or many in parallel, with and without durable state."""
    if seed is not None:
        run_seed(seed, not fresh)
        return

    def play(task: tuple[int, bool]) -> dict[str, Any]:
        command = [sys.executable, "-m", "benchmarks.kills", str(task[0]), *([] if task[1] else ["--fresh"])]
        done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
        lines = done.stdout.strip().splitlines()
        found: dict[str, Any] = json.loads(lines[-1]) if lines else {"error": done.stderr[-500:]}
        return {"seed": task[0], "durable": task[1], **found}

    tasks = [(number, True) for number in range(seeds)] + [(number, False) for number in range(seeds // 4)]
    with ThreadPoolExecutor(jobs) as pool:
        found = list(pool.map(play, tasks))
    rows = []
    for durable in (True, False):
        results = [f for f in found if f["durable"] == durable]
        complete = [f for f in results if "error" not in f]
        served = sum(f["answers"]["served"] for f in complete)
        total = sum(sum(f["answers"].values()) for f in complete)
        broken = {name: sum(not f["rules"][name]["held"] for f in complete) for name in complete[0]["rules"]}
        named = ", ".join(f"{name} {count}" for name, count in broken.items() if count) or "none"
        judged = sum(rule["judged"] for f in complete for rule in f["rules"].values())
        rows.append(
            [
                "with" if durable else "without",
                str(len(complete)),
                str(len(results) - len(complete)),
                f"{judged:,}",
                named,
                f"{served / total:.4f}",
            ]
        )
        for f in results:
            if "error" in f:
                print(f["seed"], f["error"])
            elif not f["held"]:
                print(f["seed"], durable, [rule["found"][:1] for rule in f["rules"].values() if rule["found"]])
    head = [
        "durable state",
        "seeds judged",
        "seeds that broke off",
        "cases judged",
        "seeds that broke a rule",
        "served",
    ]
    notes = [
        "Each seed: a gateway process killed three times (kill -9) at random moments and started again with its last "
        "list, under four clients whose sessions outlive their connections, with lagging copies, a drain by file and a "
        "copy that returns cold; stand-in servers on loopback; judged from what crossed the sockets."
    ]
    keep("kills", "Gateways killed under load", [table("Rules over restarts", head, rows, notes)])


if __name__ == "__main__":
    main()
