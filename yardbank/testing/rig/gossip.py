"""Gossip nodes of many gateways on one virtual clock, connected by the rig's simulated network. No sockets.

The nodes are the gateway's own code. They communicate by datagrams only, and each has a clock with its own rate.
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
from yardbank.testing.rig.network import DatagramLink, Effect, Network

FLEET, KEY = "porting", b"k" * 32
WAY = Effect(delay=0.0005, jitter=0.001)  # a network without faults; times in seconds


class GossipFleet:
    """A fleet of gossip nodes. Times of its interface are nanoseconds of the virtual clock."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int = 1,
        pace: Pace | None = None,
        way: Effect = WAY,
        zones: Mapping[str, str] | None = None,
        parts: Callable[[GossipNode, Random], Iterable[Part]] = lambda node, random: (),
    ) -> None:
        """``parts`` creates the parts of each started node; the latest ones are in ``nodes[name].outbox``."""
        self.names, self.seed, self.pace, self.way = list(names), seed, pace, way
        self.zones, self._parts = dict(zones or {}), parts
        self.now = 0
        self.network = Network()
        self.nodes: dict[str, GossipNode] = {}
        self.rates: dict[str, float] = {}
        self.paused: set[str] = set()
        self.history: list[tuple[int, str, Change]] = []  # time, observing gateway, change
        self.octets: dict[str, int] = dict.fromkeys(self.names, 0)  # sent by each gateway
        self._wires: dict[tuple[str, str], DatagramLink] = {}
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._ticks: dict[str, int] = {}
        self._held: dict[str, list[bytes]] = {}
        self._boot_epochs = 0

    def start(self, name: str, boot_epoch: int | None = None, rate: float = 1.0) -> GossipNode:
        """Starts or restarts a node; ``boot_epoch``: as read from its store or its clock."""
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
        """Stops a node without notice to others."""
        del self.nodes[name]
        self.paused.discard(name)

    def pause(self, name: str) -> None:
        """Suspends a node; datagrams to it are kept up to the bound of a socket buffer."""
        self.paused.add(name)
        self._held[name] = []

    def resume(self, name: str) -> None:
        """Resumes a suspended node."""
        self.paused.discard(name)
        held = self._held.pop(name, [])
        self._act(name, lambda node, now: node.tick(now))  # timers run before sockets are read
        for data in held:
            self._act(name, lambda node, now, data=data: node.receive(now, data))  # type: ignore[misc]

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Schedules a call at a time."""
        heapq.heappush(self._due, (when, next(self._order), do))

    def run(self, until: int) -> None:
        """Advances the clock."""
        while self._due and self._due[0][0] <= until:
            self.now, _, do = heapq.heappop(self._due)
            do()
        self.now = until

    def prompt(self, name: str) -> None:
        """Sends what a node has to send after one of its parts was changed from outside."""
        self._act(name, lambda node, now: node.flush(now))

    def own(self, name: str) -> int:
        """The time of a gateway's own clock, which starts at one hour."""
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
            wire = self._wires[source, target] = DatagramLink(Random(f"{self.seed}/{source}/{target}"))
        effect = self.way.combined_with(self.network.effect(source, target))
        for at, octets in wire.push(self.now / SECOND, data, effect):
            self.at(round(at * SECOND), lambda octets=octets: self._arrive(target, octets, wire))  # type: ignore[misc]

    def _arrive(self, target: str, data: bytes, wire: DatagramLink) -> None:
        wire.arrived()
        if target in self.paused:
            if len(self._held[target]) < 200:  # like a socket's receive buffer
                self._held[target].append(data)
            return
        self._act(target, lambda node, now: node.receive(now, data))

    def believes(self, name: str, other: str) -> int:
        """The state of ``other`` as ``name`` sees it."""
        return self.nodes[name].detector.peers[other].state

    def agreed(self) -> bool:
        """Whether all running gateways see exactly the running ones as alive and the others as gone."""
        running = {name for name in self.nodes if name not in self.paused}
        return all(
            self.believes(name, other) == (ALIVE if other in running else GONE)
            for name in running
            for other in self.names
            if other != name
        )

    def run_until(self, condition: Callable[[], bool], most: int, step: int = SECOND // 10) -> int | None:
        """Advances the clock until a condition holds. Returns the time, or None if it did not within ``most``."""
        end = self.now + most
        while self.now < end:
            if condition():
                return self.now
            self.run(self.now + step)
        return self.now if condition() else None

    def told(self, state: int) -> list[tuple[int, str, str]]:
        """All changes to this state: time, observing gateway, observed gateway."""
        return [(at, name, change.name) for at, name, change in self.history if change.state == state]
