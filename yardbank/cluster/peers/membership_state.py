"""How the others stand: what is told of them and of oneself, suspicions, and what to tell. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from yardbank.cluster.peers.datagram import ALIVE, GONE, MAX_INCARNATION, SUSPECT, MembershipUpdate
from yardbank.cluster.peers.detector_types import (
    LEAP,
    MAX_SLOWNESS,
    UNHEARD,
    Change,
    OutgoingProbe,
    Pace,
    Peer,
    Probe,
    Relayed,
    Suspicion,
)


class MembershipState:
    """The state of the detector, and of each peer; ``detector`` puts probes and time to it."""

    def __init__(self, name: str, incarnation: int, random: Random, pace: Pace | None = None) -> None:
        self.name, self.boot_epoch, self.incarnation = name, incarnation, incarnation
        self.pace, self.random = pace or Pace(), random
        self.peers: dict[str, Peer] = {}
        self.outgoing: list[OutgoingProbe] = []
        self.changes: list[Change] = []
        self.slowness = 0
        self.refuted = 0
        self.times_overtaken = 0  # times that a higher life of one's own name was heard of: once or twice after a start
        self.not_relayed = 0
        self._round: list[str] = []
        self._probe: Probe | None = None
        self._relayed: dict[int, Relayed] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._news: dict[str, int] = {}  # how often each peer's present state has been told
        self._rest: list[str] = []  # whose state fills what room is left, by turns
        self._number = random.getrandbits(32)
        self._next_probe = 0
        self._next_news = 0
        self._periods = 0
        self._last_tick = 0
        self._own_news = 0

    def listed(self, now: int, names: Iterable[str]) -> None:
        """The peers, oneself perhaps among them. Who is not named any more is forgotten."""
        wanted = {name for name in names if name != self.name}
        for name in self.peers.keys() - wanted:
            del self.peers[name]
            self._suspicions.pop(name, None)
            self._news.pop(name, None)
        for name in sorted(wanted - self.peers.keys()):
            self.peers[name] = Peer(name, changed_at=now)
        self._round = [name for name in self._round if name in self.peers]
        if not self._next_probe:
            self._next_probe = now + self.random.randrange(self.pace.period)  # a fleet that starts at once spreads

    # What others say

    def receive_updates(self, now: int, sender: str, news: Iterable[MembershipUpdate]) -> None:
        """What a peer says of others, and of oneself."""
        if sender not in self.peers:
            return
        for one in news:
            if one.name == self.name:
                self._about_oneself(one)
            elif (peer := self.peers.get(one.name)) is not None:
                if one.state == ALIVE:
                    if one.incarnation > peer.incarnation or (
                        one.incarnation == peer.incarnation and peer.state == UNHEARD
                    ):
                        self._alive(now, peer, one.incarnation, one.witness)
                elif peer.state == UNHEARD and one.state == GONE:
                    self._become(now, peer, GONE, one.incarnation, one.witness)
                else:  # told that it is gone: a voice more, and no more, or a liar could have the living forgotten
                    self._told_suspect(now, peer, one)

    def _about_oneself(self, one: MembershipUpdate) -> None:
        """An accusation, or an earlier life's higher incarnation: be newer than it."""
        newer = one.incarnation > self.incarnation or (one.state != ALIVE and one.incarnation == self.incarnation)
        if newer and one.incarnation <= self.incarnation + LEAP and one.incarnation < MAX_INCARNATION:
            if one.incarnation > self.incarnation:  # an earlier life's, whose clock was ahead, or whose store is gone
                self.boot_epoch = one.incarnation + 1
                self.times_overtaken += 1
            self.incarnation = one.incarnation + 1
            self._own_news = 0
            self.refuted += 1
            if one.state != ALIVE:  # somebody waited for an answer in vain: the fault may be here
                self.slowness = min(MAX_SLOWNESS, self.slowness + 1)

    def _told_suspect(self, now: int, peer: Peer, one: MembershipUpdate) -> None:
        if peer.state == GONE:
            peer.incarnation = max(peer.incarnation, one.incarnation)
            return
        suspicion = self._suspicions.get(peer.name)
        if peer.state == SUSPECT and one.incarnation == peer.incarnation and suspicion is not None:
            if one.witness not in suspicion.witnesses and len(suspicion.witnesses) <= self.pace.confirmations:
                suspicion.witnesses.add(one.witness)
                suspicion.until = suspicion.since + self._lasting(len(suspicion.witnesses) - 1)
                self._news[peer.name] = 0  # a new voice is news
        elif one.incarnation > peer.incarnation or (one.incarnation == peer.incarnation and peer.state < SUSPECT):
            self._accuse(now, peer.name, one.witness, one.incarnation)

    # Changes

    def _alive(self, now: int, peer: Peer, incarnation: int, witness: str) -> None:
        self._suspicions.pop(peer.name, None)
        if peer.state == ALIVE:
            peer.incarnation = incarnation
            self._news[peer.name] = 0
        else:
            self._become(now, peer, ALIVE, incarnation, witness)

    def _accuse(self, now: int, name: str, witness: str, incarnation: int | None = None) -> None:
        peer = self.peers.get(name)
        if peer is None or (incarnation is None and peer.state not in (UNHEARD, ALIVE)):
            return
        self._suspicions[name] = Suspicion(now, now + self._lasting(0), {witness})
        self._become(now, peer, SUSPECT, peer.incarnation if incarnation is None else incarnation, witness)

    def _lasting(self, confirmations: int) -> int:
        """How long a suspicion lasts that so many others share."""
        shortest = self.pace.suspicion * self.pace.period * max(1.0, math.log10(len(self.peers) + 1))
        part = math.log(confirmations + 1) / math.log(self.pace.confirmations + 1)
        longest = shortest * self.pace.patience
        return int(max(shortest, longest - (longest - shortest) * part) * (1 + self.slowness / MAX_SLOWNESS))

    def _become(self, now: int, peer: Peer, state: int, incarnation: int, witness: str) -> None:
        if state != SUSPECT:
            self._suspicions.pop(peer.name, None)
        peer.state, peer.incarnation, peer.changed_at, peer.witness = state, incarnation, now, witness
        self._news[peer.name] = 0
        self.changes.append(Change(peer.name, state, incarnation))

    # What goes out

    def updates_for(self, to: str, count: int) -> list[MembershipUpdate]:
        """What to say in a datagram, at most so much: changes told least often first, then others by turns."""
        most = max(1, math.ceil(3 * math.log2(len(self.peers) + 2)))  # tellings until all have most likely heard
        names: list[str] = []
        if self.peers[to].state in (SUSPECT, GONE):  # it should know what is said of it, to refute it
            names.append(to)
        fresh = sorted((name for name in self._news if name != to), key=lambda name: self._news[name])
        names += fresh[: max(0, count - 1 - len(names))]
        for name in names:
            if name in self._news:
                self._news[name] += 1
                if self._news[name] >= most:
                    del self._news[name]
        spare = min(4, count - 1 - len(names))
        for _ in range(max(0, spare)):
            if not self._rest:
                self._rest = [name for name, peer in self.peers.items() if peer.state != UNHEARD]
                self.random.shuffle(self._rest)
            if self._rest and (name := self._rest.pop()) in self.peers and name not in names and name != to:
                names.append(name)
        found = [MembershipUpdate(self.name, ALIVE, self.incarnation, self.name)] if self._own_news < most else []
        self._own_news += 1
        for name in names:
            peer = self.peers[name]
            if not peer.incarnation:  # never heard of, though missed: there is nothing to say
                continue
            found += [MembershipUpdate(name, peer.state, peer.incarnation, voice) for voice in self._voices(peer)]
        return found[: max(0, count)]

    def _voices(self, peer: Peer) -> list[str]:
        """Whose word a peer's state is: of a suspicion, one's own if it is that too."""
        suspicion = self._suspicions.get(peer.name)
        if suspicion is None:
            return [peer.witness]
        return [self.name] if self.name in suspicion.witnesses else [peer.witness]
