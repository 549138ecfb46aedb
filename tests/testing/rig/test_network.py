"""What a network does to what crosses it, who asks again, and which ends of a process were meant."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.testing.rig.test_scenarios import scenario
from yardbank.testing.rig import roster as r
from yardbank.testing.rig.load import draw, next_gateway, try_again
from yardbank.testing.rig.network import MAX_DATAGRAMS, MAX_HELD, Datagrams, Effect, Ended, Network, Stream, pairs_of
from yardbank.testing.rig.roster import Roster

PIECES = st.lists(st.binary(min_size=1, max_size=300), min_size=1, max_size=30)
EFFECTS = st.builds(
    Effect, st.sampled_from(["", "silent"]), st.floats(0, 0.2), st.floats(0, 0.2), st.sampled_from([0.0, 1000.0])
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PIECES, st.lists(EFFECTS, min_size=1, max_size=5), st.integers(0, 99))
def test_a_stream_keeps_its_order_whatever_the_network_does(pieces, effects, seed):
    stream, now, came, sent = Stream(Random(seed)), 0.0, [], 0
    for index, piece in enumerate(pieces):
        effect = effects[index % len(effects)]
        stream.push(now, piece, effect)
        sent += len(piece)
        now += 0.01
        found = stream.due(now, effect)
        assert not (effect.cut and found)
        came += found
    stream.push(now, Ended(True), Effect())
    came += stream.due(now + 1000, Effect())
    assert came[-1] == Ended(True)
    assert b"".join(came[:-1]) == b"".join(pieces)
    assert stream.next_at(Effect()) is None


def test_a_stream_bounds_what_it_holds_and_keeps_its_pace():
    stream = Stream(Random(1))
    stream.push(0.0, bytes(1000), Effect(rate=1000.0))
    stream.push(0.0, bytes(500), Effect(rate=1000.0, delay=1.0))
    assert stream.due(0.99, Effect()) == [] and len(stream.due(1.0, Effect())) == 1
    assert stream.next_at(Effect()) == 2.5 and stream.next_at(Effect(cut="silent")) is None
    stream.push(0.0, bytes(MAX_HELD), Effect())
    assert stream.crowded
    stream.due(10.0, Effect())
    assert not stream.crowded


def test_spoilt_pieces_differ_in_one_octet():
    stream, data = Stream(Random(3)), bytes(range(200))
    stream.push(0.0, data, Effect(spoil=1.0))
    (piece,) = stream.due(0.0, Effect())
    assert len(piece) == 200 and sum(a != b for a, b in zip(piece, data)) == 1


def test_datagrams_are_lost_doubled_and_overtaken_by_their_shares():
    wire, random = Datagrams(Random(5)), Effect(lose=0.3, double=0.1, reorder=0.2, delay=0.01)
    arrivals = [wire.push(float(n), b"%d" % n, random) for n in range(2000)]
    counts = Counter(len(found) for found in arrivals)
    assert 500 < counts[0] < 700 and 90 < counts[2] < 190 and wire.lost == counts[0]
    late = sum(at - n > 0.0101 for n, found in enumerate(arrivals) for at, _ in found)
    assert 200 < late < 420
    assert Datagrams(Random(1)).push(0.0, b"x", Effect(cut="reset")) == []
    full = Datagrams(Random(1))
    for _ in range(MAX_DATAGRAMS + 5):
        full.push(0.0, b"x", Effect(delay=9.0))
    assert full.under_way == MAX_DATAGRAMS and full.lost == 5
    full.arrived()
    assert full.push(0.0, b"x", Effect())


def test_faults_on_one_pair_add_up_and_go_one_by_one():
    network = Network()
    assert network.begin("a", pairs_of(["g1"], ["x", "y"], True), Effect(delay=0.1)) == {("g1", "x"), ("g1", "y")}
    changed = network.begin("b", pairs_of(["g1", "g2"], ["x"], False), Effect(cut="silent", lose=0.5))
    assert changed == {("g1", "x"), ("g2", "x"), ("x", "g1"), ("x", "g2")}
    assert network.effect("g1", "x") == Effect(cut="silent", delay=0.1, lose=0.5)
    assert network.begin("c", [("g1", "x")], Effect(cut="reset", lose=0.5)) == {("g1", "x")}
    assert network.effect("g1", "x") == Effect(cut="reset", delay=0.1, lose=0.75)
    network.end("b")
    network.end("c")
    assert network.effect("g1", "x") == Effect(delay=0.1) and network.effect("x", "g1") == Effect()
    assert network.end("a") == {("g1", "x"), ("g1", "y")} and network.end("a") == set()
    assert pairs_of(["g1", "g2"], ["g1", "g2"], True) == {("g1", "g2"), ("g2", "g1")}


def test_load_is_drawn_ahead_by_seed():
    made = scenario('load {\n  rate = 200\n  length = "10s"\n  writes = 0.2\n}\n')
    arrivals = draw(made.load, made.group, 4)
    assert arrivals == draw(made.load, made.group, 4) != draw(made.load, made.group, 5)
    assert 1800 < len(arrivals) < 2200 and [a.at for a in arrivals] == sorted(a.at for a in arrivals)
    share = Counter(a.read for a in arrivals)
    assert 0.17 < share["write"] / len(arrivals) < 0.23 and share["session"] > 600 and share["bounded"] > 600


def test_what_may_have_run_is_not_asked_again():
    made = scenario("")
    by_read = {a.read: a for a in draw(made.load, made.group, 1)}
    random = Random(1)
    for outcome, again in {
        "refused": "bounded session write",
        "lost": "bounded session",
        "failed": "bounded session",
        "silent": "",
        "served": "",
    }.items():
        for read, arrival in by_read.items():
            wait = try_again(arrival, made.load, 1, outcome, 0.1, random)
            assert (wait is not None) == (read in again.split())
            assert wait is None or 0.025 <= wait <= 0.05
            assert try_again(arrival, made.load, made.load.retries + 1, outcome, 0.1, random) is None
            assert try_again(arrival, made.load, 1, outcome, arrival.deadline, random) is None
    assert {next_gateway(["g1", "g2", "g3"], "g2", random) for _ in range(50)} == {"g1", "g3"}
    assert next_gateway(["g1"], "g1", random) == "g1"


def test_an_end_that_nobody_meant_is_told():
    members = Roster()
    for word in ("start", "ready", "kill"):
        members.move("g1", word)
    assert members.ended("g1", None, 9)
    members.move("g1", "start")
    assert not members.ended("g1", 3, None) and members.faults == ["g1 ended by itself with code 3"]
    for word in ("start", "ready", "terminate"):
        members.move("g1", word)
    assert not members.ended("g1", 1, None) and "though told to stop" in members.faults[1]
    with pytest.raises(ValueError, match="g1 is down: pause is not possible"):
        members.move("g1", "pause")
    assert members.member("g1").starts == 3 and not members.ready()
    assert {state for before, _, after in r.TABLE for state in (before, after)} == {
        r.DOWN,
        r.STARTING,
        r.READY,
        r.PAUSED,
        r.ENDING,
    }
