"""Cold servers under the combined load of a fleet whose gateways do not communicate, on a virtual clock.

The budget of a cold server follows from the settings: a multiple of its current capacity over a given window, counted
as N requests of mean work. An excess of up to 2 * sqrt(N) + 2 is attributed to chance. Everything that reaches the server
counts: requests, retries, probes, handshakes.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import sqrt

import pytest

from yardbank import interface as api
from yardbank.policy import Router
from yardbank.policy.servers import ServerTable
from yardbank.testing.rig.virtual import Fleet, World
from yardbank.testing.rig.virtual_world import MS, SECOND, START

COLD, SHARE, MULTIPLE, WINDOW = 18 * SECOND, 0.15, 2.5, SECOND  # within the documented range
PROBE_WORK = 0.0005  # core seconds
RESTART_S, DURATION_S = 3.0, 13.0


@dataclass
class ReceivedWork:
    """The work that reached one server since it started, with arrival times (core seconds)."""

    started: int
    full: float  # capacity when warm, core seconds per second
    arrivals: list[tuple[int, float]] = field(default_factory=list)

    def capacity(self, now: int) -> float:
        """Current capacity, which rises linearly from the cold share."""
        return self.full * min(1.0, SHARE + (1 - SHARE) * (now - self.started) / COLD)

    def worst_window(self, mean: float) -> float:
        """The greatest ratio, over all windows, of received work to what the window may bring."""
        worst, first, total = 0.0, 0, 0.0
        for at, work in self.arrivals:
            total += work
            while self.arrivals[first][0] <= at - WINDOW:
                total -= self.arrivals[first][1]
                first += 1
            allowed = MULTIPLE * self.capacity(max(self.started, at - WINDOW)) * WINDOW / SECOND / mean
            worst = max(worst, total / mean / (allowed + 2 * sqrt(allowed) + 2))
        return worst


class ColdFleet(Fleet):
    """A fleet whose servers are restarted under load, with every gateway notified at the same time."""

    def __init__(self, world, router, cold, restarted_gateways=0):
        self.received: dict[int, ReceivedWork] = {}
        self.cold, self.restarted_gateways, self.make_router = cold, restarted_gateways, router
        super().__init__(replace(world, faults=((RESTART_S, ColdFleet.restart),)), router)

    def _settings(self, zone, number):
        return replace(super()._settings(zone, number), cold=COLD, cold_share=SHARE)

    def restart(self):
        for number in self.cold:
            server = self.servers[number]
            received = self.received[number] = ReceivedWork(self.clock.now, server.capacity.cores * server.speed)
            server.stop()
            server.start()
            self._warm(number, server.speed)
            self._count(server, received)
        self.members = [
            replace(member, started=self.clock.now) if member.server in self.received else member
            for member in self.members
        ]
        for number, gateway in enumerate(self.gateways):
            if number < self.restarted_gateways:  # it has just restarted and knows only the server list
                gateway.router = self.make_router(self._settings("z0", number))
                gateway.handle(api.ServerList("saved", tuple(self.members)))
            else:
                changed = tuple(member for member in self.members if member.server in self.received)
                gateway.handle(api.ServerList("delta", changed))

    def _warm(self, number, speed):
        received, server = self.received[number], self.servers[number]
        server._advance()
        server.speed = speed * received.capacity(self.clock.now) / received.full
        server._plan()
        self.clock.at(self.clock.now + 100 * MS, lambda: self._warm(number, speed))

    def _count(self, server, received):
        submit = server.submit

        def counted(work, need=0):
            received.arrivals.append((self.clock.now, work.work))
            submit(work, need)

        server.submit = counted

    def draw_work(self, kind):
        """Every request has the mean work of its class, because the budget is counted in requests of mean work."""
        return kind.work_s

    def report(self, server):
        for number, received in self.received.items():
            if self.servers[number] is server:
                received.arrivals.append((self.clock.now, PROBE_WORK))
        return super().report(server)


def worst_ratio(router=Router, seed=1, gateways=30, cold=(2, 3), restarted_gateways=0, rate=90.0, load=1.0):
    """Run a group of one primary and three replicas; return the worst window ratio of any cold server."""
    world = World(
        seed=seed, gateways=gateways, groups=1, copies=3, rate=rate, length=DURATION_S, load=lambda second: load
    )
    fleet = ColdFleet(world, router, cold, restarted_gateways)
    fleet.run()
    mean = sum(kind.fraction * kind.work_s for kind in world.workload)
    assert all(len(received.arrivals) > 20 and received.started >= START for received in fleet.received.values())
    return max(received.worst_window(mean) for received in fleet.received.values())


CASES = {
    "one of three replicas": {"cold": (2,)},
    "two replicas at once": {},
    "all replicas": {"cold": (2, 3, 4)},
    "the primary": {"cold": (1,)},
    "gateways that have just restarted": {"restarted_gateways": 20},
    "demand above the group's capacity": {"load": 1.6},
    "few gateways": {"gateways": 4},
    "a fleet that uses reported loads": {"gateways": 60},
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_fleet_sends_no_cold_server_more_than_the_settings_allow(case, seed):
    assert worst_ratio(seed=seed, **case) <= 1.0


class AlwaysWarm(ServerTable):
    """A server table without slow start: every server counts as warm."""

    def warmup_fraction(self, now, server):
        return 1.0


class NoSlowStartRouter(Router):
    """A router whose servers all count as warm."""

    def __init__(self, settings):
        super().__init__(settings)
        self.table.__class__ = AlwaysWarm


def test_fleet_without_slow_start_overloads_cold_servers():
    assert AlwaysWarm.warmup_fraction is not ServerTable.warmup_fraction
    assert max(worst_ratio(NoSlowStartRouter, seed=seed, load=1.6) for seed in (1, 2)) > 1.5
