"""Parts created from settings: only configured blocks, faults in settings, imports, refused reloads."""

import subprocess
import sys

import pytest
from twisted.internet.task import Clock

from tests.support.paths import EXAMPLE_SETTINGS
from yardbank.config import ConfigError, load_text
from yardbank.proxy import Proxy

EXAMPLE = EXAMPLE_SETTINGS.read_text()
TOGETHER = EXAMPLE.replace("#| ", "").replace("#|", "")
PARTS = ("lease", "feed", "rollout", "map")


class Log:
    """Collects log events with their fields."""

    def __init__(self):
        self.lines = []

    def bind(self, **more):
        return self

    def is_enabled_for(self, level):
        return False

    def _line(self, event, **more):
        self.lines.append((event, more))

    debug = info = warning = error = _line


def made(tmp_path, text):
    (tmp_path / "peers.key").write_text("ab" * 16 + "\n")
    log = Log()
    return Proxy(load_text(text), Clock(), log=log, folder=tmp_path, wall=lambda: 1e9), log


def parts(proxy):
    return proxy._peers.node.outbox.parts


def test_example_settings_are_valid_with_and_without_commented_blocks(tmp_path):
    assert load_text(EXAMPLE).peers is None
    proxy, log = made(tmp_path, TOGETHER)
    # A rollout requires a process that was started from a settings file.
    assert tuple(parts(proxy)) == ("lease", "map", "feed")
    assert ("rollout_disabled", {"why": "this process was not started from a settings file"}) in log.lines
    assert proxy.channels.part.topic == "feed"


def without(*blocks):
    text = TOGETHER
    for block in blocks:
        start = text.index(f"\n{block} {{")
        text = text[:start] + text[text.index("\n}\n", start) + 2 :]
    return text


def test_only_configured_parts_are_created(tmp_path):
    proxy, _ = made(tmp_path, without("rollout", "atlas", "channels", "leases"))
    assert not parts(proxy) and proxy._coordination is None
    with pytest.raises(RuntimeError, match="no channels block"):
        _ = proxy.channels
    proxy, _ = made(tmp_path, without("rollout", "channels", "leases"))
    assert tuple(parts(proxy)) == ("lease", "map")


@pytest.mark.parametrize("block", ["leases", "channels", "rollout", "atlas"])
def test_block_without_peers_block_is_reported_with_its_line(block):
    others = [name for name in ("leases", "channels", "rollout", "atlas") if name != block]
    with pytest.raises(ConfigError) as caught:
        load_text(without("peers", *others), "g.hcl")
    line = without("peers", *others).splitlines().index(f"{block} {{") + 1
    assert caught.value.faults == [f"g.hcl:{line}: {block}: needs a peers block"]


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (('term    = "3s"', 'term    = "900ms"'), "leases: overlap is nothing, or more than half of term"),
        (("voters  = 3", "voters  = 9"), "leases.voters: Input should be less than or equal to 7"),
        (("drift   = 0.02", "drift   = 0.5"), "leases.drift: Input should be less than or equal to 0.2"),
        (('young = "30s"', "young = 30"), 'rollout.young: a duration such as "500ms" or "3s" is wanted'),
    ],
)
def test_invalid_value_is_one_fault_with_its_field(change, fault):
    with pytest.raises(ConfigError) as caught:
        load_text(TOGETHER.replace(*change), "g.hcl")
    assert len(caught.value.faults) == 1 and fault in caught.value.faults[0], caught.value.faults


def test_packages_of_unconfigured_parts_are_not_imported(tmp_path):
    code = (
        "import sys\nfrom pathlib import Path\nfrom twisted.internet.task import Clock\n"
        "from yardbank.config import load\nfrom yardbank.proxy import Proxy\n"
        "Proxy(load(Path(sys.argv[1])), Clock())\n"
        "print(sorted({name.split('.')[1] for name in sys.modules if name.startswith('yardbank.')}))\n"
    )
    file = tmp_path / "g.hcl"
    file.write_text(EXAMPLE)
    done = subprocess.run([sys.executable, "-c", code, str(file)], capture_output=True, text=True, check=True)
    assert "gateway" in done.stdout
    for name in ("peers", "lease", "channels", "rollout", "atlas", "joint", "rig"):
        assert f"'{name}'" not in done.stdout, done.stdout


def test_reload_refuses_changes_that_need_a_restart(tmp_path):
    proxy, _ = made(tmp_path, without("rollout"))
    with pytest.raises(ValueError, match="leases: cannot change in service"):
        proxy.reload(load_text(without("rollout").replace('term    = "3s"', 'term    = "4s"')))
