"""Files of the list distribution: the operator's source, the stored copy, and the settings."""

from random import Random

import pytest
from twisted.internet.task import Clock

from tests.cluster.test_coordination import TOGETHER, Log, made, parts, without
from yardbank.cluster.list_distribution.document import entries_of, table_of, text_of
from yardbank.cluster.list_distribution.files import DistributionFiles, SourceReader, stored_table
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


def table_of_servers(servers):
    table, version = Table(), Version(3, 17)
    table.apply(table.difference(entries_of({"s": render(servers).encode()}, GROUPS), version))
    return table


def test_stored_copy_parses_as_the_published_list_and_keeps_its_version():
    table = table_of_servers(SERVERS)
    text = text_of(table)
    (action,) = ServerListLifecycle(GROUPS, settle=0).seen(1, {"list.hcl": text.encode()})
    assert isinstance(action, Apply) and set(action.fleet.servers) == set(SERVERS)
    again = table_of(text)
    assert (again.version, again.digest, dict(again.entries)) == (table.version, table.digest, dict(table.entries))


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda t: t[:-20],
        lambda t: t.replace("10.0.0.1", "10.0.0.2", 1),
        lambda t: t.split("\n", 1)[1],
        lambda t: t.replace("version 3", "version x"),
        lambda t: "",
    ],
)
def test_stored_copy_that_does_not_match_its_header_is_rejected(tmp_path, corrupt):
    path, log = tmp_path / "list.hcl", Log()
    path.write_text(corrupt(text_of(table_of_servers(SERVERS))))
    with pytest.raises(DoesNotFitError):
        table_of(path.read_text())
    assert stored_table(path, log).version == NOTHING
    ((event, facts),) = log.lines
    assert event == "distributed_list_unusable" and facts["path"] == str(path)


def test_missing_copy_is_an_empty_table_without_a_log_line(tmp_path):
    log = Log()
    assert stored_table(tmp_path / "none", log).version == NOTHING and not log.lines


def test_source_faults_are_reported_once_with_file_and_line():
    source = SourceReader(GROUPS)
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


def test_distribution_block_creates_the_part_and_needs_peers(tmp_path):
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


class AlwaysHeldLeases:
    """Leases that this gateway always holds."""

    def acquire(self, now, resource):
        """No-op: the lease is held already."""

    def epoch(self, now, resource):
        return 4


class SingleGatewayView:
    name, boot_epoch = "g1", 1

    def alive(self):
        return frozenset()

    def zones(self):
        return {"g1": ""}


def test_changed_source_is_published_and_written_and_an_invalid_one_changes_nothing(tmp_path):
    from yardbank.cluster.list_distribution.options import Options
    from yardbank.cluster.list_distribution.part import DistributionPart
    from yardbank.config.blocks import DistributionBlock

    clock, log, prompts = Clock(), Log(), []
    clock.callFromThread = lambda call: None  # polling by the watcher detects the change
    part = DistributionPart(SingleGatewayView(), AlwaysHeldLeases(), Random(1), Options(settle=1))
    block = DistributionBlock(file="list.hcl", source="source.hcl")
    files = DistributionFiles(
        block,
        tmp_path,
        GROUPS,
        part,
        reactor=clock,
        now=lambda: int(clock.seconds() * 1e9),
        log=log,
        prompt=lambda: prompts.append(1),
    )
    (tmp_path / "source.hcl").write_text(render(SERVERS))
    files.start()
    try:
        assert prompts == [1]
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
