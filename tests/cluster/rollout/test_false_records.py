"""Rollouts and gateways that lie; what a record is worth by who told it; at what rate records go round."""

from random import Random

import msgspec
import pytest

from tests.cluster.rollout.test_faults import moved
from tests.cluster.rollout.test_fleet import LOOKUP, begun, worse
from tests.support.rollout_fleet import SECOND, Kind, change
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import Cell, GatewayRecord, encoded, letter, records
from yardbank.cluster.rollout.record_log import RecordLog


def lie(world, name, change_it):
    """From now on what a gateway says of itself is changed so, before it is told."""
    record_log = world.processes[name].part._record_log
    honest = record_log.say
    record_log.say = lambda said: honest(change_it(said))


def bad(said):
    cells = tuple(msgspec.structs.replace(c, good=0, failed=c.failed + c.good) for c in said.cells)
    return msgspec.structs.replace(said, cells=cells)


def test_one_that_says_the_new_version_is_bad_makes_it_wait_at_worst():
    world = begun(8, asked=change(longest=120 * SECOND))
    assert moved(world)
    lie(world, sorted(world.on_new())[0], bad)
    world.run(300)
    assert not world.said("stopped") and len(world.on_new()) >= 2


def test_one_that_says_stop_makes_it_wait_and_two_stop_it():
    world = begun(8)
    assert moved(world)
    lie(world, "g000", lambda said: msgspec.structs.replace(said, stop="served lookup"))
    world.run(120)
    assert len(world.on_new()) == 2 and not world.said("stopped")
    lie(world, "g001", lambda said: msgspec.structs.replace(said, stop="served lookup"))
    assert world.until(lambda: len(world.said("stopped")) >= 6 and world.all_old(), 200)


def test_one_that_says_the_new_version_is_good_is_not_enough():
    """It has all requests served where it is new itself, and all failing where it is compared with a new one."""
    for liar in (0, 1):
        world = worse(begun(8, asked=change(longest=200 * SECOND)), Kind(failed=0.15))
        assert moved(world)
        pair = world.processes["g000"].part._progress.canary_analysis.pairs[0]

        def good(record):
            cells = tuple(Cell(cell.name, sum(cell.counts()), 0, 0, 0, 0) for cell in record.cells)
            return msgspec.structs.replace(record, cells=cells)

        lie(world, pair.old if liar else pair.new, bad if liar else good)
        world.run(250)
        assert not world.said("well") and len(world.on_new()) <= 2


def test_two_are_needed_to_tell_of_a_third():
    record_log = RecordLog("g0", Random(1))
    record_log.listed(["g0", "g1", "g2", "g3"])
    forged = encoded(GatewayRecord("g3", 1, 9, "c1", 7, Phase.FELL))
    assert (
        record_log.take("g1", letter([forged])) == record_log.take("g1", letter([forged])) == []
        and record_log.said("g3") is None
    )
    other = encoded(GatewayRecord("g3", 1, 9, "c1", 7, Phase.NEW))
    assert record_log.take("g2", letter([other])) == []  # told otherwise: no second voice
    assert [said.phase for said in record_log.take("g2", letter([forged]))] == [Phase.FELL]
    assert (
        record_log.take("g3", letter([encoded(GatewayRecord("g3", 1, 8, "c1", 7, Phase.NEW))])) == []
    )  # older by number
    assert [
        said.phase for said in record_log.take("g3", letter([encoded(GatewayRecord("g3", 2, 1, "c1", 7, Phase.NEW))]))
    ] == [Phase.NEW]
    assert record_log.take("g1", letter([encoded(GatewayRecord("g9", 1, 1))])) == []  # nobody on the list
    record_log.say(GatewayRecord("g0", 5, 1))
    assert (
        record_log.take("g1", letter([encoded(GatewayRecord("g0", 5, 50, stop="x"))])) == []
        and record_log.contested == 1
    )
    assert record_log.said("g0").number == 1


def test_records_of_a_later_program_pass_unchanged_and_odd_ones_are_dropped():
    plain = GatewayRecord("g1", 3, 4, "c1", 5, Phase.NEW, "v", "", 6, 0, 0, 100, (Cell("lookup:0", 1, 2, 3, 4, 5, 6),))
    later = msgspec.msgpack.encode([*msgspec.msgpack.decode(encoded(plain)), "more", [1, 2]])
    (found,) = records(letter([later]))
    assert found == (plain, later)
    assert records(msgspec.msgpack.encode(["another kind", 1])) == []
    for odd in (
        b"",
        b"\xc1",
        msgspec.msgpack.encode([]),
        letter([encoded(msgspec.structs.replace(plain, boot_epoch=0))]),
        letter([encoded(msgspec.structs.replace(plain, stop="x" * 99))]),
        letter([encoded(msgspec.structs.replace(plain, cells=plain.cells * 2))]),
    ):
        with pytest.raises(DroppedError):
            records(odd)
    data = letter([encoded(plain)])
    for at in range(len(data)):
        try:
            records(data[:at])
        except DroppedError:
            continue
        raise AssertionError(at)


def test_what_is_told_stays_within_its_rate_and_reaches_all():
    """48 gateways: figures of the compared, everybody's place, at a bounded rate for each."""
    world = begun(48, 3, asked=change(most_at_once=4, hold=300 * SECOND))
    world.run(60)
    before = {name: node.outbox.octets for name, node in world.gossip.nodes.items()}
    world.run(30)
    alive = [name for name in before if name in world.gossip.nodes]
    rates = [(world.gossip.nodes[name].outbox.octets - before[name]) / 30 for name in alive]
    assert max(rates) < 1200 and not any(world.gossip.nodes[name].outbox.withheld for name in alive)
    ripe = [name for name in alive if world.gossip.now - world.processes[name].began_at > 30 * SECOND]
    newest = max(world.processes[name].part._announcer.beat for name in ripe)
    analysis = world.processes[ripe[0]].part._progress.canary_analysis
    compared = [name for pair in analysis.pairs for name in (pair.new, pair.old) if name in ripe]
    assert len(ripe) > 35 and len(compared) > 8
    told = []
    for name in ripe:
        record_log = world.processes[name].part._record_log
        assert len(record_log.all()) >= 44
        known = [record_log.said(one) for one in compared]
        told += [99 if said is None else newest - said.beat for said in known]
    assert sorted(told)[int(0.85 * len(told))] <= 2  # beats behind
    assert LOOKUP in world.figures("g000").classes
