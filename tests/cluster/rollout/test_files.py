"""Rollout file, command file, stored state and active version; rollback of a worker by its supervisor."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.reactor_thread import world
from tests.support.rollout_fleet import Disk
from tests.support.router_world import wait_for
from yardbank.cluster.rollout import active_version as active_version_file
from yardbank.cluster.rollout.active_version import EXIT_FOR_RESTART, ActiveVersion, Version
from yardbank.cluster.rollout.document import (
    COMMANDS,
    SHAPE,
    Asked,
    Change,
    OperatorCommand,
    Reject,
    WatchedFile,
    taken,
)
from yardbank.cluster.rollout.local_state import Memory, load_memory, reconcile_phase
from yardbank.cluster.rollout.phase import Phase
from yardbank.config import ConfigError
from yardbank.daemon.versions import Versions
from yardbank.testing.ports import free_port

SECOND = 10**9
GOOD = 'rollout "a" {\n  settings = "new.hcl"\n}\n'

FAULTS = {
    'rollout "a" {\n}\n': 'f.hcl:1: rollout "a": exactly one of settings and program is required',
    'rollout "a" {\n settings = "n"\n stages = [0.5]\n}\n': 'f.hcl:3: rollout "a": stages: 2 to 16 stages are required',
    'rollout "a" {\n settings = "n"\n stages = [0.5, 0.2, 1]\n}\n': "f.hcl:3: ",
    'rollout "a" {\n settings = "../n"\n}\n': 'f.hcl:2: rollout "a": settings: ',
    'rollout "a" {\n settings = "n"\n\n hold = 5\n}\n': 'f.hcl:4: rollout "a": hold: ',
    'rollout "a" {\n settings = "n"\n worse = ["speed"]\n}\n': "'speed' is not one of served",
    'rollout "a" {\n settings = "n"\n most = 2\n}\n': 'f.hcl:3: rollout "a": most: unknown key',
    'rollout "a" {\n settings = "n"\n false_stop = 0\n}\n': 'f.hcl:3: rollout "a": false_stop: ',
    'rollout "a" {\n settings = "n"\n}\nrollout "b" {\n settings = "n"\n}\n': 'f.hcl:4: rollout "b" is a second rollout',
    'rollout "a" {\n program = "x \'y"\n}\n': 'f.hcl:2: rollout "a": program: not a valid command',
    'rollout "a" {': "f.hcl:",
}


@pytest.mark.parametrize("text", FAULTS)
def test_a_fault_names_file_line_and_field(text):
    with pytest.raises(ConfigError) as caught:
        taken(text.encode(), "f.hcl", SHAPE)
    assert len(caught.value.faults) == 1 and FAULTS[text] in caught.value.faults[0]


def test_an_incomplete_file_is_rejected_and_the_last_valid_one_stays_in_effect():
    watching = WatchedFile(SHAPE)
    (first,) = watching.seen(0, {"f": GOOD.encode()})
    assert first.change.id == "a" and first.change.hold == 60 * SECOND
    for cut in range(10, len(GOOD) - 2, 7):
        assert watching.seen(SECOND, {"f": GOOD[:cut].encode()}) == []  # it may still be being written
    assert watching.due() == 3 * SECOND
    (rejected,) = watching.seen(3 * SECOND, {"f": GOOD[:cut].encode()})
    assert isinstance(rejected, Reject) and watching.due() is None
    assert watching.seen(4 * SECOND, {"f": GOOD.encode()}) == []  # unchanged
    assert watching.seen(5 * SECOND, {"f": b""}) == [Asked(None)]
    assert WatchedFile(COMMANDS).seen(0, {"f": b'stop "a" {}\nwithdraw "b" {}\n'}) == [OperatorCommand(("a",), ("b",))]


def test_programs_with_other_defaults_compute_the_same_mark():
    change = taken(GOOD.encode(), "f", SHAPE).change
    again = Change.from_json(change.to_json())
    assert again == change and again.mark() == change.mark()
    later = json.loads(change.to_json()) | {"thrift": 3}
    assert Change.from_json(json.dumps(later)).stages == change.stages
    other = taken(GOOD.replace("new", "newer").encode(), "f", SHAPE).change
    assert other.mark() != change.mark()


PHASES = st.sampled_from(
    [
        Phase.OLD,
        Phase.DUE,
        Phase.OUT,
        Phase.SETTLING,
        Phase.NEW,
        Phase.BACK_DUE,
        Phase.BACK_OUT,
        Phase.BACK_SETTLING,
        Phase.FELL,
    ]
)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(PHASES, st.booleans(), st.booleans())
def test_the_phase_after_a_restart_follows_the_active_version(phase, on_new, finished):
    change = taken(GOOD.encode(), "f", SHAPE).change
    version = Version("a", change.mark(), "new.hcl")
    active_version = ActiveVersion(version, Version()) if on_new else ActiveVersion()
    found, why = reconcile_phase(Memory(change.to_json(), phase, finished="a" if finished else ""), active_version)
    if finished:
        assert found == Phase.NEW
    else:
        assert (
            found in (Phase.SETTLING, Phase.BACK_DUE)
        ) == on_new  # the phase always agrees with the version that runs
        assert (found == Phase.FELL) == (
            not on_new and phase in (Phase.OUT, Phase.SETTLING, Phase.NEW, Phase.BACK_DUE, Phase.FELL)
        )
        assert bool(why) == (found == Phase.FELL != phase)


def test_stored_state_of_another_program_version_is_read_and_damage_counts_as_none():
    import msgspec

    disk = Disk()
    disk.data = msgspec.msgpack.encode(["", Phase.OLD, False, 2, [["x", "why"]], "y", "later", 7])
    assert load_memory(disk).stopped == [("x", "why")]
    disk.data = msgspec.msgpack.encode(["", Phase.NEW])
    assert load_memory(disk).phase == Phase.NEW
    for data in (b"", b"\xc1", msgspec.msgpack.encode([5]), msgspec.msgpack.encode(["{", 1])):
        disk.data = data
        assert load_memory(disk) == Memory()


def test_the_active_version_file_ignores_unknown_fields_and_reports_damage(tmp_path):
    active_version = ActiveVersion().activated(Version("a", 5, "new.hcl", "", "abc"), 7.0)
    active_version_file.write(tmp_path, active_version)
    assert (
        active_version_file.read(tmp_path) == active_version
        and active_version.uncommitted
        and not active_version.committed().uncommitted
    )
    path = tmp_path / active_version_file.FILE
    path.write_text(json.dumps(json.loads(path.read_text()) | {"later": 1}))
    assert active_version_file.read(tmp_path) == active_version
    assert active_version.rolled_back("why") == ActiveVersion(fell="why", fell_from="a")
    path.write_text("{")
    with pytest.raises(ValueError, match=f"{active_version_file.FILE}:1: not a valid active version"):
        active_version_file.read(tmp_path)
    assert active_version_file.read(tmp_path / "nowhere") == ActiveVersion()


# The supervisor

NEWER = ActiveVersion().activated(Version("a", 5, "new.hcl", "", "abc"), 1000.0)


def test_a_worker_that_asks_for_a_restart_gets_the_version_of_the_file():
    versions = Versions(ActiveVersion(), 30)
    versions.started(0)
    found = versions.ended(100, 1000, "ended", EXIT_FOR_RESTART, NEWER)
    assert (found.active_version, found.wait, found.write) == (NEWER, 0, False)
    versions.started(100)
    rolled_back = versions.ended(101, 1001, "ended with code 1", 1, NEWER)
    assert (
        rolled_back.active_version == ActiveVersion(fell=rolled_back.why, fell_from="a")
        and rolled_back.write
        and "code 1" in rolled_back.why
    )
    versions.started(101)
    # The old version has no rollback target
    assert versions.ended(102, 1002, "ended", 1, rolled_back.active_version).active_version.restarts == 1


def test_a_worker_that_dies_late_keeps_its_version_and_its_restarts_are_counted():
    versions = Versions(NEWER, 30)
    for number in range(1, 4):
        versions.started(100 * number)
        found = versions.ended(100 * number + 31, 2000, "ended", 1, versions.active_version)
        assert found.active_version.now == NEWER.now and found.active_version.restarts == number and not found.why


def test_a_worker_that_dies_soon_after_a_reload_is_rolled_back():
    versions = Versions(ActiveVersion(), 30)
    versions.started(0)
    assert versions.ended(5000, 1010.0, "ended", 1, NEWER).why
    versions = Versions(ActiveVersion(), 30)
    versions.started(0)
    assert versions.ended(5000, 1100.0, "ended", 1, NEWER).active_version.restarts == 1


def test_a_supervisor_rolls_back_a_program_that_does_not_start(tmp_path):
    """Real processes: the active version exits at once, the previous one serves, and the file says so afterwards."""
    with world(start=False) as place:
        place.port = free_port()
        file, log = tmp_path / "g.hcl", tmp_path / "log"
        peers = 'peers {\n name = "g1"\n port = 0\n list = "peers.hcl"\n key = "key"\n}\nrollout {\n}\n'
        file.write_text(place.settings().replace('level = "warning"', 'level = "info"') + peers)
        (tmp_path / "key").write_text("ab" * 32 + "\n")
        (tmp_path / "peers.hcl").write_text("")
        broken = Version("a", 5, "", f"{sys.executable} -c 'raise SystemExit(7)'", "bad")
        active_version_file.write(tmp_path, ActiveVersion().activated(broken, 0.0))
        with log.open("wb") as out:
            command = [sys.executable, "-m", "yardbank", "serve", str(file), "--supervised"]
            process = subprocess.Popen(command, stderr=out)
        try:

            def events(name):
                lines = [json.loads(line) for line in log.read_text().splitlines() if line.startswith("{")]
                return [line for line in lines if line["event"] == name]

            wait_for(lambda: events("listening"))
            left = [
                one for one in events("rollout") if one["what"] == "left"
            ]  # logged by the supervisor, maybe by the worker too
            assert left and all(one["rollout"] == "a" and "code 7" in one["why"] for one in left)
            assert (
                active_version_file.read(tmp_path).fell_from == "a"
                and not active_version_file.read(tmp_path).uncommitted
            )
            os.kill(events("worker_started")[1]["pid"], signal.SIGKILL)
            wait_for(lambda: len(events("listening")) == 2)
            assert active_version_file.read(tmp_path).restarts == 1
            worker = events("worker_started")[2]["pid"]
            process.kill()  # without a supervisor the worker shuts down gracefully
            process.wait()
            wait_for(lambda: events("supervisor_gone") and events("stopped") and not Path(f"/proc/{worker}").exists())
        finally:
            process.kill()
