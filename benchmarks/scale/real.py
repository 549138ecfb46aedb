"""Comparison of hollow gateways with real ones: python -m benchmarks.scale.real [--gateways N].

Runs the same fleet twice: as processes of the test rig, and as hollow gateways. Both publish a change every two
seconds. A value is called unbacked if its two figures differ by more than a fifth.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from statistics import mean

from benchmarks.common import machine, table
from benchmarks.scale.__main__ import commit
from benchmarks.scale.gossip import mark_all_known
from benchmarks.scale.hollow import HollowFleet
from benchmarks.scale.line import FOLDER

SECOND = 1_000_000_000
LENGTH, CHANGE_INTERVAL = 24, 2  # seconds: of the run, between two changes
SERVERS = 12
MAX_DIFFERENCE = 0.2  # relative difference of the two figures up to which a value is backed
SCENARIO = """
title = "Gateways with a published list, for comparison with hollow ones"
fleet {{
  gateways   = {gateways}
  peers      = true
  period     = "1s"
  publishers = ["g1"]
}}
group "numbers" {{
  suffix  = "ou=numbers,dc=porting"
  servers = {servers}
}}
load {{
  rate    = 2
  clients = 4
  length  = "{length}s"
}}
{steps}
claim "distributed" {{
  kind = "distributed"
}}
"""
STEP = 'step "change {at}" {{\n  do = "publish"\n  at = "{at}s"\n  who = ["numbers-{server}"]\n}}\n'


def in_force(published: dict[tuple[int, int], float], held: list[tuple[float, tuple[int, int]]]) -> list[float]:
    """Return seconds from the publication of a version to each announcement of it."""
    return [at - published[version] for at, version in held if version in published]


def run_processes(gateways: int) -> dict[str, float]:
    """Run the fleet as processes of the program."""
    steps = "".join(
        STEP.format(at=at, server=1 + at // CHANGE_INTERVAL % SERVERS) for at in range(8, LENGTH - 4, CHANGE_INTERVAL)
    )
    with tempfile.TemporaryDirectory() as folder:
        file, results_folder = Path(folder) / "s.hcl", Path(folder) / "kept"
        file.write_text(SCENARIO.format(gateways=gateways, servers=SERVERS, length=LENGTH, steps=steps))
        command = [sys.executable, "-m", "yardbank", "rig", "run", str(file), "--keep", str(results_folder)]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode:
            raise SystemExit(done.stdout + done.stderr)
        facts = [json.loads(line) for line in (results_folder / "record.jsonl").read_text().splitlines()]
    began = min(fact["at"] for fact in facts if fact["kind"] == "peer_start")  # octets are counted from here
    ended = next(fact["at"] for fact in facts if fact["kind"] == "load_over")
    first: dict[tuple[int, int], float] = {}
    last: dict[tuple[int, int], float] = {}
    for fact in facts:
        if fact["kind"] == "holds" and fact["number"] > 1:
            version = fact["epoch"], fact["number"]
            first.setdefault(version, fact["at"])
            last[version] = max(last.get(version, 0.0), fact["at"])
    octets = sum(fact["octets"] for fact in facts if fact["kind"] == "datagrams")
    return {
        "octets/s a gateway": octets / gateways / (ended - began),
        "versions": len(first),
        "last announcement of a version, s after the first": mean(last[one] - first[one] for one in first),
    }


def run_hollow_gateways(gateways: int, counts: bool, leases: bool) -> dict[str, float]:
    """Run the fleet as hollow gateways on the virtual clock."""
    fleet = HollowFleet(gateways, SERVERS, 1, counts, leases)
    fleet.publishers = fleet.names[:1]
    for name in fleet.names:
        fleet.start(name)
    mark_all_known(fleet)
    fleet.distribution[fleet.publisher].source(fleet.own(fleet.publisher), fleet.entries)
    random = Random(1)
    for at in range(8, LENGTH - 4, CHANGE_INTERVAL):
        fleet.at(at * SECOND, lambda: fleet.change(random))
    began = time.process_time()
    fleet.run(LENGTH * SECOND)
    spread = [max(version.held.values()) - version.at for version in fleet.versions.values()]
    return {
        "octets/s a gateway": sum(fleet.octets.values()) / gateways / LENGTH,
        "versions": len(fleet.versions),
        "last adoption of a version, s after the first": mean(spread) / SECOND,
        "processor, % of a core": (time.process_time() - began) / LENGTH / gateways * 100,
    }


def main() -> None:
    """Measure and store the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=24)
    gateways = parser.parse_args().gateways
    real, models = (
        run_processes(gateways),
        {"hollow": run_hollow_gateways(gateways, False), "hollow with counts": run_hollow_gateways(gateways, True)},
    )
    key = "octets/s a gateway"
    rows = []
    for name, model in models.items():
        difference = abs(real[key] - model[key]) / real[key]
        verdict = "backed" if difference <= MAX_DIFFERENCE else "unbacked"
        rows.append([f"{key}, {name}", f"{real[key]:.0f}", f"{model[key]:.0f}", f"{difference:.2f}", verdict])
    notes = [
        "Hollow gateways tell no counts of databases unless it is said, and have no lease; real ones do, and tell words.",
        "",
        f"Real: {json.dumps(real)}",
        *(f"\n{name}: {json.dumps(model)}" for name, model in models.items()),
    ]
    text = (
        f"# Real processes beside hollow gateways: {gateways} of each\n\nTaken on {commit()}; {machine()}. Again:"
        f" `python -m benchmarks.scale.real --gateways {gateways}`.\n\n"
    )
    text += table("The same fleet twice", ["what", "real", "hollow", "differ by", "so it is"], rows, notes)
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / "real.md").write_text(text)
    print(text)


if __name__ == "__main__":
    main()
