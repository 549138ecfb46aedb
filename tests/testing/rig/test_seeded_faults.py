"""Seeded faults that the claims on channels, rollouts and latency maps must find, in small fleets of processes."""

import json
import os
import subprocess
import sys

import pytest

EVERY = "YARDBANK_EVERY_SCENARIO" in os.environ
FLEET = """title = "small"
fleet {
  gateways = 4
  peers = true
  %s = true
  term = "%s"
}
load {
  rate = 40
  length = "%s"
  longest = "%s"
}
group "numbers" {
  suffix = "ou=numbers,dc=porting"
}
claim "judged" {
  %s
}
"""
NOTICES = 'program "notices" {\n  who = ["g*"]\n  channels = 6\n}\n'
CUT = 'step "x" {\n  do = "cut"\n  at = "1s"\n  lasts = "3s"\n  from = ["g1"]\n  to = ["g*"]\n}\n'
DOUBLE = 'step "x" {\n  do = "double"\n  share = 0.5\n  from = ["g*"]\n  to = ["g*"]\n}\n'
SHORT = 'step "x" {\n  do = "lose"\n  share = 0.01\n  lasts = "1s"\n  from = ["g*"]\n  to = ["g*"]\n}\n'
ASK = 'step "x" {\n  do = "rollout"\n  rollout = "%s"\n  change = "in-service"\n  stages = [0.5, 1.0]\n  most = 4\n}\n'
STOP = 'step "y" {\n  do = "stop_rollout"\n  rollout = "%s"\n  after = "went_over"\n  at = "1s"\n  who = ["g2"]\n}\n'
FAR = 'step "x" {\n  do = "delay"\n  from = ["zone:norte"]\n  to = ["zone:sur"]\n  by = "30ms"\n}\n'


def rollout_name_starting_with_g1():
    """The name of a rollout whose first stage includes g1."""
    from yardbank.cluster.rollout.stage_plan import StagePlan

    zones = {f"g{n}": "norte" if n % 2 else "sur" for n in range(1, 5)}
    return next(name for n in range(100) if StagePlan(name := f"r-{n}", zones, [0.5, 1]).stage_of("g1") == 1)


CASES = [
    ("keeps_on", "channels", "6s", 'kind = "owners"', NOTICES + CUT, "g1 (epoch "),
    ("takes_twice", "channels", "4s", 'kind = "followers"', NOTICES + DOUBLE, "g1: notices-"),
    ("mute", "channels", "4s", 'kind = "owned_again"\n  after = "x"', NOTICES + SHORT, "has 0 owners"),
    ("restless", "channels", "8s", 'kind = "steady"\n  most = 6\n  after = "x"', NOTICES + SHORT, "changes of owner"),
    ("eager", "rollout", "6s", 'kind = "stages"\n  most = 4', ASK, "g1 went in stage 2 and had not found stage 1 well"),
    ("deaf_to_stop", "rollout", "12s", 'kind = "stopped"', ASK + STOP, "g1"),
    ("all_near", "atlas", "10s", 'kind = "map"\n  within = "5ms"\n  share = 0.2', FAR, "g1 says "),
]
# Without "keeps_on": it needs g1 to own a channel when it is cut off, and no step can wait for that.
FAULTS_IN_CI = {"eager", "all_near"}


def play(tmp_path, fault, part, length, claim, more):
    """Runs a small fleet whose first gateway has a seeded fault; returns the verdict on the claim."""
    file = tmp_path / "s.hcl"
    term, longest = ("3s", "30s") if part == "rollout" else ("1s", length)
    text_of = FLEET % (part, term, length, longest, claim)
    file.write_text(text_of + more.replace("%s", rollout_name_starting_with_g1() if part == "rollout" else ""))
    command = [sys.executable, "-m", "tests.support.rig_runner", fault, str(file), str(tmp_path / "folder")]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    (judged,) = json.loads(done.stdout.splitlines()[-1])["claims"]
    return judged


@pytest.mark.parametrize(("fault", "part", "length", "claim", "more", "text"), CASES, ids=[case[0] for case in CASES])
def test_a_seeded_fault_of_one_gateway_is_found(fault, part, length, claim, more, text, tmp_path):
    if not EVERY and fault not in FAULTS_IN_CI:
        pytest.skip("played by make rig")
    judged = play(tmp_path, fault, part, length, claim, more)
    assert not judged["held"] and text in judged["seen"], judged


# Guards against dropping all of a gateway's measurements unnoticed. They are out of range here, so the gateway must
# use the reports of others and count the dropped ones in its view.
def test_a_gateway_whose_measurements_are_all_dropped_uses_reports_of_others_and_counts_the_drops(tmp_path):
    if not EVERY:
        pytest.skip("played by make rig")
    (case,) = (case for case in CASES if case[0] == "all_near")
    judged = play(tmp_path, "measures_out_of_range", *case[1:5])
    assert judged["held"], judged
    views = {name: json.loads((tmp_path / "folder" / name / "peers-view.json").read_text()) for name in ("g1", "g2")}
    dropped = {name: view["parts"]["map"]["odd"] for name, view in views.items()}
    assert dropped["g1"] > 0 and dropped["g2"] == 0
