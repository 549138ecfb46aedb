"""A fleet of routers against emulated servers on a virtual clock.

Requests arrive in an open loop, independent of earlier answers. Clients cancel an attempt after a timeout and retry.
All randomness comes from one seed, so runs are reproducible. No routing decision is made here.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from yardbank import interface as api
from yardbank.testing.emulator.clock import VirtualClock
from yardbank.testing.emulator.server import EmulatedServer
from yardbank.testing.rig.virtual_gateway import ClientRequest, VirtualGateway
from yardbank.testing.rig.virtual_world import BIN, MS, REPORT_EVERY, SECOND, START, MakeRouter, WorkloadClass, World


@dataclass(slots=True, frozen=True)
class Span:
    """Half a second of a run: weight of the requests first tried in it, the part of it that was served, and counts."""

    second: float
    wanted: float
    served: float
    counts: Counter[str]


def served_share(spans: Sequence[Span], begin: float, end: float) -> float:
    """The share by weight that was served of the requests first tried between two times (s).

    Raises ``ValueError`` if nothing was tried.
    """
    within = [span for span in spans if begin <= span.second < end]
    if not (wanted := sum(span.wanted for span in within)):
        raise ValueError(f"nothing was wanted between {begin} s and {end} s")
    return sum(span.served for span in within) / wanted


class Fleet:
    """Servers, gateways and clients of one run, and the outcomes of requests over time.

    Memory is bounded by the request rate times the clients' timeout, plus one set of counts for each half second.
    """

    def __init__(self, world: World, router: MakeRouter) -> None:
        self.world, self.clock = world, VirtualClock(START)
        self._random = random.Random(world.seed)
        self._counts: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._worth: defaultdict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])  # wanted, served
        self.servers: dict[int, EmulatedServer] = {}
        self.members: list[api.Member] = []
        zones = [f"z{number}" for number in range(world.zones)]
        for group in range(world.groups):
            primary = self._add(group, True, zones)
            primary.copies = [self._add(group, False, zones) for _ in range(world.copies)]
        self._weights = [1 + world.skew * self._random.uniform(-1, 1) for _ in range(world.groups)]
        self._shares = [self._random.lognormvariate(0, 0.5) for _ in range(world.gateways)]
        self.gateways = [
            VirtualGateway(self, number, self._settings(zones[number % len(zones)], number), router)
            for number in range(world.gateways)
        ]

    def _add(self, group: int, primary: bool, zones: list[str]) -> EmulatedServer:
        number = len(self.servers) + 1
        speed = self._random.uniform(0.85, 1.1)
        server = self.servers[number] = EmulatedServer(self.clock, self.world.capacity, primary, speed)
        self.members.append(api.Member(number, zones[number % len(zones)], group, primary, "ready"))
        return server

    def _settings(self, zone: str, number: int) -> api.Settings:
        return api.Settings(
            seed=self.world.seed * 100_003 + number,
            zone=zone,
            gateways=self.world.gateways,
            classes=tuple(kind.request_class for kind in self.world.workload),
            checks="refuse",
            tokens="carried",
            reports="probe",
            tells_load=self.world.tells_load,
            period=5 * MS,
            max_attempts=8,
            may_cancel=True,
            may_probe=True,
            max_retry_after=2 * SECOND,
            cold=10 * SECOND,
            cold_share=0.4,
        )

    def run(self) -> list[Span]:
        """Runs to the end. Returns one span for each half second, with requests by the time of their first attempt."""
        for gateway in self.gateways:
            gateway.handle(api.ServerList("saved", tuple(self.members)))
        for at, fault in self.world.faults:
            self.clock.at(START + int(at * SECOND), lambda fault=fault: fault(self))  # type: ignore[misc]
        self._measure()
        self._arrive()
        self.clock.run(START + int((self.world.length + 8) * SECOND))
        return [
            Span(number * BIN / SECOND, self._worth[number][0], self._worth[number][1], self._counts[number])
            for number in range(int(self.world.length * SECOND) // BIN)
        ]

    def _measure(self) -> None:
        for server in self.servers.values():
            server.measure(REPORT_EVERY)
        self.clock.at(self.clock.now + REPORT_EVERY, self._measure)

    def every(self, do: Callable[[EmulatedServer], None], zone: str = "") -> None:
        """Apply a function to each server, or to each of one zone."""
        for member in self.members:
            if zone in ("", member.zone):
                do(self.servers[member.server])

    def _arrive(self) -> None:
        """Starts a new request and schedules the next arrival independently of its outcome."""
        second = (self.clock.now - START) / SECOND
        if second >= self.world.length:
            return
        gap = self._random.expovariate(self.world.rate * self.world.load(second))
        self.clock.at(self.clock.now + int(gap * SECOND), self._arrive)
        draw = self._random
        gateway = draw.choices(self.gateways, self._shares)[0]
        group = draw.choices(range(self.world.groups), self._weights)[0]
        kind = draw.choices(self.world.workload, [kind.fraction for kind in self.world.workload])[0]
        client_request = ClientRequest(kind, group, gateway, self.clock.now)
        self.count("wanted")
        self._worth[(self.clock.now - START) // BIN][0] += kind.request_class.priority_weight
        gateway.take(client_request)

    def retry_later(self, client_request: ClientRequest, after: int) -> None:
        """Schedules a retry after a failed attempt, up to the limit.

        Waits for the client's backoff, or for ``after`` (ns) if the refusal gave a time and the client honours it.
        """
        if client_request.ended or client_request.tries > self.world.retries:
            return
        wait = after if after and self._random.random() < self.world.honours else self.world.backoff
        self.clock.at(
            self.clock.now + int(wait * self._random.uniform(0.7, 1.3)),
            lambda: client_request.gateway.take(client_request),
        )

    def served(self, client_request: ClientRequest, took: int) -> None:
        """Counts an answered request; ``took``: its latency in ns."""
        if not client_request.ended:
            client_request.ended = True
            good = took <= client_request.kind.request_class.latency_objective
            when, kind = (client_request.first_at - START) // BIN, client_request.kind.request_class
            self._counts[when]["good" if good else "late"] += 1
            self._worth[when][1] += kind.priority_weight * (1 if good else kind.late_weight)

    def count(self, what: str) -> None:
        """Increments a counter of the current half second."""
        self._counts[(self.clock.now - START) // BIN][what] += 1

    def session_age(self) -> int:
        """Draws the time since the last write of a read's session (ns); 0: no write."""
        return int(self._random.uniform(0.2, 1.0) * SECOND) if self._random.random() < 0.6 else 0

    def draw_work(self, kind: WorkloadClass) -> float:
        """Draws the work of one request (core seconds)."""
        return self._random.expovariate(1 / kind.work_s)

    def report(self, server: EmulatedServer) -> api.Report:
        """The server's report that a probe returns."""
        return api.Report(server.position(), server.primary, server.load if self.world.tells_load else None)


__all__ = ["Fleet", "Span", "VirtualGateway", "World", "served_share"]
