"""Positions of a group's servers, polled by one gateway for all. No I/O: time (ns) and randomness come in.

Each group has a channel ``positions/GROUP``. Its owner polls the group's servers and publishes their positions as the
servers gave them, with the start that its list has. The others verify an owner (``verification``) and pass positions on
to their own gateway, which orders them by its own timeline; roles are never taken from others. A gateway that hears
nothing of a server for long enough polls it once itself, at a moment drawn by seed, and from then on as without the
feed.

| state of a server here | by | to |
| --- | --- | --- |
| ALONE | a verified report on it | FED |
| FED | none for ``alone_after`` to twice that, as drawn | ALONE |
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from yardbank.cluster.channels.api import MAX_DATA, MS, Delivered, Options
from yardbank.cluster.channels.verification import FalseReport, PositionVerifier
from yardbank.timeline import Vector

PREFIX = "positions/"
FULL_REPORT_POLLS = 5  # each so many polls, positions that did not change are published too
MAX_BACKOFF_DOUBLINGS = 5  # of the interval, after polls without an answer

Entry = tuple[str, int, dict[str, tuple[int | str, ...]]]  # server, start, marks
_decoder = msgspec.msgpack.Decoder(list[Entry])


def channel_of(group: str) -> str:
    """The channel on which a group's positions are published."""
    return PREFIX + group


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One server as this gateway's list has it."""

    name: str
    group: str
    started: int


@dataclass(slots=True, frozen=True)
class VerifiedPosition:
    """Verified positions of a server, for this gateway's own timeline."""

    server: str
    started: int
    marks: Vector


@dataclass(slots=True)
class _Server:
    place: ListedServer
    alone: bool = True
    heard_at: int = 0
    patience: int = 0
    asked_at: int = 0  # as the owner; 0: no question is out
    next_at: int = 0  # when to ask, as the owner
    unanswered: int = 0  # questions in a row that brought nothing
    fresh: Vector | None = None  # not given out yet
    last_published: Vector = field(default_factory=dict)


class Positions:
    """One gateway's side of it, as owner of some groups and follower of all."""

    def __init__(self, name: str, random: Random, options: Options) -> None:
        self.name = name
        self.verifier = PositionVerifier(random)
        self.asks: list[str] = []  # servers to ask now; the caller takes them
        self.items: list[tuple[str, bytes]] = []  # channel, what to give out on it; the caller takes them
        self.verified_positions: list[VerifiedPosition] = []  # for the own gateway; the caller takes them
        self.malformed = 0
        self._random, self._options = random, options
        self._servers: dict[str, _Server] = {}
        self._groups: dict[str, list[str]] = {}
        self._owned: dict[str, int] = {}  # groups asked for all, and how often they were
        self._next_round: dict[str, int] = {}
        self._next_look = 0

    def listed(self, now: int, places: Iterable[ListedServer]) -> tuple[list[str], list[str]]:
        """The servers, as the list has them; groups that are new, and that are no more."""
        before = set(self._groups)
        servers, self._groups = {}, {}
        for place in places:
            known = self._servers.get(place.name)
            same = known is not None and known.place == place
            servers[place.name] = known if known is not None and same else _Server(place, patience=self._draw())
            self._groups.setdefault(place.group, []).append(place.name)
        self._servers = servers
        self.verifier.listed({name: one.place.started for name, one in servers.items()})
        for group in self._owned.keys() - self._groups.keys():
            self.ended(group)
        return sorted(self._groups.keys() - before), sorted(before - self._groups.keys())

    def owned(self, now: int, group: str) -> None:
        """This gateway polls the group's servers for all from now on."""
        if group in self._groups:
            self._owned[group], self._next_round[group] = 0, now

    def ended(self, group: str) -> None:
        """It does so no longer."""
        self._owned.pop(group, None)
        self._next_round.pop(group, None)
        for name in self._groups.get(group, ()):
            self._servers[name].asked_at, self._servers[name].fresh = 0, None

    def tick(self, now: int) -> None:
        """Do what is due: polls, publications, servers that are polled directly."""
        for group, due in list(self._next_round.items()):
            if now >= due:
                self._next_round[group] = max(due + self._options.every, now + self._options.every // 2)
                self._give_out(group)
                self._owned[group] += 1
                self._ask(now, group)
        if now >= self._next_look:
            self._next_look = now + min(self._options.every, 50 * MS)
            self.asks += [name for name in self.verifier.due(now) if not self._servers[name].asked_at]
            for name, server in self._servers.items():
                if not server.alone and now - server.heard_at > server.patience:
                    server.alone, server.patience = True, self._draw()
                    self.asks.append(name)

    def next_at(self) -> int:
        """When ``tick`` is due."""
        return min([self._next_look, *self._next_round.values()])

    def _ask(self, now: int, group: str) -> None:
        for name in self._groups[group]:
            server = self._servers[name]
            if server.asked_at:
                server.unanswered += 1  # the last question brought nothing
                server.next_at = now + (self._options.every << min(server.unanswered, MAX_BACKOFF_DOUBLINGS))
                server.asked_at = 0
            elif now >= server.next_at:
                server.asked_at = now
                self.asks.append(name)

    def answered(self, now: int, server: str, marks: Vector | None, sent_at: int) -> None:
        """A server answered a poll of this gateway; ``marks`` is None if it did not."""
        known = self._servers.get(server)
        if known is None or marks is None:
            return
        self.verifier.answered(now, server, marks, sent_at)
        if known.place.group not in self._owned:
            return
        known.asked_at = known.unanswered = 0
        known.fresh = dict(marks)
        waiting = any(self._servers[name].asked_at for name in self._groups[known.place.group])
        if not waiting:
            self._give_out(known.place.group)

    def _give_out(self, group: str) -> None:
        """Publish what has come in since the last time, in as few items as hold it."""
        entries: list[Entry] = []
        size = 8
        for name in self._groups[group]:
            server = self._servers[name]
            marks, server.fresh = server.fresh, None
            if marks is None or (marks == server.last_published and self._owned[group] % FULL_REPORT_POLLS):
                continue
            server.last_published = marks
            entry = name, server.place.started, dict(marks)
            octets = len(msgspec.msgpack.encode(entry))
            if octets > MAX_DATA - 8:
                self.malformed += 1  # marks of too many origins: each asks for itself
                continue
            if size + octets > MAX_DATA:
                self.items.append((channel_of(group), msgspec.msgpack.encode(entries)))
                entries, size = [], 8
            entries.append(entry)
            size += octets
        if entries:
            self.items.append((channel_of(group), msgspec.msgpack.encode(entries)))

    def on_item(self, now: int, item: Delivered) -> None:
        """An item of a group's channel."""
        if item.owner == self.name:
            return  # what this gateway asked itself, its gateway knows
        try:
            entries = _decoder.decode(item.data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        group = item.channel.removeprefix(PREFIX)
        for name, started, marks in entries:
            known = self._servers.get(name)
            if known is None or known.place.group != group:
                continue  # another list: nobody's word brings in a server
            if self.verifier.on_report(now, item.owner, item.boot_epoch, item.epoch, name, started, marks):
                known.alone, known.heard_at = False, now
                self.verified_positions.append(VerifiedPosition(name, started, marks))

    def false_reports(self) -> list[FalseReport]:
        """False reports found since this was asked last."""
        found, self.verifier.false_reports = self.verifier.false_reports, []
        return found

    def alone(self) -> list[str]:
        """Servers without a recent verified report: this gateway polls them itself."""
        return sorted(
            name for name, server in self._servers.items() if server.alone and server.place.group not in self._owned
        )

    def _draw(self) -> int:
        return round(self._options.alone_after * (1 + self._random.random()))
