"""``Actuator`` executes the orders of a rollout part, and the ``yardbank rollout`` commands."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from tests.cluster.rollout.test_files import GOOD
from tests.support.paths import EXAMPLE_SETTINGS as SETTINGS
from yardbank.cli import main
from yardbank.cluster.rollout import active_version as active_version_file
from yardbank.cluster.rollout.active_version import ActiveVersion, Version
from yardbank.cluster.rollout.actuator import Actuator, name_of
from yardbank.cluster.rollout.document import COMMANDS, SHAPE, Asked, OperatorCommand, taken
from yardbank.cluster.rollout.local_state import Activate, Commit, RollBack
from yardbank.config.blocks import RolloutBlock


class RecordingLog:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **fields: self.lines.append((event, fields))


class RecordingPart:
    """Hands out the given orders and records the calls that answer them."""

    def __init__(self):
        self.given, self.done = [], []

    def __getattr__(self, name):
        return lambda now, *more: self.done.append((name, *more))

    def orders(self):
        found, self.given = self.given, []
        return found

    def transitions(self):
        return []


BLOCKS = 'peers {\n name = "g0"\n port = 0\n list = "peers.hcl"\n key = "key"\n}\nrollout {\n}\n'


def make_actuator(folder, *, reload=lambda config: None, leave=None, active_version=None):
    given = folder / "g.hcl"
    given.write_text(SETTINGS.read_text())
    (folder / "new.hcl").write_text(SETTINGS.read_text() + BLOCKS)
    part, log = RecordingPart(), RecordingLog()
    actuator = Actuator(
        part,
        given,
        RolloutBlock(),
        active_version or ActiveVersion(),
        reactor=None,
        now=lambda: 5,
        wall=lambda: 9.0,
        log=log,
        prompt=lambda: None,
        reload=reload,
        leave=leave,
    )
    return actuator, part, log, Version("a", 5, "new.hcl", "", name_of(folder / "new.hcl", ""))


def reject_reload(config):
    raise ValueError("listener: cannot change in service")


def test_reloadable_settings_are_applied_and_the_active_version_is_stored(tmp_path):
    reloaded = []
    actuator, part, _, version = make_actuator(tmp_path, reload=reloaded.append)
    actuator._execute(Activate(version, False))
    assert part.done == [("applied",)] and active_version_file.read(tmp_path).now == version and len(reloaded) == 1
    actuator._execute(Commit())
    assert not active_version_file.read(tmp_path).uncommitted
    actuator, part, _, version = make_actuator(tmp_path, active_version=ActiveVersion().activated(version))
    actuator._execute(RollBack(False))
    assert part.done == [("applied",)] and active_version_file.read(tmp_path).now == Version()


def test_a_change_that_needs_a_restart_waits_for_permission_and_then_exits(tmp_path):
    left = []
    actuator, part, _, version = make_actuator(tmp_path, reload=reject_reload, leave=lambda: left.append(1))
    actuator._execute(Activate(version, False))
    assert part.done == [("needs_restart",)] and not active_version_file.read(tmp_path).uncommitted and not left
    actuator._execute(Activate(version, True))
    assert left == [1] and active_version_file.read(tmp_path).now == version
    actuator, part, _, version = make_actuator(tmp_path, reload=reject_reload)
    actuator._execute(Activate(version, True))
    assert part.done[0][0] == "failed" and "no supervisor to restart it" in part.done[0][1]


def test_a_full_disk_keeps_the_old_version_active(tmp_path, monkeypatch):
    def fail_with_full_disk(folder, active_version):
        raise OSError(28, "No space left on device")

    actuator, part, log, version = make_actuator(tmp_path, reload=lambda config: pytest.fail("it was changed"))
    monkeypatch.setattr(active_version_file, "write", fail_with_full_disk)
    actuator._execute(Activate(version, True))
    assert part.done == [("failed", "the active version cannot be stored")]
    assert [event for event, _ in log.lines] == ["rollout_not_written", "rollout_failed"]


def test_settings_changed_since_the_request_are_rejected(tmp_path):
    actuator, part, log, version = make_actuator(tmp_path, reload=lambda config: pytest.fail("it was changed"))
    (tmp_path / "new.hcl").write_text(SETTINGS.read_text() + "\n# newer\n")
    actuator._execute(Activate(version, True))
    assert part.done[0][0] == "failed" and "changed since it was requested" in part.done[0][1]
    (tmp_path / "new.hcl").write_text("nonsense {")
    actuator._handle(Asked(taken(GOOD.encode(), "f", SHAPE).change))
    assert [name for name, *_ in part.done] == ["failed"] and log.lines[-1][0] == "rollout_rejected"
    assert "new.hcl:2: " in log.lines[-1][1]["fault"]


# The command line


def write_fleet_files(folder, text=GOOD):
    file = folder / "g.hcl"
    file.write_text(SETTINGS.read_text() + BLOCKS)
    peer = 'peer "g{0}" {{\n address = "10.0.0.1"\n port = {1}\n zone = "z{2}"\n}}\n'
    (folder / "peers.hcl").write_text("".join(peer.format(n, 7000 + n, n % 2) for n in range(6)))
    (folder / "new.hcl").write_text(SETTINGS.read_text() + BLOCKS)
    (folder / "rollout.hcl").write_text(text)
    return file


def run_rollout_command(*arguments):
    result = CliRunner().invoke(main, ["rollout", *map(str, arguments)])
    return result.exit_code, result.output


def test_check_prints_the_stages_and_exits_with_2_on_faults(tmp_path):
    file = write_fleet_files(tmp_path)
    code, output = run_rollout_command("check", file)
    assert code == 0 and "fine. a: new.hcl" in output and output.count("g") > 6
    (tmp_path / "rollout.hcl").write_text('rollout "a" {\n  settings = "new.hcl"\n  hold = 3\n}\n')
    code, output = run_rollout_command("check", file)
    assert code == 2 and output.count("\n") == 1 and "rollout.hcl:3: " in output and "hold" in output
    (tmp_path / "rollout.hcl").write_text(GOOD.replace("new", "missing"))
    assert run_rollout_command("check", file)[0] == 2
    (tmp_path / "rollout.hcl").write_text(GOOD)
    (tmp_path / "new.hcl").write_text(SETTINGS.read_text())
    code, output = run_rollout_command("check", file)
    assert code == 2 and "new.hcl:1: peers: no such block: the gateway could not be rolled back" in output
    code, output = run_rollout_command("show", file)
    assert code == 2 and "has the gateway run?" in output
    file.write_text(SETTINGS.read_text())
    assert run_rollout_command("check", file) == (
        2,
        f"yardbank: {file}: no rollout block: this gateway takes part in none\n",
    )


def test_stop_and_withdraw_add_a_command_to_the_command_file(tmp_path):
    file = write_fleet_files(tmp_path)
    assert (
        run_rollout_command("stop", file, "a")[0]
        == run_rollout_command("stop", file, "a")[0]
        == run_rollout_command("withdraw", file, "b")[0]
        == 0
    )
    found = taken((tmp_path / "rollout.hcl.word").read_bytes(), "w", COMMANDS)
    assert found == OperatorCommand(("a",), ("b",))
    assert run_rollout_command("stop", file, 'a" {')[0] == 2
    assert taken((tmp_path / "rollout.hcl.word").read_bytes(), "w", COMMANDS) == found


def test_the_command_line_does_not_import_rollout_modules_at_start():
    code = "import sys, yardbank.cli; print([name for name in sys.modules if 'rollout' in name and 'cli' not in name])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout == "[]\n"
