"""Lists published among processes, with faults between them; and copies with a fault of their own, which are found."""

import json
import os
import subprocess
import sys

import pytest

from yardbank.testing.audit.distributed import distributed, disturbed, due

SMALL = """
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


def test_a_list_is_published_while_its_publisher_dies(tmp_path):
    out = tmp_path / "out.json"
    command = [sys.executable, "-m", "yardbank", "rig", "run", "list-changes", "--json", str(out)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    assert all(claim["held"] for claim in json.loads(out.read_text())["claims"])


FAULTS = {
    "deaf_to_lists": "g1 does not hold",
    "alters_entries": "with other contents",
    "goes_back": "g1 goes back",
    "appoints_itself": "with other contents",
}
EVERY = "YARDBANK_EVERY_SCENARIO" in os.environ  # ``make rig`` sets it; with each change there is no time for all
OFTEN = ["deaf_to_lists", "alters_entries"]


@pytest.mark.parametrize(("fault", "seen"), [(name, FAULTS[name]) for name in (FAULTS if EVERY else OFTEN)])
def test_a_copy_with_a_fault_of_its_own_is_found(fault, seen, tmp_path):
    file = tmp_path / "s.hcl"
    file.write_text(SMALL)
    command = [sys.executable, "-m", "tests.support.rig_runner", fault, str(file), str(tmp_path / "folder")]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    (claim,) = json.loads(done.stdout.splitlines()[-1])["claims"]
    assert not claim["held"] and seen in claim["seen"], claim


def holds(at, gateway, number, digest="d", epoch=1):
    return {"kind": "holds", "at": at, "gateway": gateway, "epoch": epoch, "number": number, "digest": digest}


def step(at, name):
    return {"kind": "step", "at": at, "name": name, "phase": "begin"}


OVER = {"kind": "load_over", "at": 60.0}
TWO = ["g1", "g2"]


@pytest.mark.parametrize(
    ("facts", "held", "seen"),
    [
        ([step(1, "p"), holds(2, "g1", 1), holds(3, "g2", 1), OVER], True, "1 versions, 2 times held in time"),
        ([step(1, "p"), holds(2, "g1", 1), OVER], False, "g2 does not hold 1.1"),
        ([step(1, "p"), holds(2, "g1", 1), holds(10, "g2", 1), OVER], False, "g2 does not hold 1.1"),
        ([holds(2, "g1", 1), holds(3, "g2", 1, "e"), OVER], False, "g2 and g1 hold 1.1 with other contents"),
        ([holds(2, "g1", 2), holds(3, "g1", 1), OVER], False, "g1 goes back from 1.2 to 1.1"),
        ([holds(2, "g1", 1), step(3, "p"), OVER], False, "what was put up last was never published"),
        ([OVER], False, "what was put up last was never published"),
        (
            [
                step(1, "p"),
                {"kind": "process", "at": 1.5, "name": "g2", "what": "pause"},
                holds(2, "g1", 1),
                {"kind": "process", "at": 20, "name": "g2", "what": "resume"},
                holds(26, "g2", 1),
                OVER,
            ],
            True,
            "2 times",
        ),
        (
            [
                step(1, "p"),
                {"kind": "link", "at": 1.5, "from": "g1", "to": "g2", "sound": False},
                holds(2, "g1", 1),
                {"kind": "link", "at": 20, "from": "g1", "to": "g2", "sound": True},
                holds(28, "g2", 1),
                OVER,
            ],
            False,
            "g2 does not hold",
        ),
        (
            [
                step(1, "p"),
                holds(2, "g1", 1),
                {"kind": "process", "at": 3, "name": "g1", "what": "start"},
                {"kind": "process", "at": 4, "name": "g1", "what": "ready"},
                holds(5, "g1", 0, "z", 0),
                holds(6, "g1", 1),
                holds(6, "g2", 1),
                OVER,
            ],
            True,
            "1 versions",
        ),
    ],
)
def test_the_claim_on_its_own(facts, held, seen):
    found = distributed(facts, TWO, ["p"])
    assert found.held is held and seen in found.seen


def test_time_begins_anew_with_the_end_of_each_disturbance():
    facts = [
        {"kind": "process", "at": at, "name": "g1", "what": what}
        for at, what in ((1, "pause"), (4, "resume"), (9, "kill"), (12, "ready"))
    ]
    spans = disturbed(facts, ["g1"])["g1"]
    assert [(span.begin, span.end) for span in spans] == [(1, 4), (9, 12)]
    assert due(2, 7, spans) == 19 and due(13, 7, spans) == 20 and due(0, 0.5, spans) == 0.5
