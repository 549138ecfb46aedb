"""Gossip between gateways: python -m benchmarks.peers [--no-processes].

On a virtual clock: time to detect a dead gateway, false suspicions, octets. With processes of the test rig: one of five
copies hangs under light traffic, with sharing of health reports on and off in turn.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from statistics import mean

from benchmarks.common import chart, keep, table
from yardbank.cluster.peers.datagram import GONE, SUSPECT
from yardbank.cluster.peers.failure_detector import SECOND
from yardbank.testing.rig.gossip import GossipFleet
from yardbank.testing.rig.network import Effect

VIRTUAL_SIZES = (8, 24, 48, 200, 500)
PROCESS_SIZES = (8, 24, 48)
HOUR_S = 3600
RATE = 10  # requests per second of each gateway
OBSERVED_S = 300  # seconds without a fault during which false suspicions are counted


def measure_virtual_fleet(case: tuple[int, float, bool]) -> list[str]:
    """Measure one size, loss and kind of fleet: discovery, detection of a death, false suspicions, traffic."""
    size, loss, slow = case
    began = time.perf_counter()
    names = [f"g{number}" for number in range(size)]
    gossip = GossipFleet(names, seed=size)
    for name in names:
        gossip.start(name)
    all_found_at = gossip.run_until(gossip.agreed, 300 * SECOND)
    gossip.way = Effect(delay=0.0005, jitter=0.001, lose=loss)
    if slow:  # a tenth of the fleet pauses for 1.5 s at random times
        random = Random(size)
        for name in names[::10]:
            at = gossip.now
            while at < gossip.now + OBSERVED_S * SECOND:
                at += round(random.expovariate(1 / 20) * SECOND)
                gossip.at(at, lambda name=name: gossip.pause(name) if name in gossip.nodes else None)
                gossip.at(at + 3 * SECOND // 2, lambda name=name: gossip.resume(name))
    before, octets, since = len(gossip.history), dict(gossip.octets), gossip.now
    gossip.run(since + OBSERVED_S * SECOND)
    changes = [change for _, _, change in gossip.history[before:]]
    suspected = len({(c.name, c.incarnation) for c in changes if c.state == SUSPECT})
    gone = sum(c.state == GONE for c in changes)
    sent = [(gossip.octets[name] - octets[name]) / OBSERVED_S for name in names]
    gossip.way = Effect(delay=0.0005, jitter=0.001, lose=loss)
    gossip.run_until(gossip.agreed, 120 * SECOND)
    dead, killed = names[1], gossip.now
    gossip.kill(dead)
    rest = [name for name in names if name != dead]
    known = gossip.run_until(lambda: all(gossip.believes(name, dead) == GONE for name in rest), 300 * SECOND)
    first = min((at for at, _, whom in gossip.told(GONE) if whom == dead and at >= killed), default=None)
    elapsed = time.perf_counter() - began
    return [
        str(size),
        f"{loss:.0%}",
        "yes" if slow else "no",
        _seconds(all_found_at, 0),
        _seconds(first, killed),
        _seconds(known, killed),
        f"{suspected * HOUR_S / OBSERVED_S:.0f}",
        f"{gone * HOUR_S / OBSERVED_S:.0f}",
        f"{mean(sent):.0f}",
        f"{max(sent):.0f}",
        f"{100 * elapsed / (size * gossip.now / SECOND):.3f}",
    ]


def _seconds(at: int | None, since: int) -> str:
    return "never" if at is None else f"{(at - since) / SECOND:.1f}"


def draw(rows: list[list[str]]) -> None:
    """Draw the time until all gateways know of a death, by size and loss, as a chart beside the tables."""
    kinds = {"no loss": ("0%", "no"), "5 %": ("5%", "no"), "30 %": ("30%", "no"), "slow peers": ("0%", "yes")}
    bars = {
        label: [float(row[5]) if row[5] != "never" else 0.0 for row in rows if (row[1], row[2]) == kind]
        for label, kind in kinds.items()
    }
    chart("peers", "Seconds until all know of a death, by gateways", [str(size) for size in VIRTUAL_SIZES], bars)


SCENARIO = """
title = "One of five copies hangs under thin traffic"
fleet {{
  gateways = {gateways}
  peers    = {peers}
  period   = "1s"
}}
group "numbers" {{
  suffix  = "ou=numbers,dc=porting"
  servers = 6
}}
load {{
  clients = {clients}
  rate    = {rate}
  length  = "25s"
  writes  = 0.05
  session = "5s"
}}
step "hang" {{
  do    = "hang"
  at    = "8s"
  lasts = "12s"
  who   = ["numbers-4"]
}}
claim "rules" {{
  kind = "rules"
}}
"""


def measure_processes(gateways: int, peers: bool) -> list[str]:
    """Run one scenario: requests that met the bad server, requests served while it hung, and the cost."""
    with tempfile.TemporaryDirectory() as folder:
        file, results_folder = Path(folder) / "s.hcl", Path(folder) / "kept"
        text = SCENARIO.format(gateways=gateways, peers=str(peers).lower(), rate=RATE * gateways, clients=4 * gateways)
        file.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "yardbank", "rig", "run", str(file), "--keep", str(results_folder)],
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode == 2:
            raise SystemExit(done.stdout + done.stderr)
        facts = [json.loads(line) for line in (results_folder / "record.jsonl").read_text().splitlines()]
    begin = next(f["at"] for f in facts if f["kind"] == "step" and f["phase"] == "begin")
    end = next(f["at"] for f in facts if f["kind"] == "step" and f["phase"] == "end")
    load = next(f["at"] for f in facts if f["kind"] == "load_begun")
    gateway = {f["tag"]: f["gateway"] for f in facts if f["kind"] == "sent"}
    requests_at_bad_server = [
        f
        for f in facts
        if f["kind"] == "received" and f["server"] == "numbers-4" and f["op"] != "probe" and begin < f["at"] < end
    ]
    wanted = {f["want"] for f in facts if f["kind"] == "wanted" and begin < f["at"] < end}
    ends = [f for f in facts if f["kind"] == "done" and f["want"] in wanted]
    times = sorted(f["took"] for f in ends if f["end"] == "served")
    sent = [f["octets"] for f in facts if f["kind"] == "datagrams"]
    cpu = [f["seconds"] for f in facts if f["kind"] == "cpu"]
    length = max(f["at"] for f in facts if f["kind"] == "load_over") - load
    late = sum(took > 0.5 for took in times)
    return [
        str(gateways),
        "on" if peers else "off",
        str(len(requests_at_bad_server)),
        str(len({gateway.get(f["tag"]) for f in requests_at_bad_server})),
        f"{len(times) / len(wanted):.4f}",
        f"{late / len(wanted):.4f}",
        f"{times[int(0.99 * len(times))] * 1e3:.0f}",
        f"{sum(sent) / gateways / length:.0f}",
        f"{mean(cpu):.2f}",
        "held" if done.returncode == 0 else "BROKEN",
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-processes", action="store_true")
    skip_processes = parser.parse_args().no_processes
    runs = [(size, loss, False) for size in VIRTUAL_SIZES for loss in (0.0, 0.05, 0.3)] + [
        (s, 0.0, True) for s in VIRTUAL_SIZES
    ]
    with ProcessPoolExecutor(6) as pool:
        rows = list(pool.map(measure_virtual_fleet, runs))
    draw(rows)
    head = [
        "gateways",
        "loss",
        "slow peers",
        "all found, s",
        "a death known first, s",
        "to all, s",
        "suspicions an hour, false",
        "gone, false, an hour",
        "octets/s, mean",
        "most",
        "% of a core",
    ]
    notes = [
        "Deciders on a virtual clock, one probe a second; a delay of 0.5 to 1.5 ms. False ones are counted over five"
        " minutes: suspicions once for each that was suspected and refuted, 'gone' once for each gateway that believed it.",
        "Slow peers: a tenth of the fleet stops for 1.5 s every 20 s on average. Octets are of the datagrams alone.",
    ]
    tables = [table("Who is there, by size of the fleet", head, rows, notes)]
    if not skip_processes:
        rows = [measure_processes(gateways, peers) for gateways in PROCESS_SIZES for peers in (False, True)]
        head = [
            "gateways",
            "sharing",
            "requests that met it",
            "of gateways",
            "served meanwhile",
            "later than 0.5 s",
            "p99, ms",
            "octets/s a gateway",
            "CPU s a gateway",
            "five rules",
        ]
        notes = [
            f"Processes behind the rig, {RATE} requests a second at each gateway for 25 s; one of five copies hangs for"
            " 12 s. Shares are of what clients came to want in that time; all share this machine's cores."
        ]
        tables.append(table("One bad server, thin traffic, sharing off and on", head, rows, notes))
    keep("peers", "Gateways that know of each other", tables)


if __name__ == "__main__":
    main()
