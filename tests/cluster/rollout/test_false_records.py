"""False records of single gateways, acceptance of relayed records, and the rate of record traffic."""

from random import Random

import msgspec
import pytest

from tests.cluster.rollout.test_faults import wait_for_new
from tests.cluster.rollout.test_fleet import LOOKUP, degrade_new_version, start_fleet
from tests.support.rollout_fleet import SECOND, Kind, change
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import Cell, GatewayRecord, decode_message, encode_message, encode_record
from yardbank.cluster.rollout.record_log import RecordLog


def falsify_records(world, name, falsify):
    """Changes every further record of a gateway by ``falsify`` before it is sent."""
    record_log = world.processes[name].part._record_log
    put_own = record_log.put_own
    record_log.put_own = lambda record: put_own(falsify(record))


def all_failed(record):
    cells = tuple(msgspec.structs.replace(c, good=0, failed=c.failed + c.good) for c in record.cells)
    return msgspec.structs.replace(record, cells=cells)


def test_one_gateway_that_reports_only_failures_can_only_delay_the_rollout():
    world = start_fleet(8, asked=change(longest=120 * SECOND))
    assert wait_for_new(world)
    falsify_records(world, sorted(world.on_new())[0], all_failed)
    world.run(300)
    assert not world.said("stopped") and len(world.on_new()) >= 2


def test_one_stop_vote_holds_the_rollout_and_two_stop_it():
    world = start_fleet(8)
    assert wait_for_new(world)
    falsify_records(world, "g000", lambda record: msgspec.structs.replace(record, stop="served lookup"))
    world.run(120)
    assert len(world.on_new()) == 2 and not world.said("stopped")
    falsify_records(world, "g001", lambda record: msgspec.structs.replace(record, stop="served lookup"))
    assert world.until(lambda: len(world.said("stopped")) >= 6 and world.all_old(), 200)


def test_one_gateway_that_reports_only_success_does_not_pass_a_bad_version():
    """The liar reports only successes as the new one of a pair, or only failures as the old one of a pair."""
    for old_gateway_lies in (0, 1):
        world = degrade_new_version(start_fleet(8, asked=change(longest=200 * SECOND)), Kind(failed=0.15))
        assert wait_for_new(world)
        pair = world.processes["g000"].part._progress.canary_analysis.pairs[0]

        def all_served(record):
            cells = tuple(Cell(cell.name, sum(cell.counts()), 0, 0, 0, 0) for cell in record.cells)
            return msgspec.structs.replace(record, cells=cells)

        falsify_records(
            world, pair.old if old_gateway_lies else pair.new, all_failed if old_gateway_lies else all_served
        )
        world.run(250)
        assert not world.said("well") and len(world.on_new()) <= 2


def test_a_record_of_a_third_gateway_needs_two_senders():
    record_log = RecordLog("g0", Random(1))
    record_log.listed(["g0", "g1", "g2", "g3"])
    forged = encode_record(GatewayRecord("g3", 1, 9, "c1", 7, Phase.FELL))
    assert (
        record_log.receive("g1", encode_message([forged])) == record_log.receive("g1", encode_message([forged])) == []
        and record_log.latest("g3") is None
    )
    other = encode_record(GatewayRecord("g3", 1, 9, "c1", 7, Phase.NEW))
    assert record_log.receive("g2", encode_message([other])) == []  # other content: no second sender
    assert [record.phase for record in record_log.receive("g2", encode_message([forged]))] == [Phase.FELL]
    assert (
        record_log.receive("g3", encode_message([encode_record(GatewayRecord("g3", 1, 8, "c1", 7, Phase.NEW))])) == []
    )  # older by number
    assert [
        record.phase
        for record in record_log.receive(
            "g3", encode_message([encode_record(GatewayRecord("g3", 2, 1, "c1", 7, Phase.NEW))])
        )
    ] == [Phase.NEW]
    assert record_log.receive("g1", encode_message([encode_record(GatewayRecord("g9", 1, 1))])) == []  # not on the list
    record_log.put_own(GatewayRecord("g0", 5, 1))
    assert (
        record_log.receive("g1", encode_message([encode_record(GatewayRecord("g0", 5, 50, stop="x"))])) == []
        and record_log.contested == 1
    )
    assert record_log.latest("g0").number == 1


def test_records_of_a_later_program_pass_unchanged_and_malformed_ones_are_dropped():
    plain = GatewayRecord("g1", 3, 4, "c1", 5, Phase.NEW, "v", "", 6, 0, 0, 100, (Cell("lookup:0", 1, 2, 3, 4, 5, 6),))
    later = msgspec.msgpack.encode([*msgspec.msgpack.decode(encode_record(plain)), "more", [1, 2]])
    (found,) = decode_message(encode_message([later]))
    assert found == (plain, later)
    assert decode_message(msgspec.msgpack.encode(["another kind", 1])) == []
    for malformed in (
        b"",
        b"\xc1",
        msgspec.msgpack.encode([]),
        encode_message([encode_record(msgspec.structs.replace(plain, boot_epoch=0))]),
        encode_message([encode_record(msgspec.structs.replace(plain, stop="x" * 99))]),
        encode_message([encode_record(msgspec.structs.replace(plain, cells=plain.cells * 2))]),
    ):
        with pytest.raises(DroppedError):
            decode_message(malformed)
    data = encode_message([encode_record(plain)])
    for at in range(len(data)):
        try:
            decode_message(data[:at])
        except DroppedError:
            continue
        raise AssertionError(at)


def test_record_traffic_stays_within_its_rate_and_reaches_all_gateways():
    """48 gateways: figures of the compared pairs and phases of all, at a bounded rate for each gateway."""
    world = start_fleet(48, 3, asked=change(most_at_once=4, hold=300 * SECOND))
    world.run(60)
    before = {name: node.outbox.octets for name, node in world.gossip.nodes.items()}
    world.run(30)
    alive = [name for name in before if name in world.gossip.nodes]
    rates = [(world.gossip.nodes[name].outbox.octets - before[name]) / 30 for name in alive]
    assert max(rates) < 1200 and not any(world.gossip.nodes[name].outbox.withheld for name in alive)
    settled = [name for name in alive if world.gossip.now - world.processes[name].began_at > 30 * SECOND]
    newest = max(world.processes[name].part._announcer.beat for name in settled)
    analysis = world.processes[settled[0]].part._progress.canary_analysis
    compared = [name for pair in analysis.pairs for name in (pair.new, pair.old) if name in settled]
    assert len(settled) > 35 and len(compared) > 8
    beats_behind = []
    for name in settled:
        record_log = world.processes[name].part._record_log
        assert len(record_log.all()) >= 44
        known = [record_log.latest(gateway) for gateway in compared]
        beats_behind += [99 if record is None else newest - record.beat for record in known]
    assert sorted(beats_behind)[int(0.85 * len(beats_behind))] <= 2
    assert LOOKUP in world.figures("g000").classes
