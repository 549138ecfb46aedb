"""Fleets of gateway processes under scripted faults, and gateways with seeded faults that the audit must find."""

import json
import os
import signal
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.support.paths import ROOT
from tests.support.router_world import wait_for
from yardbank.testing.rig.scenario import shipped

GROUP = 'group "numbers" {\n  suffix = "ou=numbers,dc=porting"\n}\n'
BELIEF = 'claim "belief" {\n  kind = "belief"\n}\n'
VIEWS = 'fleet {\n  gateways = 3\n  peers = true\n  settle = "8s"\n}\nclaim "views" {\n  kind = "views"\n}\n'
SMALL = (
    'title = "small"\nfleet {\n  gateways = 2\n}\nload {\n  rate = 120\n  length = "3s"\n  clients = 8\n%s}\n' + GROUP
)
CLAIMS = 'claim "rules" {\n  kind = "rules"\n}\nclaim "alive" {\n  kind = "alive"\n}\n'


def processes_of(folder):
    """The ids of processes whose command line contains this folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                command = (entry / "cmdline").read_bytes().decode(errors="replace")
            except OSError:
                continue
            if str(folder) in command:
                found.append(int(entry.name))
    return found


def extract_older_program(folder):
    """Extracts the older program from the git history."""
    root = ROOT
    archive = subprocess.run(
        ["git", "archive", OLDER_PROGRAM_COMMIT, "yardbank"], cwd=root, capture_output=True, check=False
    )
    if archive.returncode:
        pytest.skip("no git history to extract the older program from")
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder


RUN_IN_CI = {"killed", "rolling", "peers-partition", "peers-bad-copy", "landed-beside", "channels-owner-cut"}
OLDER_PROGRAM_COMMIT = "9d7b4df"  # the last commit without gossip messages
EVERY = "YARDBANK_EVERY_SCENARIO" in os.environ  # set by ``make rig``; CI runs only some for lack of time


@pytest.mark.parametrize("name", sorted(shipped() if EVERY else RUN_IN_CI))
def test_the_fleet_stands_what_is_shipped(name, tmp_path, monkeypatch):
    if "landed" in shipped()[name].read_text():
        monkeypatch.setenv("YARDBANK_LANDED", str(extract_older_program(tmp_path)))
    out, kept = tmp_path / "out.json", tmp_path / "kept"
    command = [sys.executable, "-m", "yardbank", "rig", "run", name, "--json", str(out), "--keep", str(kept)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(out.read_text())
    assert found["held"] and all(claim["held"] for claim in found["claims"])
    facts = [json.loads(line) for line in (kept / "record.jsonl").read_text().splitlines()]
    starts = {fact["name"] for fact in facts if fact["kind"] == "process" and fact["what"] == "start"}
    assert len([start for start in starts if start.startswith("g")]) >= 4
    assert any(fact["kind"] == "step" for fact in facts)
    assert processes_of(tmp_path) == []


FAULTS = [
    ("Forgets", "rules", "one final answer in time", "", ""),
    ("Dies", "alive", "g1 ended with code 3", "", ""),
    (
        "RefusesAll",
        "again",
        "nothing served after x: g1 lookup, g1 status, g1 commit",
        "",
        'step "x" {\n  do = "cut"\n  lasts = "100ms"\n  from = ["g2"]\n  to = ["numbers-2"]\n}\n'
        'claim "again" {\n  kind = "serves_again"\n  after = "x"\n}\n',
    ),
    (
        "Resends",
        "rules",
        "no effect twice",
        "  writes = 0.8\n",
        'step "x" {\n  do = "lose_answers"\n  count = 40\n  at = "300ms"\n  who = ["numbers-1"]\n}\n',
    ),
    (
        "IgnoresDrains",
        "rules",
        "drains kept",
        "  writes = 0.1\n",
        'step "x" {\n  do = "tell"\n  at = "300ms"\n  who = ["numbers-2"]\n  state = "draining"\n}\n',
    ),
    ("DeafToPeers", "views", "sees g", "", ""),
    (
        "Credulous",
        "belief",
        "g1 spares ",
        "  writes = 0.1\n",
        'step "x" {\n  do = "cut"\n  how = "reset"\n  at = "300ms"\n  from = ["g2", "g3", "g4"]\n'
        '  to = ["numbers-2", "numbers-3"]\n}\n',
    ),
    (
        "ReadsAnywhere",
        "rules",
        "no stale read",
        "  writes = 0.5\n  entries = 5\n",
        'step "x" {\n  do = "lag"\n  who = ["numbers-2"]\n  factor = 200\n}\n',
    ),
]


FAULTS_IN_CI = {"Forgets", "Resends", "IgnoresDrains", "Credulous"}
SEEDED_FAULTS = [row for row in FAULTS if EVERY or row[0] in FAULTS_IN_CI]


@pytest.mark.parametrize(
    ("fault", "claim", "text", "load", "more"), SEEDED_FAULTS, ids=[row[0] for row in SEEDED_FAULTS]
)
def test_a_gateway_with_a_seeded_fault_is_found(fault, claim, text, load, more, tmp_path):
    file = tmp_path / "s.hcl"
    text_of = SMALL % load + CLAIMS + more
    if claim == "views":
        text_of = text_of.replace("fleet {\n  gateways = 2\n}\n", VIEWS)
    if claim == "belief":
        text_of = text_of.replace("gateways = 2\n", "gateways = 4\n  peers = true\n").replace('"3s"', '"8s"')
        text_of = text_of.replace('porting"\n}', 'porting"\n  servers = 3\n}', 1) + BELIEF
    file.write_text(text_of)
    command = [sys.executable, "-m", "tests.support.rig_runner", fault, str(file), str(tmp_path / "folder")]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    claims = {one["name"]: one for one in json.loads(done.stdout.splitlines()[-1])["claims"]}
    assert not claims[claim]["held"] and text in claims[claim]["seen"], claims


@contextmanager
def playing(kept):
    """A running rig, in the middle of a scenario."""
    rig = subprocess.Popen(
        [sys.executable, "-m", "yardbank", "rig", "run", "partition", "--keep", str(kept)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        while "partition" not in rig.stdout.readline():  # the load has begun
            assert rig.poll() is None
        assert len(processes_of(kept)) >= 7  # the rig, two groups, four gateways
        yield rig
        wait_for(lambda: not processes_of(kept))
    finally:
        rig.kill()
        rig.wait()
        rig.stdout.close()
        rig.stderr.close()


def test_all_processes_exit_when_the_rig_is_killed(tmp_path):
    with playing(tmp_path / "kept") as rig:
        rig.send_signal(signal.SIGKILL)


def test_an_interrupted_rig_reports_no_verdict_and_leaves_no_process(tmp_path):
    with playing(tmp_path / "kept") as rig:
        rig.send_signal(signal.SIGINT)
        out, err = rig.communicate()
        assert rig.returncode == 2 and "interrupted" in err and "held" not in out


def test_a_rig_kills_the_processes_itself_when_its_guardian_is_killed(tmp_path):
    with playing(tmp_path / "kept") as rig:
        children = Path(f"/proc/{rig.pid}/task/{rig.pid}/children").read_text().split()
        (guardian,) = [pid for pid in children if b"rig.guardian" in Path(f"/proc/{pid}/cmdline").read_bytes()]
        os.kill(int(guardian), signal.SIGKILL)
        out, err = rig.communicate()
        assert rig.returncode == 2 and "the guardian ended" in err and "held" not in out


def test_a_folder_that_is_not_empty_is_refused_and_unchanged(tmp_path):
    (tmp_path / "mine").write_text("x")
    command = [sys.executable, "-m", "yardbank", "rig", "run", "partition", "--keep", str(tmp_path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and f"{tmp_path}: is not empty" in done.stderr
    assert [entry.name for entry in tmp_path.iterdir()] == ["mine"]
