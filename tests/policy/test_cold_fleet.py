"""Cold servers under the sum of a whole fleet that has no word between its gateways, on a virtual clock.

The budget of a cold server is what the settings allow: a multiple of its present capacity, over a stated window. It is
counted in requests of mean work, N; two roots of N and two more are put down to chance. Whatever reaches the server
counts: requests, repeats, probes, handshakes.
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

COLD, SHARE, MULTIPLE, WINDOW = 18 * SECOND, 0.15, 2.5, SECOND  # within what operators' pages state
PROBE_S = 0.0005  # work of a probe, core seconds
RESTART, LENGTH = 3.0, 13.0


@dataclass
class Seen:
    """What reached one server since it started: when, and how much work (core seconds)."""

    started: int
    full: float  # core seconds a second that it does when it is warm
    arrivals: list[tuple[int, float]] = field(default_factory=list)

    def capacity(self, now: int) -> float:
        """What it can do now: it rises evenly from the cold share."""
        return self.full * min(1.0, SHARE + (1 - SHARE) * (now - self.started) / COLD)

    def worst(self, mean: float) -> float:
        """The most that any window brought, as a part of what it may bring."""
        worst, first, held = 0.0, 0, 0.0
        for at, work in self.arrivals:
            held += work
            while self.arrivals[first][0] <= at - WINDOW:
                held -= self.arrivals[first][1]
                first += 1
            allowed = MULTIPLE * self.capacity(max(self.started, at - WINDOW)) * WINDOW / SECOND / mean
            worst = max(worst, held / mean / (allowed + 2 * sqrt(allowed) + 2))
        return worst


class ColdFleet(Fleet):
    """Servers are restarted under load, and every gateway is told in the same instant."""

    def __init__(self, world, router, cold, returned=0):
        self.seen: dict[int, Seen] = {}
        self.cold, self.returned, self.make = cold, returned, router
        super().__init__(replace(world, faults=((RESTART, ColdFleet.restart),)), router)

    def _settings(self, zone, number):
        return replace(super()._settings(zone, number), cold=COLD, cold_share=SHARE)

    def restart(self):
        for number in self.cold:
            server = self.servers[number]
            seen = self.seen[number] = Seen(self.clock.now, server.capacity.cores * server.speed)
            server.stop()
            server.start()
            self._warm(number, server.speed)
            self._count(server, seen)
        self.members = [
            replace(member, started=self.clock.now) if member.server in self.seen else member for member in self.members
        ]
        for number, gateway in enumerate(self.gateways):
            if number < self.returned:  # it has just restarted, and knows the list and nothing else
                gateway.router = self.make(self._settings("z0", number))
                gateway.handle(api.ServerList("saved", tuple(self.members)))
            else:
                changed = tuple(member for member in self.members if member.server in self.seen)
                gateway.handle(api.ServerList("delta", changed))

    def _warm(self, number, speed):
        seen, server = self.seen[number], self.servers[number]
        server._advance()
        server.speed = speed * seen.capacity(self.clock.now) / seen.full
        server._plan()
        self.clock.at(self.clock.now + 100 * MS, lambda: self._warm(number, speed))

    def _count(self, server, seen):
        submit = server.submit

        def counted(work, need=0):
            seen.arrivals.append((self.clock.now, work.work))
            submit(work, need)

        server.submit = counted

    def draw_work(self, kind):
        """Each has the mean work of its class: what is counted is requests of mean work, and sizes are nobody's choice."""
        return kind.work_s

    def report(self, server):
        for number, seen in self.seen.items():
            if self.servers[number] is server:
                seen.arrivals.append((self.clock.now, PROBE_S))
        return super().report(server)


def worst(router=Router, seed=1, gateways=30, cold=(2, 3), returned=0, rate=90.0, load=1.0):
    """A group of one primary and three copies; the worst window of any cold server."""
    world = World(seed=seed, gateways=gateways, groups=1, copies=3, rate=rate, length=LENGTH, load=lambda second: load)
    fleet = ColdFleet(world, router, cold, returned)
    fleet.run()
    mean = sum(kind.fraction * kind.work_s for kind in world.workload)
    assert all(len(seen.arrivals) > 20 and seen.started >= START for seen in fleet.seen.values())
    return max(seen.worst(mean) for seen in fleet.seen.values())


CASES = {
    "one of three copies": {"cold": (2,)},
    "two at once": {},
    "all copies": {"cold": (2, 3, 4)},
    "the primary": {"cold": (1,)},
    "gateways that have just restarted": {"returned": 20},
    "more asked than the group can do": {"load": 1.6},
    "few gateways": {"gateways": 4},
    "a fleet that goes by told loads": {"gateways": 60},
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_no_cold_server_gets_more_from_the_whole_fleet_than_the_settings_allow(case, seed):
    assert worst(seed=seed, **case) <= 1.0


class AlwaysWarm(ServerTable):
    """The guard taken out: every server counts as warm."""

    def warmup_fraction(self, now, server):
        return 1.0


class Unwary(Router):
    """A router whose servers all count as warm."""

    def __init__(self, settings):
        super().__init__(settings)
        self.table.__class__ = AlwaysWarm


def test_without_its_ramp_a_fleet_pushes_cold_servers_over():
    assert AlwaysWarm.warmup_fraction is not ServerTable.warmup_fraction
    assert max(worst(Unwary, seed=seed, load=1.6) for seed in (1, 2)) > 1.5
