"""Recovery of a fleet of many small gateways: it recovers from a burst unaided, and does not without load reports."""

import pytest

from yardbank.policy import Router
from yardbank.testing.emulator.clock import VirtualClock
from yardbank.testing.emulator.server import FULL, MISS, OK, SECOND, Capacity, EmulatedServer, Work
from yardbank.testing.rig.virtual import Fleet, World, served_share


def served_around_burst(**more):
    """Return the served share before a burst of 1.6 times the load, that of 2 to 4 seconds after it, and all spans."""
    world = World(
        **({"gateways": 200, "groups": 4, "rate": 520.0, "length": 11.0} | more),
        load=lambda second: 1.6 if 3 <= second < 6 else 1.0,
    )
    fleet = Fleet(world, Router)
    spans = fleet.run()
    return served_share(spans, 1, 3), served_share(spans, 8, 10), spans


def test_fleet_recovers_within_two_seconds_of_a_burst():
    before, after, _ = served_around_burst()
    assert before > 0.85 and after > 0.95 * before


def test_fleet_without_load_reports_does_not_recover_in_the_model():
    before, after, _ = served_around_burst(tells_load=False)
    assert after < 0.8 * before


def test_fleet_recovers_after_all_servers_were_down_for_three_seconds():
    world = World(
        gateways=200,
        groups=4,
        rate=400.0,
        length=14.0,
        faults=(
            (3, lambda fleet: fleet.every(EmulatedServer.stop)),
            (6, lambda fleet: fleet.every(EmulatedServer.start)),
        ),
    )
    spans = Fleet(world, Router).run()
    before = served_share(spans, 1, 3)
    assert served_share(spans, 4, 6) < 0.6 * before < 0.85 * before < served_share(spans, 11, 14)


def test_same_seed_gives_the_same_run():
    runs = [served_around_burst(gateways=20, rate=100.0, length=10.0)[2] for _ in range(2)]
    assert runs[0] == runs[1]


def test_emulated_server_shares_cores_queues_for_slots_and_rejects_when_full():
    clock = VirtualClock(SECOND)
    server = EmulatedServer(clock, Capacity(cores=2, slots=4, queue=1, crowd=9), primary=True)
    start = clock.now
    ends = []
    for _ in range(6):
        server.submit(Work(1.0, lambda end: ends.append((end, round((clock.now - start) / SECOND, 2)))))
    assert ends == [(FULL, 0.0)] and server.pending == 5
    clock.run(20 * SECOND)
    assert ends[1:5] == [(OK, 2.0)] * 4 and ends[5] == (OK, 3.0)  # four share two cores; then the fifth has one core


def test_emulated_server_slows_down_when_crowded():
    times = []
    for crowd in (9.0, 1.0):
        clock = VirtualClock(SECOND)
        server = EmulatedServer(clock, Capacity(cores=1, slots=4, queue=0, crowd=crowd, thrash=0.5), primary=True)
        ends = []
        for _ in range(4):
            server.submit(Work(1.0, lambda end, ends=ends, clock=clock: ends.append(clock.now)))
        clock.run(60 * SECOND)
        times.append((ends[-1] - SECOND) / SECOND)
    assert times[0] == pytest.approx(4, abs=0.01) and times[1] == pytest.approx(10, abs=0.01)


def test_emulated_replica_falls_behind_under_reads_and_answers_miss():
    clock = VirtualClock(SECOND)
    replica = EmulatedServer(clock, Capacity(cores=1, slots=9, crowd=10, apply_s=0.1), primary=False)
    ends = []
    for _ in range(9):
        replica.submit(Work(1.0, ends.append))
    replica.commit(clock.now)
    clock.run(clock.now + SECOND // 2)  # its apply thread got a tenth of the core: half of what it needs
    assert replica.position() < SECOND and not ends
    replica.submit(Work(1.0, ends.append), required_position=clock.now)
    replica.submit(Work(1.0, ends.append, write=True))
    assert ends == [MISS, MISS]
    clock.run(clock.now + SECOND)
    assert replica.position() == clock.now


def test_emulated_load_covers_the_last_period_and_a_stopped_server_answers_nothing():
    clock = VirtualClock(SECOND)
    server = EmulatedServer(clock, Capacity(cores=2), primary=True)
    ends = []
    server.submit(Work(0.5, ends.append))
    clock.run(2 * SECOND)
    server.measure(SECOND)
    assert server.load == pytest.approx(0.25) and ends == [OK]
    server.submit(Work(0.5, ends.append))
    server.stop()
    clock.run(4 * SECOND)
    assert ends == [OK] and server.pending == 0
