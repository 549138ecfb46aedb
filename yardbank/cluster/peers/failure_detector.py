"""Failure detection by SWIM with Lifeguard's extensions. No I/O: time (ns) and randomness are arguments.

Each period one peer is pinged, in an order shuffled each round. If it does not answer, a few other peers are asked to
ping it; if that fails too it is suspected, and it counts as gone only when the suspicion has expired. The suspected
peer refutes a suspicion with a higher incarnation. A gateway that is slow itself (its own probes fail although helpers
answer, it was stopped, or it had to refute a suspicion) waits longer before it suspects others. A suspicion that others
confirm expires sooner than one that only this gateway has.

Only listed gateways are peers; updates on any other are dropped. The work and traffic of one gateway do not grow with
the fleet: one probe a period, and a bounded number of updates in each datagram.

Das, Gupta, Motivala: SWIM (DSN 2002). Dadgar, Phillips, Currey: Lifeguard (DSN 2018).
"""

from __future__ import annotations

from yardbank.cluster.peers.datagram import ACK, ALIVE, ASK, GONE, NACK, PING
from yardbank.cluster.peers.detector_types import (
    EXTRA_PINGS,
    FEW_ALIVE,
    GONE_PING_PERIODS,
    MAX_INCARNATION_LEAD,
    MAX_RELAYED,
    MAX_SLOWNESS,
    SECOND,
    STATE_NAMES,
    TRANSITIONS,
    UNHEARD,
    Change,
    OutgoingProbe,
    Pace,
    Peer,
    Probe,
    RelayedProbe,
)
from yardbank.cluster.peers.membership_state import MembershipState

__all__ = [
    "MAX_INCARNATION_LEAD",
    "MAX_SLOWNESS",
    "SECOND",
    "STATE_NAMES",
    "TRANSITIONS",
    "UNHEARD",
    "Change",
    "Detector",
    "OutgoingProbe",
    "Pace",
    "Peer",
]


class Detector(MembershipState):
    """One gateway's view of the others.

    Methods that take a time append to ``outgoing`` and ``changes``, which the caller empties.
    """

    # Time

    def tick(self, now: int) -> None:
        """Do whatever is due by now."""
        self._detect_own_stop(now)
        self._end_relayed(now)
        probe = self._probe
        if probe is not None and probe.ask_at and now >= probe.ask_at:
            self._ask_others(probe)
        if probe is not None and now >= probe.end_at:
            self._probe = None
            if probe.asked:  # without helpers, a missing answer says nothing about this gateway
                self.slowness = min(MAX_SLOWNESS, self.slowness + 1 + probe.helpers)
            self._accuse(now, probe.target, self.name)
        for name in [name for name, suspicion in self._suspicions.items() if now >= suspicion.until]:
            del self._suspicions[name]
            self._become(now, self.peers[name], GONE, self.peers[name].incarnation, self.name)
        if now >= self._next_probe and self._probe is None and self.peers:
            self._begin_probe(now)
        elif now >= self._next_update_ping and self.peers:  # a slow gateway probes seldom but still exchanges updates
            self._next_update_ping = now + self.pace.period
            alive = [name for name, peer in self.peers.items() if peer.state == ALIVE]
            if alive:
                self._send(alive[self.random.randrange(len(alive))], PING)

    def _detect_own_stop(self, now: int) -> None:
        """Extend deadlines if this gateway was stopped or starved: its peers had no chance to answer in time."""
        late = now - max(self.next_at() or now, self._last_tick)
        self._last_tick = now
        if late > self.pace.period:
            self.slowness = MAX_SLOWNESS
            for suspicion in self._suspicions.values():
                suspicion.until += late
            if self._probe is not None:
                self._probe = None
                self._next_probe = now

    def _begin_probe(self, now: int) -> None:
        self._periods += 1
        factor = 1 + self.slowness
        self._next_probe = now + self.pace.period * factor
        self._next_update_ping = now + self.pace.period
        gone = [name for name, peer in self.peers.items() if peer.state == GONE]
        if gone and self._periods % GONE_PING_PERIODS == 0:  # finds the other side of a partition again
            self._send(gone[self.random.randrange(len(gone))], PING)
        if sum(peer.state == ALIVE for peer in self.peers.values()) < FEW_ALIVE:  # such as after all gateways were down
            others = [name for name, peer in self.peers.items() if peer.state != ALIVE]
            for name in self.random.sample(others, min(EXTRA_PINGS, len(others))):
                self._send(name, PING)
        while self._round and self.peers[self._round[-1]].state == GONE:
            self._round.pop()
        if not self._round:
            self._round = [name for name, peer in self.peers.items() if peer.state != GONE]
            self.random.shuffle(self._round)
        if self._round:
            target = self._round.pop()
            number = self._send(target, PING)
            self._probe = Probe(number, target, now + self.pace.timeout * factor, now + self.pace.period * factor)

    def _ask_others(self, probe: Probe) -> None:
        probe.ask_at = 0
        others = [name for name, peer in self.peers.items() if peer.state == ALIVE and name != probe.target]
        for name in self.random.sample(others, min(self.pace.helpers, len(others))):
            self.outgoing.append(OutgoingProbe(name, ASK, probe.number, probe.target))
            probe.helpers += 1
            probe.asked += 1

    def _end_relayed(self, now: int) -> None:
        for number in [number for number, relayed in self._relayed.items() if now >= relayed.until]:
            relayed = self._relayed.pop(number)
            self.outgoing.append(OutgoingProbe(relayed.asker, NACK, relayed.number, relayed.target))

    def next_at(self) -> int | None:
        """When ``tick`` is due next; None: not before there are peers."""
        if not self.peers:
            return None
        times = [relayed.until for relayed in self._relayed.values()] + [
            suspicion.until for suspicion in self._suspicions.values()
        ]
        if self._probe is not None:
            times.append(self._probe.ask_at or self._probe.end_at)
        else:
            times.append(self._next_probe)
        if self.slowness or self._probe is not None:
            times.append(max(self._next_update_ping, self._last_tick + 1))
        return min(times)

    def _send(self, to: str, kind: str) -> int:
        self._number += 1
        self.outgoing.append(OutgoingProbe(to, kind, self._number))
        return self._number

    # Incoming probes

    def receive_probe(self, now: int, sender: str, incarnation: int, kind: str, number: int, target: str) -> None:
        """Handle the probe or reply in a peer's datagram; its updates are handled by ``receive_updates``."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        peer.heard_at = now
        if incarnation > peer.incarnation or peer.state == UNHEARD:
            self._alive(now, peer, incarnation, sender)
        if kind == PING:
            self.outgoing.append(OutgoingProbe(sender, ACK, number))
        elif kind == ASK:
            self._relay(now, sender, number, target)
        elif kind == ACK:
            self._acknowledged(now, sender, number, target)
        elif kind == NACK and self._probe is not None and self._probe.number == number:
            self._probe.helpers = max(0, self._probe.helpers - 1)

    def _relay(self, now: int, asker: str, number: int, target: str) -> None:
        if target not in self.peers or len(self._relayed) >= MAX_RELAYED:
            self.not_relayed += 1
            return
        own = self._send(target, PING)
        self._relayed[own] = RelayedProbe(asker, number, target, now + self.pace.timeout)

    def _acknowledged(self, now: int, sender: str, number: int, target: str) -> None:
        relayed = self._relayed.get(number)
        if relayed is not None and relayed.target == sender:
            del self._relayed[number]
            self.outgoing.append(OutgoingProbe(relayed.asker, ACK, relayed.number, sender))
        probe = self._probe
        if probe is not None and probe.number == number and probe.target in (sender, target):
            self._probe = None
            self.slowness = max(0, self.slowness - 1)
