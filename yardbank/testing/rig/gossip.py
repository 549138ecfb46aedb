"""Many gateways' peer deciders on one virtual clock, their datagrams through the rig's network. No sockets.

The deciders are the program's own. They share nothing but datagrams; each has a clock of its own rate.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from itertools import count
from random import Random

from yardbank.cluster.peers.datagram import ALIVE, GONE
from yardbank.cluster.peers.failure_detector import SECOND, Change, Pace
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.parts import Part
from yardbank.testing.rig.network import Datagrams, Effect, Network

FLEET, KEY = "porting", b"k" * 32
WAY = Effect(delay=0.0005, jitter=0.001)  # a sound network, in seconds


class GossipFleet:
    """A fleet of deciders. Times outside are nanoseconds of the world's clock."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int = 1,
        pace: Pace | None = None,
        way: Effect = WAY,
        zones: Mapping[str, str] | None = None,
        parts: Callable[[GossipNode, Random], Iterable[Part]] = lambda node, random: (),
    ) -> None:
        """``parts`` makes the parts of a gateway that starts; what it made last is under ``nodes[name].outbox``."""
        self.names, self.seed, self.pace, self.way = list(names), seed, pace, way
        self.zones, self._parts = dict(zones or {}), parts
        self.now = 0
        self.network = Network()
        self.nodes: dict[str, GossipNode] = {}
        self.rates: dict[str, float] = {}
        self.paused: set[str] = set()
        self.history: list[tuple[int, str, Change]] = []  # when, at whom, what changed
        self.octets: dict[str, int] = dict.fromkeys(self.names, 0)  # sent by each
        self._wires: dict[tuple[str, str], Datagrams] = {}
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._ticks: dict[str, int] = {}
        self._held: dict[str, list[bytes]] = {}
        self._boot_epochs = 0

    def start(self, name: str, boot_epoch: int | None = None, rate: float = 1.0) -> GossipNode:
        """Start one, anew if it ran before; ``boot_epoch``: as its store or its clock says."""
        self._boot_epochs += 1
        made = GossipNode(
            name,
            FLEET,
            [KEY],
            boot_epoch or self._boot_epochs,
            Random(f"{self.seed}/{name}/{self._boot_epochs}"),
            self.pace,
        )
        self.nodes[name], self.rates[name] = made, rate
        for part in self._parts(made, Random(f"{self.seed}/{name}/{self._boot_epochs}/parts")):
            made.add(part)
        made.listed(self.own(name), self.names, self.zones)
        self._wind(name)
        return made

    def kill(self, name: str) -> None:
        """It is gone."""
        del self.nodes[name]
        self.paused.discard(name)

    def pause(self, name: str) -> None:
        """It is stopped; what is sent to it waits in its socket, up to a bound."""
        self.paused.add(name)
        self._held[name] = []

    def resume(self, name: str) -> None:
        """It goes on."""
        self.paused.discard(name)
        held = self._held.pop(name, [])
        self._act(name, lambda node, now: node.tick(now))  # timers come before sockets
        for data in held:
            self._act(name, lambda node, now, data=data: node.receive(now, data))  # type: ignore[misc]

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._due, (when, next(self._order), do))

    def run(self, until: int) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= until:
            self.now, _, do = heapq.heappop(self._due)
            do()
        self.now = until

    def prompt(self, name: str) -> None:
        """A part of it was told something from elsewhere: what it has to say goes out."""
        self._act(name, lambda node, now: node.flush(now))

    def own(self, name: str) -> int:
        """Time on a gateway's own clock, which began an hour before."""
        return round(self.now * self.rates.get(name, 1.0)) + 3600 * SECOND

    def _act(self, name: str, what: Callable[[GossipNode, int], list[tuple[str, bytes]]]) -> None:
        node = self.nodes.get(name)
        if node is None or name in self.paused:
            return
        for to, data in what(node, self.own(name)):
            self._send(name, to, data)
        self.history += [(self.now, name, change) for change in node.changes()]
        self._wind(name)

    def _wind(self, name: str) -> None:
        at = self.nodes[name].next_at()
        if at is None:
            return
        when = max(self.now, round((at - 3600 * SECOND) / self.rates[name]) + 1)
        self._ticks[name] = when
        self.at(when, lambda: self._tick(name, when))

    def _tick(self, name: str, when: int) -> None:
        if self._ticks.get(name) == when:
            self._act(name, lambda node, now: node.tick(now))

    def _send(self, source: str, target: str, data: bytes) -> None:
        self.octets[source] += len(data)
        wire = self._wires.get((source, target))
        if wire is None:
            wire = self._wires[source, target] = Datagrams(Random(f"{self.seed}/{source}/{target}"))
        effect = self.way.along(self.network.effect(source, target))
        for at, octets in wire.push(self.now / SECOND, data, effect):
            self.at(round(at * SECOND), lambda octets=octets: self._arrive(target, octets, wire))  # type: ignore[misc]

    def _arrive(self, target: str, data: bytes, wire: Datagrams) -> None:
        wire.arrived()
        if target in self.paused:
            if len(self._held[target]) < 200:  # as a socket's buffer
                self._held[target].append(data)
            return
        self._act(target, lambda node, now: node.receive(now, data))

    def believes(self, name: str, other: str) -> int:
        """One's state as another sees it."""
        return self.nodes[name].detector.peers[other].state

    def agreed(self) -> bool:
        """Whether every running gateway sees exactly the running ones as alive, and all others as gone."""
        running = {name for name in self.nodes if name not in self.paused}
        return all(
            self.believes(name, other) == (ALIVE if other in running else GONE)
            for name in running
            for other in self.names
            if other != name
        )

    def run_until(self, condition: Callable[[], bool], most: int, step: int = SECOND // 10) -> int | None:
        """Let time pass until something holds; when, or None if it never did."""
        end = self.now + most
        while self.now < end:
            if condition():
                return self.now
            self.run(self.now + step)
        return self.now if condition() else None

    def told(self, state: int) -> list[tuple[int, str, str]]:
        """Each change to this state: when, at whom, of whom."""
        return [(at, name, change.name) for at, name, change in self.history if change.state == state]
