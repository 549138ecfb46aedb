"""The program as a process while primaries fail, replicas lag and the list tells roles late: no read of data too old."""

import asyncio
import time
from dataclasses import replace

import pytest

from tests.testing.soak.test_soak import run_soak
from yardbank.testing.soak.judge import judge
from yardbank.testing.soak.plan import Behaviour, FailoverStep, Replication, SignalStep, draw_failovers
from yardbank.testing.soak.play import PlanRunner
from yardbank.testing.soak.replication import ReplicationGroup

SEEDS = [3, 6]
NEVER = 60.0  # seconds


def plan_of(failovers, lags, terminate_at=6.0):
    return replace(
        draw_failovers(1),
        deadlines={"lookup": 1.0},
        servers=len(lags),
        discovery_steps=(),
        clients=(Behaviour.PLAIN,) * 4,
        signals=(SignalStep("SIGTERM", terminate_at),),
        terminate_at=terminate_at,
        replication=Replication(checked=False, staleness_bound=0.5, lags=lags, failovers=failovers),
    )


def test_read_avoids_a_deposed_primary_that_the_list_names_late():
    """Server 1 is promoted at 2.0 s and crashes at 2.4 s; the list calls it primary at 4.2 s, when it lags."""
    first = FailoverStep(at=1.5, downtime=NEVER, election_delay=0.5, list_delays=(2.2, NEVER))
    second = FailoverStep(at=2.4, downtime=0.3, election_delay=NEVER, list_delays=(NEVER, NEVER))
    play = asyncio.run(PlanRunner(plan_of((first, second), lags=(3.0, 0.01, 3.0))).run())
    assert any(attempt.told_primary is False for attempt in play.attempts if attempt.server == "s-1")
    assert judge(play) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_with_failovers_breaks_no_rule(tmp_path, seed):
    done = run_soak(tmp_path, "--failovers", str(seed))
    assert done.returncode == 0, done.stdout + done.stderr


def test_positions_stand_still_without_a_primary_and_never_decrease():
    group = ReplicationGroup({"a": 1.0, "b": 0.1, "c": 2.0}, "a", now=10.0)
    assert [group.position(name, 12.0) for name in "abc"] == [12.0, 11.9, 10.0]
    group.crash("a", 12.0)
    assert [group.position(name, 20.0) for name in "abc"] == [12.0, 12.0, 12.0]
    assert group.elect(20.0) == "b" and group.elect(20.0) is None
    group.restart("a")
    assert [group.position(name, 20.5) for name in "abc"] == [19.5, 20.5, 18.5]
    assert group.has_been_primary("a") and not group.has_been_primary("c")
    group.crash("b", 21.0)
    group.crash("a", 21.0)
    group.crash("c", 21.0)
    assert group.elect(30.0) is None and group.position("b", time.monotonic()) == 21.0
