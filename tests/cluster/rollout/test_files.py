"""Files and processes of a rollout: what is asked, the operator's word, what is in force, the supervisor, the shell."""

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
from yardbank.cluster.rollout.document import COMMANDS, SHAPE, Asked, Change, OperatorCommand, Reject, Watching, taken
from yardbank.cluster.rollout.local_state import Memory, reconciled, remembered
from yardbank.cluster.rollout.phase import Phase
from yardbank.config import ConfigError
from yardbank.daemon.versions import Versions
from yardbank.testing.ports import free_port

SECOND = 10**9
GOOD = 'rollout "a" {\n  settings = "new.hcl"\n}\n'

FAULTS = {
    'rollout "a" {\n}\n': 'f.hcl:1: rollout "a": either settings or program is wanted',
    'rollout "a" {\n settings = "n"\n stages = [0.5]\n}\n': 'f.hcl:3: rollout "a": stages: two to 16 are wanted',
    'rollout "a" {\n settings = "n"\n stages = [0.5, 0.2, 1]\n}\n': "f.hcl:3: ",
    'rollout "a" {\n settings = "../n"\n}\n': 'f.hcl:2: rollout "a": settings: ',
    'rollout "a" {\n settings = "n"\n\n hold = 5\n}\n': 'f.hcl:4: rollout "a": hold: ',
    'rollout "a" {\n settings = "n"\n worse = ["speed"]\n}\n': "'speed' is none of served",
    'rollout "a" {\n settings = "n"\n most = 2\n}\n': 'f.hcl:3: rollout "a": most: unknown key',
    'rollout "a" {\n settings = "n"\n false_stop = 0\n}\n': 'f.hcl:3: rollout "a": false_stop: ',
    'rollout "a" {\n settings = "n"\n}\nrollout "b" {\n settings = "n"\n}\n': 'f.hcl:4: rollout "b" is a second one',
    'rollout "a" {\n program = "x \'y"\n}\n': 'f.hcl:2: rollout "a": program: no command',
    'rollout "a" {': "f.hcl:",
}


@pytest.mark.parametrize("text", FAULTS)
def test_a_fault_names_file_line_and_field(text):
    with pytest.raises(ConfigError) as caught:
        taken(text.encode(), "f.hcl", SHAPE)
    assert len(caught.value.faults) == 1 and FAULTS[text] in caught.value.faults[0]


def test_a_file_is_taken_whole_or_not_at_all_and_the_last_good_one_serves_on():
    watching = Watching(SHAPE)
    (first,) = watching.seen(0, {"f": GOOD.encode()})
    assert first.change.id == "a" and first.change.hold == 60 * SECOND
    for cut in range(10, len(GOOD) - 2, 7):
        assert watching.seen(SECOND, {"f": GOOD[:cut].encode()}) == []  # it may still be being written
    assert watching.due() == 3 * SECOND
    (rejected,) = watching.seen(3 * SECOND, {"f": GOOD[:cut].encode()})
    assert isinstance(rejected, Reject) and watching.due() is None
    assert watching.seen(4 * SECOND, {"f": GOOD.encode()}) == []  # the same as before
    assert watching.seen(5 * SECOND, {"f": b""}) == [Asked(None)]
    assert Watching(COMMANDS).seen(0, {"f": b'stop "a" {}\nwithdraw "b" {}\n'}) == [OperatorCommand(("a",), ("b",))]


def test_programs_with_other_defaults_mean_the_same_rollout():
    change = taken(GOOD.encode(), "f", SHAPE).change
    again = Change.of(change.kept())
    assert again == change and again.mark() == change.mark()
    later = json.loads(change.kept()) | {"thrift": 3}
    assert Change.of(json.dumps(later)).stages == change.stages
    other = taken(GOOD.replace("new", "newer").encode(), "f", SHAPE).change
    assert other.mark() != change.mark()


PLACES = st.sampled_from(
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
@given(PLACES, st.booleans(), st.booleans())
def test_a_start_finds_its_place_by_what_is_in_force(place, on_new, finished):
    change = taken(GOOD.encode(), "f", SHAPE).change
    version = Version("a", change.mark(), "new.hcl")
    active_version = ActiveVersion(version, Version()) if on_new else ActiveVersion()
    found, why = reconciled(Memory(change.kept(), place, finished="a" if finished else ""), active_version)
    if finished:
        assert found == Phase.NEW
    else:
        assert (
            found in (Phase.SETTLING, Phase.BACK_DUE)
        ) == on_new  # never taken for old where the new one runs, or the other way
        assert (found == Phase.FELL) == (
            not on_new and place in (Phase.OUT, Phase.SETTLING, Phase.NEW, Phase.BACK_DUE, Phase.FELL)
        )
        assert bool(why) == (found == Phase.FELL != place)


def test_what_is_remembered_in_another_program_s_words_is_read_as_far_as_it_goes():
    import msgspec

    disk = Disk()
    disk.data = msgspec.msgpack.encode(["", Phase.OLD, False, 2, [["x", "why"]], "y", "later", 7])
    assert remembered(disk).stopped == [("x", "why")]
    disk.data = msgspec.msgpack.encode(["", Phase.NEW])
    assert remembered(disk).phase == Phase.NEW
    for data in (b"", b"\xc1", msgspec.msgpack.encode([5]), msgspec.msgpack.encode(["{", 1])):
        disk.data = data
        assert remembered(disk) == Memory()


def test_what_is_in_force_survives_another_program_s_fields_and_damage_is_said(tmp_path):
    active_version = ActiveVersion().gone_over(Version("a", 5, "new.hcl", "", "abc"), 7.0)
    active_version_file.write(tmp_path, active_version)
    assert (
        active_version_file.read(tmp_path) == active_version
        and active_version.young
        and not active_version.kept().young
    )
    path = tmp_path / active_version_file.FILE
    path.write_text(json.dumps(json.loads(path.read_text()) | {"later": 1}))
    assert active_version_file.read(tmp_path) == active_version
    assert active_version.gone_back("why") == ActiveVersion(fell="why", fell_from="a")
    path.write_text("{")
    with pytest.raises(ValueError, match=f"{active_version_file.FILE}:1: not what is in force"):
        active_version_file.read(tmp_path)
    assert active_version_file.read(tmp_path / "nowhere") == ActiveVersion()


# The supervisor

NEWER = ActiveVersion().gone_over(Version("a", 5, "new.hcl", "", "abc"), 1000.0)


def test_a_worker_is_started_anew_by_what_the_file_says():
    versions = Versions(ActiveVersion(), 30)
    versions.started(0)
    found = versions.ended(100, 1000, "ended", EXIT_FOR_RESTART, NEWER)
    assert (found.active_version, found.wait, found.write) == (NEWER, 0, False)
    versions.started(100)
    young = versions.ended(101, 1001, "ended with code 1", 1, NEWER)
    assert (
        young.active_version == ActiveVersion(fell=young.why, fell_from="a") and young.write and "code 1" in young.why
    )
    versions.started(101)
    # The old one: no way back from it
    assert versions.ended(102, 1002, "ended", 1, young.active_version).active_version.restarts == 1


def test_a_worker_that_dies_old_stays_on_its_version_and_its_restarts_are_counted():
    versions = Versions(NEWER, 30)
    for number in range(1, 4):
        versions.started(100 * number)
        found = versions.ended(100 * number + 31, 2000, "ended", 1, versions.active_version)
        assert found.active_version.now == NEWER.now and found.active_version.restarts == number and not found.why


def test_one_that_dies_soon_after_a_change_in_service_goes_back_too():
    versions = Versions(ActiveVersion(), 30)
    versions.started(0)
    assert versions.ended(5000, 1010.0, "ended", 1, NEWER).why
    versions = Versions(ActiveVersion(), 30)
    versions.started(0)
    assert versions.ended(5000, 1100.0, "ended", 1, NEWER).active_version.restarts == 1


def test_a_supervised_gateway_leaves_a_program_that_does_not_start(tmp_path):
    """Real processes: the version in force ends at once, the one before serves; the file says so afterwards."""
    with world(start=False) as place:
        place.port = free_port()
        file, log = tmp_path / "g.hcl", tmp_path / "log"
        peers = 'peers {\n name = "g1"\n port = 0\n list = "peers.hcl"\n key = "key"\n}\nrollout {\n}\n'
        file.write_text(place.settings().replace('level = "warning"', 'level = "info"') + peers)
        (tmp_path / "key").write_text("ab" * 32 + "\n")
        (tmp_path / "peers.hcl").write_text("")
        broken = Version("a", 5, "", f"{sys.executable} -c 'raise SystemExit(7)'", "bad")
        active_version_file.write(tmp_path, ActiveVersion().gone_over(broken, 0.0))
        with log.open("wb") as out:
            command = [sys.executable, "-m", "yardbank", "serve", str(file), "--supervised"]
            process = subprocess.Popen(command, stderr=out)
        try:

            def events(name):
                lines = [json.loads(line) for line in log.read_text().splitlines() if line.startswith("{")]
                return [line for line in lines if line["event"] == name]

            wait_for(lambda: events("listening"))
            left = [one for one in events("rollout") if one["what"] == "left"]  # the supervisor's, the worker's perhaps
            assert left and all(one["rollout"] == "a" and "code 7" in one["why"] for one in left)
            assert active_version_file.read(tmp_path).fell_from == "a" and not active_version_file.read(tmp_path).young
            os.kill(events("worker_started")[1]["pid"], signal.SIGKILL)
            wait_for(lambda: len(events("listening")) == 2)
            assert active_version_file.read(tmp_path).restarts == 1
            worker = events("worker_started")[2]["pid"]
            process.kill()  # nobody would start the worker anew: it ends in good order
            process.wait()
            wait_for(lambda: events("supervisor_gone") and events("stopped") and not Path(f"/proc/{worker}").exists())
        finally:
            process.kill()
