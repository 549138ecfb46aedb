"""The distributed list's files: the operator's source, the copy, and the daemon's settings around them."""

from random import Random

import pytest
from twisted.internet.task import Clock

from tests.cluster.test_coordination import TOGETHER, Log, made, parts, without
from yardbank.cluster.list_distribution.document import entries_of, table_of, text_of
from yardbank.cluster.list_distribution.files import DistributionFiles, Source, stored_table
from yardbank.cluster.list_distribution.table import DoesNotFitError, Table
from yardbank.cluster.list_distribution.version import NOTHING, Version
from yardbank.config import ConfigError, load_text
from yardbank.gateway import ServerSpec
from yardbank.server_list import Apply, ServerListLifecycle
from yardbank.server_list.document import ServerListError, render

GROUPS = {"g0", "g1"}
SERVERS = [
    ServerSpec(f"db-{n}", f"g{n % 2}", "z", "10.0.0.1", 1024 + n, n < 2, "ready" if n else "draining", 12.5, 1 + n / 8)
    for n in range(6)
]
BLOCK = 'distribution {\n  file = "list.hcl"\n  source = "source.hcl"\n}\n'


def copy_of(servers):
    table, version = Table(), Version(3, 17)
    table.apply(table.difference(entries_of({"s": render(servers).encode()}, GROUPS), version))
    return table


def test_a_copy_is_written_as_the_list_that_was_published_and_read_again_with_its_version():
    table = copy_of(SERVERS)
    text = text_of(table)
    (action,) = ServerListLifecycle(GROUPS, settle=0).seen(1, {"list.hcl": text.encode()})
    assert isinstance(action, Apply) and set(action.fleet.servers) == set(SERVERS)
    again = table_of(text)
    assert (again.version, again.digest, dict(again.entries)) == (table.version, table.digest, dict(table.entries))


@pytest.mark.parametrize(
    "spoil",
    [
        lambda t: t[:-20],
        lambda t: t.replace("10.0.0.1", "10.0.0.2", 1),
        lambda t: t.split("\n", 1)[1],
        lambda t: t.replace("version 3", "version x"),
        lambda t: "",
    ],
)
def test_a_copy_that_is_not_what_its_first_line_says_is_not_trusted(tmp_path, spoil):
    path, log = tmp_path / "list.hcl", Log()
    path.write_text(spoil(text_of(copy_of(SERVERS))))
    with pytest.raises(DoesNotFitError):
        table_of(path.read_text())
    assert stored_table(path, log).version == NOTHING
    ((event, facts),) = log.lines
    assert event == "distributed_list_unusable" and facts["path"] == str(path)


def test_no_copy_is_an_empty_one_without_a_word(tmp_path):
    log = Log()
    assert stored_table(tmp_path / "none", log).version == NOTHING and not log.lines


def test_a_source_with_faults_names_file_and_line_once_and_a_good_one_is_taken():
    source = Source(GROUPS)
    good = render(SERVERS).encode()
    (found,) = source.seen(1, {"s.hcl": good})
    assert sorted(found) == [server.name for server in SERVERS]
    assert source.seen(2, {"s.hcl": good}) == []
    (fault,) = source.seen(3, {"s.hcl": good[:-40]})
    assert isinstance(fault, ServerListError) and fault.faults[0].startswith("s.hcl:")
    (fault,) = source.seen(4, {"s.hcl": render([SERVERS[0], SERVERS[0]]).encode()})
    assert any("listed twice" in line for line in fault.faults)
    plan = good + b'class "c" {\n  effect = "safe"\n  read = "any"\n  aim = "1s"\n  deadline = "2s"\n}\n'
    (fault,) = source.seen(5, {"s.hcl": plan})
    assert isinstance(fault, ServerListError)
    assert source.due() is None and source.force() == []


def test_the_block_makes_the_part_and_without_peers_it_is_a_fault(tmp_path):
    text = without("rollout", "atlas", "channels", "leases") + BLOCK
    proxy, _ = made(tmp_path, text)
    assert tuple(parts(proxy)) == ("lease", "list")
    with pytest.raises(ConfigError, match="distribution: needs a peers block"):
        load_text(without("peers", "rollout", "atlas", "channels", "leases") + BLOCK)
    with pytest.raises(ConfigError, match="nothing: unknown key"):
        load_text(text.replace('file = "list.hcl"', "nothing = 1"))
    with pytest.raises(ValueError, match="distribution: cannot change in service"):
        proxy.reload(load_text(text.replace("source.hcl", "other.hcl")))
    assert "distribution" not in TOGETHER


class Holding:
    """The lease, held for good."""

    def acquire(self, now, resource):
        """Held already."""

    def epoch(self, now, resource):
        return 4


class Alone:
    name, boot_epoch = "g1", 1

    def alive(self):
        return frozenset()

    def zones(self):
        return {"g1": ""}


def test_a_source_that_changes_is_published_written_and_logged_and_a_bad_one_leaves_all_as_it_was(tmp_path):
    from yardbank.cluster.list_distribution.options import Options
    from yardbank.cluster.list_distribution.part import DistributionPart
    from yardbank.config.blocks import DistributionBlock

    clock, log, asked = Clock(), Log(), []
    clock.callFromThread = lambda call: None  # the watcher's own look finds the change
    part = DistributionPart(Alone(), Holding(), Random(1), Options(settle=1))
    block = DistributionBlock(file="list.hcl", source="source.hcl")
    files = DistributionFiles(
        block,
        tmp_path,
        GROUPS,
        part,
        reactor=clock,
        now=lambda: int(clock.seconds() * 1e9),
        log=log,
        prompt=lambda: asked.append(1),
    )
    (tmp_path / "source.hcl").write_text(render(SERVERS))
    files.start()
    try:
        assert asked == [1]
        for at in (1, 2):
            part.tick(at * 10**9)
        files.after()
        written = (tmp_path / "list.hcl").read_text()
        assert table_of(written).version == Version(4, 1)
        (line,) = [facts for event, facts in log.lines if event == "list_distributed"]
        assert line["version"] == "4.1" and line["changed"] == 6
        (tmp_path / "source.hcl").write_text("server {")
        clock.advance(1.1)
        part.tick(5 * 10**9)
        files.after()
        assert [event for event, _ in log.lines].count("list_source_rejected") == 1
        assert (tmp_path / "list.hcl").read_text() == written
    finally:
        files.stop()
