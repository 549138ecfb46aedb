"""Rarely exercised situations in a fleet: small versions of the bundled scenarios, and seeded faults."""

import json
import os
import subprocess
import sys

import pytest

from yardbank.testing.rig.scenario import load_scenario, shipped

EVERY = "YARDBANK_EVERY_SCENARIO" in os.environ
# The smaller fleets get a proportionally tighter bound.
REDUCTIONS = {
    "moments-drain": {'"8s"': '"3800ms"'},  # no notification or drain is later than that
    "moments-leavers": {'"9s"': '"6s"'},
    "moments-cold": {'"12s"': '"8s"', "multiple = 1.0": "multiple = 0.5"},
}


def small(name, folder):
    """A bundled scenario with 5 gateways instead of 20."""
    text = shipped()[name].read_text()
    assert "gateways = 20" in text
    file = folder / f"{name}.hcl"
    for all_, few in {
        "gateways = 20": "gateways = 5",
        ', "g1?"': "",
        "rate    = 300": "rate    = 200",
        **REDUCTIONS[name],
    }.items():
        text = text.replace(all_, few)
    file.write_text(text)
    return file


SMALL = ["moments-drain"]  # ``make rig`` runs all three at full size, by test_fleet


@pytest.mark.parametrize("name", SMALL)
def test_a_small_fleet_passes_the_scenario(name, tmp_path):
    out, kept = tmp_path / "out.json", tmp_path / "kept"
    command = [
        sys.executable,
        "-m",
        "yardbank",
        "rig",
        "run",
        str(small(name, tmp_path)),
        "--json",
        str(out),
        "--keep",
        str(kept),
    ]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    facts = [json.loads(line) for line in (kept / "record.jsonl").read_text().splitlines()]
    first = {}
    for index, fact in enumerate(facts):
        first.setdefault((fact["kind"], fact.get("gateway"), fact.get("server"), fact.get("reached")), index)
    # Discovery is unreachable: the change is listed meanwhile, and sent when it is reachable again.
    for late in ("g2", "g3"):
        order = [
            ("discovery", late, None, False),
            ("listed", late, "numbers-2", None),
            ("discovery", late, None, True),
            ("told", late, "numbers-2", None),
        ]
        assert [first[key] for key in order] == sorted(first[key] for key in order)
    for late in ("g4", "g5"):
        assert first["listed", late, "requests-3", None] < first["told", late, "requests-3", None]
        assert ("told", "g1", "requests-3", None) not in first
    assert {fact["gateway"] for fact in facts if fact["kind"] == "begun"} == {f"g{n}" for n in range(1, 6)}
    assert load_scenario(shipped()[name]).fleet.gateways == 20


DEPARTURES_SCENARIO = """title = "small"
fleet {
  gateways = 2
}
group "numbers" {
  suffix = "ou=numbers,dc=porting"
}
load {
  rate    = 150
  length  = "2s"
  clients = 24
  session = "9s"
}
step "hung" {
  do    = "hang"
  at    = "300ms"
  lasts = "1s"
  who   = ["*"]
}
step "burst" {
  do    = "leave"
  at    = "800ms"
  share = 0.8
}
claim "judged" {
  kind = "gone_clients"
}
"""
FAULTS = {
    "keeps_the_gone": (None, "gone_clients", "attempts more than 0.1 s later"),
    "never_cold": ("moments-cold", "cold_sum", "calls within 2 s, from "),
    "hears_late": ("moments-drain", "told", "after it counts as told that it is draining"),
}
OFTEN = ["keeps_the_gone"]


@pytest.mark.parametrize("fault", FAULTS if EVERY else OFTEN)
def test_a_gateway_without_the_safeguard_is_found(fault, tmp_path):
    name, kind, text = FAULTS[fault]
    file = small(name, tmp_path) if name else tmp_path / "s.hcl"
    if not name:
        file.write_text(DEPARTURES_SCENARIO)
    command = [sys.executable, "-m", "tests.support.rig_runner", fault, str(file), str(tmp_path / "folder")]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    (judged,) = (one for one in json.loads(done.stdout.splitlines()[-1])["claims"] if one["kind"] == kind)
    assert not judged["held"] and text in judged["seen"] and judged["line"], judged
