"""Simulated network faults, client retries, and states of processes."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.testing.rig.test_scenarios import scenario
from yardbank.testing.rig import roster as r
from yardbank.testing.rig.load import draw_arrivals, next_gateway, retry_wait
from yardbank.testing.rig.network import (
    MAX_DATAGRAMS,
    MAX_HELD_OCTETS,
    DatagramLink,
    DelayedStream,
    Effect,
    Network,
    StreamEnd,
    pairs_of,
)
from yardbank.testing.rig.roster import ProcessTable

PIECES = st.lists(st.binary(min_size=1, max_size=300), min_size=1, max_size=30)
EFFECTS = st.builds(
    Effect, st.sampled_from(["", "silent"]), st.floats(0, 0.2), st.floats(0, 0.2), st.sampled_from([0.0, 1000.0])
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PIECES, st.lists(EFFECTS, min_size=1, max_size=5), st.integers(0, 99))
def test_a_stream_keeps_its_order_under_any_network_effects(pieces, effects, seed):
    stream, now, received, sent = DelayedStream(Random(seed)), 0.0, [], 0
    for index, piece in enumerate(pieces):
        effect = effects[index % len(effects)]
        stream.push(now, piece, effect)
        sent += len(piece)
        now += 0.01
        found = stream.due(now, effect)
        assert not (effect.cut and found)
        received += found
    stream.push(now, StreamEnd(True), Effect())
    received += stream.due(now + 1000, Effect())
    assert received[-1] == StreamEnd(True)
    assert b"".join(received[:-1]) == b"".join(pieces)
    assert stream.next_at(Effect()) is None


def test_a_stream_limits_its_buffer_and_its_rate():
    stream = DelayedStream(Random(1))
    stream.push(0.0, bytes(1000), Effect(rate=1000.0))
    stream.push(0.0, bytes(500), Effect(rate=1000.0, delay=1.0))
    assert stream.due(0.99, Effect()) == [] and len(stream.due(1.0, Effect())) == 1
    assert stream.next_at(Effect()) == 2.5 and stream.next_at(Effect(cut="silent")) is None
    stream.push(0.0, bytes(MAX_HELD_OCTETS), Effect())
    assert stream.is_full
    stream.due(10.0, Effect())
    assert not stream.is_full


def test_corrupted_chunks_differ_in_one_octet():
    stream, data = DelayedStream(Random(3)), bytes(range(200))
    stream.push(0.0, data, Effect(spoil=1.0))
    (piece,) = stream.due(0.0, Effect())
    assert len(piece) == 200 and sum(a != b for a, b in zip(piece, data)) == 1


def test_datagrams_are_lost_duplicated_and_reordered_at_the_given_shares():
    link, random = DatagramLink(Random(5)), Effect(lose=0.3, double=0.1, reorder=0.2, delay=0.01)
    arrivals = [link.push(float(n), b"%d" % n, random) for n in range(2000)]
    counts = Counter(len(found) for found in arrivals)
    assert 500 < counts[0] < 700 and 90 < counts[2] < 190 and link.lost == counts[0]
    late = sum(at - n > 0.0101 for n, found in enumerate(arrivals) for at, _ in found)
    assert 200 < late < 420
    assert DatagramLink(Random(1)).push(0.0, b"x", Effect(cut="reset")) == []
    full = DatagramLink(Random(1))
    for _ in range(MAX_DATAGRAMS + 5):
        full.push(0.0, b"x", Effect(delay=9.0))
    assert full.in_transit == MAX_DATAGRAMS and full.lost == 5
    full.arrived()
    assert full.push(0.0, b"x", Effect())


def test_faults_on_one_pair_combine_and_end_separately():
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


def test_load_is_reproducible_from_its_seed():
    made = scenario('load {\n  rate = 200\n  length = "10s"\n  writes = 0.2\n}\n')
    arrivals = draw_arrivals(made.load, made.group, 4)
    assert arrivals == draw_arrivals(made.load, made.group, 4) != draw_arrivals(made.load, made.group, 5)
    assert 1800 < len(arrivals) < 2200 and [a.at for a in arrivals] == sorted(a.at for a in arrivals)
    share = Counter(a.read for a in arrivals)
    assert 0.17 < share["write"] / len(arrivals) < 0.23 and share["session"] > 600 and share["bounded"] > 600


def test_operations_that_may_have_run_are_not_retried():
    made = scenario("")
    by_read = {a.read: a for a in draw_arrivals(made.load, made.group, 1)}
    random = Random(1)
    for outcome, again in {
        "refused": "bounded session write",
        "lost": "bounded session",
        "failed": "bounded session",
        "silent": "",
        "served": "",
    }.items():
        for read, arrival in by_read.items():
            wait = retry_wait(arrival, made.load, 1, outcome, 0.1, random)
            assert (wait is not None) == (read in again.split())
            assert wait is None or 0.025 <= wait <= 0.05
            assert retry_wait(arrival, made.load, made.load.retries + 1, outcome, 0.1, random) is None
            assert retry_wait(arrival, made.load, 1, outcome, arrival.deadline, random) is None
    assert {next_gateway(["g1", "g2", "g3"], "g2", random) for _ in range(50)} == {"g1", "g3"}
    assert next_gateway(["g1"], "g1", random) == "g1"


def test_unintended_process_exits_are_reported():
    processes = ProcessTable()
    for word in ("start", "ready", "kill"):
        processes.move("g1", word)
    assert processes.ended("g1", None, 9)
    processes.move("g1", "start")
    assert not processes.ended("g1", 3, None) and processes.unexpected_exits == ["g1 ended by itself with code 3"]
    for word in ("start", "ready", "terminate"):
        processes.move("g1", word)
    assert not processes.ended("g1", 1, None) and "though told to stop" in processes.unexpected_exits[1]
    with pytest.raises(ValueError, match="g1 is down: pause is not possible"):
        processes.move("g1", "pause")
    assert processes.member("g1").starts == 3 and not processes.ready()
    assert {state for before, _, after in r.TRANSITIONS for state in (before, after)} == {
        r.DOWN,
        r.STARTING,
        r.READY,
        r.PAUSED,
        r.ENDING,
    }
