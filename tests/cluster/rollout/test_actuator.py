"""The shell of a rollout: orders carried out, and the command line."""

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


class Log:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **fields: self.lines.append((event, fields))


class Part:
    """Gives orders; notes what became of them."""

    def __init__(self):
        self.given, self.done = [], []

    def __getattr__(self, name):
        return lambda now, *more: self.done.append((name, *more))

    def orders(self):
        found, self.given = self.given, []
        return found

    def turns(self):
        return []


BLOCKS = 'peers {\n name = "g0"\n port = 0\n list = "peers.hcl"\n key = "key"\n}\nrollout {\n}\n'


def actuator(folder, *, reload=lambda config: None, leave=None, active_version=None):
    given = folder / "g.hcl"
    given.write_text(SETTINGS.read_text())
    (folder / "new.hcl").write_text(SETTINGS.read_text() + BLOCKS)
    part, log = Part(), Log()
    made = Actuator(
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
    return made, part, log, Version("a", 5, "new.hcl", "", name_of(folder / "new.hcl", ""))


def refuse(config):
    raise ValueError("listener: cannot change in service")


def test_settings_that_can_change_in_service_do_and_what_is_in_force_is_written(tmp_path):
    taken_over = []
    made, part, _, version = actuator(tmp_path, reload=taken_over.append)
    made._carry_out(Activate(version, False))
    assert part.done == [("up",)] and active_version_file.read(tmp_path).now == version and len(taken_over) == 1
    made._carry_out(Commit())
    assert not active_version_file.read(tmp_path).young
    made, part, _, version = actuator(tmp_path, active_version=ActiveVersion().gone_over(version))
    made._carry_out(RollBack(False))
    assert part.done == [("up",)] and active_version_file.read(tmp_path).now == Version()


def test_what_cannot_change_in_service_waits_for_its_permit_and_then_leaves(tmp_path):
    left = []
    made, part, _, version = actuator(tmp_path, reload=refuse, leave=lambda: left.append(1))
    made._carry_out(Activate(version, False))
    assert part.done == [("not_in_service",)] and not active_version_file.read(tmp_path).young and not left
    made._carry_out(Activate(version, True))
    assert left == [1] and active_version_file.read(tmp_path).now == version
    made, part, _, version = actuator(tmp_path, reload=refuse)
    made._carry_out(Activate(version, True))
    assert part.done[0][0] == "failed" and "nobody starts it anew" in part.done[0][1]


def test_a_disk_that_takes_nothing_leaves_the_old_version_in_force(tmp_path, monkeypatch):
    def full(folder, active_version):
        raise OSError(28, "No space left on device")

    made, part, log, version = actuator(tmp_path, reload=lambda config: pytest.fail("it was changed"))
    monkeypatch.setattr(active_version_file, "write", full)
    made._carry_out(Activate(version, True))
    assert part.done == [("failed", "what is in force cannot be written")]
    assert [event for event, _ in log.lines] == ["rollout_not_written", "rollout_failed"]


def test_settings_that_are_not_what_was_asked_for_any_more_are_not_taken(tmp_path):
    made, part, log, version = actuator(tmp_path, reload=lambda config: pytest.fail("it was changed"))
    (tmp_path / "new.hcl").write_text(SETTINGS.read_text() + "\n# newer\n")
    made._carry_out(Activate(version, True))
    assert part.done[0][0] == "failed" and "not what was asked for" in part.done[0][1]
    (tmp_path / "new.hcl").write_text("nonsense {")
    made._take(Asked(taken(GOOD.encode(), "f", SHAPE).change))
    assert [name for name, *_ in part.done] == ["failed"] and log.lines[-1][0] == "rollout_rejected"
    assert "new.hcl:2: " in log.lines[-1][1]["fault"]


# The command line


def fleet(folder, text=GOOD):
    file = folder / "g.hcl"
    file.write_text(SETTINGS.read_text() + BLOCKS)
    peer = 'peer "g{0}" {{\n address = "10.0.0.1"\n port = {1}\n zone = "z{2}"\n}}\n'
    (folder / "peers.hcl").write_text("".join(peer.format(n, 7000 + n, n % 2) for n in range(6)))
    (folder / "new.hcl").write_text(SETTINGS.read_text() + BLOCKS)
    (folder / "rollout.hcl").write_text(text)
    return file


def said(*words):
    found = CliRunner().invoke(main, ["rollout", *map(str, words)])
    return found.exit_code, found.output


def test_check_shows_who_goes_when_and_faults_end_with_2(tmp_path):
    file = fleet(tmp_path)
    code, output = said("check", file)
    assert code == 0 and "fine. a: new.hcl" in output and output.count("g") > 6
    (tmp_path / "rollout.hcl").write_text('rollout "a" {\n  settings = "new.hcl"\n  hold = 3\n}\n')
    code, output = said("check", file)
    assert code == 2 and output.count("\n") == 1 and "rollout.hcl:3: " in output and "hold" in output
    (tmp_path / "rollout.hcl").write_text(GOOD.replace("new", "missing"))
    assert said("check", file)[0] == 2
    (tmp_path / "rollout.hcl").write_text(GOOD)
    (tmp_path / "new.hcl").write_text(SETTINGS.read_text())
    code, output = said("check", file)
    assert code == 2 and "new.hcl:1: peers: no such block: the gateway could not be called back" in output
    code, output = said("show", file)
    assert code == 2 and "has the gateway run?" in output
    file.write_text(SETTINGS.read_text())
    assert said("check", file) == (2, f"yardbank: {file}: no rollout block: this gateway takes part in none\n")


def test_stop_and_withdraw_add_their_word_to_the_file_beside(tmp_path):
    file = fleet(tmp_path)
    assert said("stop", file, "a")[0] == said("stop", file, "a")[0] == said("withdraw", file, "b")[0] == 0
    found = taken((tmp_path / "rollout.hcl.word").read_bytes(), "w", COMMANDS)
    assert found == OperatorCommand(("a",), ("b",))
    assert said("stop", file, 'a" {')[0] == 2
    assert taken((tmp_path / "rollout.hcl.word").read_bytes(), "w", COMMANDS) == found


def test_the_command_line_without_rollouts_imports_none_of_it():
    code = "import sys, yardbank.cli; print([name for name in sys.modules if 'rollout' in name and 'cli' not in name])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout == "[]\n"
