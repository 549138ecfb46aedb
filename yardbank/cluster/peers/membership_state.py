"""The members and their states, suspicions, and the updates to send. No I/O: time (ns) is an argument.

Owns the members, the suspicions and this gateway's incarnation. Only listed gateways are members; updates on others are
ignored. States change only by the rows of ``detector_types.TRANSITIONS``.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from yardbank.cluster.peers.datagram import ALIVE, GONE, MAX_INCARNATION, SUSPECT, MembershipUpdate
from yardbank.cluster.peers.detector_types import (
    MAX_INCARNATION_LEAD,
    MAX_SLOWNESS,
    UNHEARD,
    Change,
    OutgoingProbe,
    Pace,
    Peer,
    Probe,
    RelayedProbe,
    Suspicion,
)

MAX_IN_TURN = 4  # unchanged members in one datagram


class MembershipState:
    """Members, suspicions and updates; ``failure_detector.Detector`` adds probes and time.

    ``refuted``: suspicions of this gateway that it refuted; ``times_overtaken``: updates with a higher incarnation of
    this gateway than its own, to be expected once or twice after a start; ``not_relayed``: requests to probe
    a peer for another gateway that were not carried out.
    """

    def __init__(self, name: str, incarnation: int, random: Random, pace: Pace | None = None) -> None:
        self.name = name
        self.boot_epoch = incarnation
        self.incarnation = incarnation
        self.pace = pace or Pace()
        self.random = random
        self.peers: dict[str, Peer] = {}
        self.outgoing: list[OutgoingProbe] = []
        self.changes: list[Change] = []
        self.slowness = 0
        self.refuted = 0
        self.times_overtaken = 0
        self.not_relayed = 0
        self._round: list[str] = []
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedProbe] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._times_sent: dict[str, int] = {}  # by changed member: how often its present state was sent
        self._next_in_turn: list[str] = []  # members whose unchanged state fills the space left in datagrams
        self._number = random.getrandbits(32)
        self._next_probe = 0
        self._next_update_ping = 0
        self._periods = 0
        self._last_tick = 0
        self._own_times_sent = 0

    def listed(self, now: int, names: Iterable[str]) -> None:
        """Set the listed gateways; ``names`` may include this one. Peers that are no longer listed are dropped."""
        wanted = {name for name in names if name != self.name}
        for name in self.peers.keys() - wanted:
            del self.peers[name]
            self._suspicions.pop(name, None)
            self._times_sent.pop(name, None)
        for name in sorted(wanted - self.peers.keys()):
            self.peers[name] = Peer(name, changed_at=now)
        self._round = [name for name in self._round if name in self.peers]
        if not self._next_probe:
            self._next_probe = now + self.random.randrange(self.pace.period)  # avoids synchronised probes

    # Updates received

    def receive_updates(self, now: int, sender: str, updates: Iterable[MembershipUpdate]) -> None:
        """Handle a member's updates on others and on this gateway."""
        if sender not in self.peers:
            return
        for update in updates:
            if update.name == self.name:
                self._receive_own_update(update)
                continue
            peer = self.peers.get(update.name)
            if peer is not None:
                self._receive_update(now, peer, update)

    def _receive_update(self, now: int, peer: Peer, update: MembershipUpdate) -> None:
        if update.state == ALIVE:
            is_first = peer.state == UNHEARD and update.incarnation == peer.incarnation
            if update.incarnation > peer.incarnation or is_first:
                self._alive(now, peer, update.incarnation, update.witness)
        elif peer.state == UNHEARD and update.state == GONE:
            self._become(now, peer, GONE, update.incarnation, update.witness)
        else:  # "gone" of a known member only counts as a suspicion: a faulty sender must not remove one that is alive
            self._receive_suspicion(now, peer, update)

    def _receive_own_update(self, update: MembershipUpdate) -> None:
        """Refute a suspicion of this gateway, or a higher incarnation from an earlier start, with a higher one."""
        is_higher = update.incarnation > self.incarnation
        is_accusation = update.state != ALIVE
        if not is_higher and not (is_accusation and update.incarnation == self.incarnation):
            return
        if update.incarnation > self.incarnation + MAX_INCARNATION_LEAD or update.incarnation >= MAX_INCARNATION:
            return
        if is_higher:  # from an earlier start whose clock was ahead, or whose stored boot epoch was lost
            self.boot_epoch = update.incarnation + 1
            self.times_overtaken += 1
        self.incarnation = update.incarnation + 1
        self._own_times_sent = 0
        self.refuted += 1
        if is_accusation:  # a peer got no answer from here: this gateway may be slow
            self.slowness = min(MAX_SLOWNESS, self.slowness + 1)

    def _receive_suspicion(self, now: int, peer: Peer, update: MembershipUpdate) -> None:
        if peer.state == GONE:
            peer.incarnation = max(peer.incarnation, update.incarnation)
            return
        suspicion = self._suspicions.get(peer.name)
        is_same_incarnation = update.incarnation == peer.incarnation
        if peer.state == SUSPECT and is_same_incarnation and suspicion is not None:
            self._confirm(suspicion, peer, update.witness)
        elif update.incarnation > peer.incarnation or (is_same_incarnation and peer.state < SUSPECT):
            self._accuse(now, peer.name, update.witness, update.incarnation)

    def _confirm(self, suspicion: Suspicion, peer: Peer, witness: str) -> None:
        """Add a witness to a suspicion, which makes it expire sooner."""
        if witness in suspicion.witnesses or len(suspicion.witnesses) > self.pace.confirmations:
            return
        suspicion.witnesses.add(witness)
        suspicion.until = suspicion.since + self._suspicion_time(len(suspicion.witnesses) - 1)
        self._times_sent[peer.name] = 0  # pass on the new witness

    # Changes

    def _alive(self, now: int, peer: Peer, incarnation: int, witness: str) -> None:
        self._suspicions.pop(peer.name, None)
        if peer.state == ALIVE:
            peer.incarnation = incarnation
            self._times_sent[peer.name] = 0
        else:
            self._become(now, peer, ALIVE, incarnation, witness)

    def _accuse(self, now: int, name: str, witness: str, incarnation: int | None = None) -> None:
        peer = self.peers.get(name)
        if peer is None or (incarnation is None and peer.state not in (UNHEARD, ALIVE)):
            return
        self._suspicions[name] = Suspicion(now, now + self._suspicion_time(0), {witness})
        self._become(now, peer, SUSPECT, peer.incarnation if incarnation is None else incarnation, witness)

    def _suspicion_time(self, confirmations: int) -> int:
        """How long (ns) a suspicion with this many confirmations lasts."""
        shortest = self.pace.suspicion * self.pace.period * max(1.0, math.log10(len(self.peers) + 1))
        part = math.log(confirmations + 1) / math.log(self.pace.confirmations + 1)
        longest = shortest * self.pace.patience
        return int(max(shortest, longest - (longest - shortest) * part) * (1 + self.slowness / MAX_SLOWNESS))

    def _become(self, now: int, peer: Peer, state: int, incarnation: int, witness: str) -> None:
        if state != SUSPECT:
            self._suspicions.pop(peer.name, None)
        peer.state = state
        peer.incarnation = incarnation
        peer.changed_at = now
        peer.witness = witness
        self._times_sent[peer.name] = 0
        self.changes.append(Change(peer.name, state, incarnation))

    # Updates to send

    def updates_for(self, to: str, count: int) -> list[MembershipUpdate]:
        """At most ``count`` updates for a datagram: changes sent least often first, then all members in turn."""
        enough = max(1, math.ceil(3 * math.log2(len(self.peers) + 2)))  # times sent until all have most likely heard
        names = self._changed_members(to, count)
        self._count_as_sent(names, enough)
        self._fill_in_turn(names, to, count)
        updates = []
        if self._own_times_sent < enough:
            updates.append(MembershipUpdate(self.name, ALIVE, self.incarnation, self.name))
        self._own_times_sent += 1
        for name in names:
            peer = self.peers[name]
            if peer.incarnation:  # 0: nothing was ever heard of it, so there is nothing to send
                updates.append(MembershipUpdate(name, peer.state, peer.incarnation, self._witness_of(peer)))
        return updates[: max(0, count)]

    def _changed_members(self, to: str, count: int) -> list[str]:
        names: list[str] = []
        if self.peers[to].state in (SUSPECT, GONE):  # the recipient needs its own state to refute it
            names.append(to)
        changed = sorted((name for name in self._times_sent if name != to), key=lambda name: self._times_sent[name])
        return names + changed[: max(0, count - 1 - len(names))]

    def _count_as_sent(self, names: Iterable[str], enough: int) -> None:
        for name in names:
            if name not in self._times_sent:
                continue
            self._times_sent[name] += 1
            if self._times_sent[name] >= enough:
                del self._times_sent[name]

    def _fill_in_turn(self, names: list[str], to: str, count: int) -> None:
        """Append up to ``MAX_IN_TURN`` unchanged members, in turn."""
        for _ in range(max(0, min(MAX_IN_TURN, count - 1 - len(names)))):
            if not self._next_in_turn:
                self._next_in_turn = [name for name, peer in self.peers.items() if peer.state != UNHEARD]
                self.random.shuffle(self._next_in_turn)
            if not self._next_in_turn:
                return
            name = self._next_in_turn.pop()
            if name in self.peers and name not in names and name != to:
                names.append(name)

    def _witness_of(self, peer: Peer) -> str:
        """The witness to send with a member's state: this gateway itself, if it shares a suspicion of the member."""
        suspicion = self._suspicions.get(peer.name)
        if suspicion is not None and self.name in suspicion.witnesses:
            return self.name
        return peer.witness
