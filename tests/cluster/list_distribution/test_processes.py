"""List distribution between processes under faults, and detection of gateways with seeded faults."""

import json
import os
import subprocess
import sys

import pytest

from yardbank.testing.audit.distributed import distributed, disturbed, due

SCENARIO = """
title = "small"
fleet {
  gateways   = 4
  peers      = true
  publishers = ["g2", "g3"]
}
group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 2
}
load {
  rate   = 20
  length = "13s"
}
step "first" {
  do  = "publish"
  at  = "1s"
  who = ["numbers-1"]
}
step "second" {
  do  = "publish"
  at  = "5s"
  who = ["numbers-2"]
}
claim "held" {
  kind   = "distributed"
  within = "4s"
}
"""


def test_list_is_distributed_while_its_publisher_dies(tmp_path):
    out = tmp_path / "out.json"
    command = [sys.executable, "-m", "yardbank", "rig", "run", "list-changes", "--json", str(out)]
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    assert process.returncode == 0, process.stdout + process.stderr
    assert all(claim["held"] for claim in json.loads(out.read_text())["claims"])


FAULTS = {
    "deaf_to_lists": "g1 does not hold",
    "alters_entries": "with other contents",
    "goes_back": "g1 goes back",
    "appoints_itself": "with other contents",
}
# Set by ``make rig``; running all scenarios on every change takes too long.
ALL_SCENARIOS = "YARDBANK_EVERY_SCENARIO" in os.environ
DEFAULT_FAULTS = ["deaf_to_lists", "alters_entries"]


@pytest.mark.parametrize(
    ("fault", "seen"), [(name, FAULTS[name]) for name in (FAULTS if ALL_SCENARIOS else DEFAULT_FAULTS)]
)
def test_gateway_with_a_seeded_fault_is_detected(fault, seen, tmp_path):
    file = tmp_path / "s.hcl"
    file.write_text(SCENARIO)
    command = [sys.executable, "-m", "tests.support.rig_runner", fault, str(file), str(tmp_path / "folder")]
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    assert process.returncode == 0, process.stdout + process.stderr
    (claim,) = json.loads(process.stdout.splitlines()[-1])["claims"]
    assert not claim["held"] and seen in claim["seen"], claim


def holds_fact(at, gateway, number, digest="d", epoch=1):
    return {"kind": "holds", "at": at, "gateway": gateway, "epoch": epoch, "number": number, "digest": digest}


def step_fact(at, name):
    return {"kind": "step", "at": at, "name": name, "phase": "begin"}


LOAD_OVER = {"kind": "load_over", "at": 60.0}
GATEWAYS = ["g1", "g2"]


@pytest.mark.parametrize(
    ("facts", "held", "seen"),
    [
        (
            [step_fact(1, "p"), holds_fact(2, "g1", 1), holds_fact(3, "g2", 1), LOAD_OVER],
            True,
            "1 versions, 2 times held in time",
        ),
        ([step_fact(1, "p"), holds_fact(2, "g1", 1), LOAD_OVER], False, "g2 does not hold 1.1"),
        (
            [step_fact(1, "p"), holds_fact(2, "g1", 1), holds_fact(10, "g2", 1), LOAD_OVER],
            False,
            "g2 does not hold 1.1",
        ),
        (
            [holds_fact(2, "g1", 1), holds_fact(3, "g2", 1, "e"), LOAD_OVER],
            False,
            "g2 and g1 hold 1.1 with other contents",
        ),
        ([holds_fact(2, "g1", 2), holds_fact(3, "g1", 1), LOAD_OVER], False, "g1 goes back from 1.2 to 1.1"),
        ([holds_fact(2, "g1", 1), step_fact(3, "p"), LOAD_OVER], False, "what was put up last was never published"),
        ([LOAD_OVER], False, "what was put up last was never published"),
        (
            [
                step_fact(1, "p"),
                {"kind": "process", "at": 1.5, "name": "g2", "what": "pause"},
                holds_fact(2, "g1", 1),
                {"kind": "process", "at": 20, "name": "g2", "what": "resume"},
                holds_fact(26, "g2", 1),
                LOAD_OVER,
            ],
            True,
            "2 times",
        ),
        (
            [
                step_fact(1, "p"),
                {"kind": "link", "at": 1.5, "from": "g1", "to": "g2", "sound": False},
                holds_fact(2, "g1", 1),
                {"kind": "link", "at": 20, "from": "g1", "to": "g2", "sound": True},
                holds_fact(28, "g2", 1),
                LOAD_OVER,
            ],
            False,
            "g2 does not hold",
        ),
        (
            [
                step_fact(1, "p"),
                holds_fact(2, "g1", 1),
                {"kind": "process", "at": 3, "name": "g1", "what": "start"},
                {"kind": "process", "at": 4, "name": "g1", "what": "ready"},
                holds_fact(5, "g1", 0, "z", 0),
                holds_fact(6, "g1", 1),
                holds_fact(6, "g2", 1),
                LOAD_OVER,
            ],
            True,
            "1 versions",
        ),
    ],
)
def test_distributed_claim_judges_facts(facts, held, seen):
    found = distributed(facts, GATEWAYS, ["p"])
    assert found.held is held and seen in found.seen


def test_deadline_restarts_at_the_end_of_each_disturbance():
    facts = [
        {"kind": "process", "at": at, "name": "g1", "what": what}
        for at, what in ((1, "pause"), (4, "resume"), (9, "kill"), (12, "ready"))
    ]
    spans = disturbed(facts, ["g1"])["g1"]
    assert [(span.begin, span.end) for span in spans] == [(1, 4), (9, 12)]
    assert due(2, 7, spans) == 19 and due(13, 7, spans) == 20 and due(0, 0.5, spans) == 0.5
