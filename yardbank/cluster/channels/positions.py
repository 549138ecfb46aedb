"""Positions of a group's servers, polled by one gateway for all. No I/O; time (ns) and randomness are passed in.

Each group has a channel ``positions/GROUP``. Its owner polls the group's servers and publishes their positions as
reported by the servers, with the start time from its list. The other gateways verify the owner's reports
(``verification``) and pass the positions on to their own gateway, which orders them by its own timeline; roles are
never taken from other gateways. A gateway without reports on a server for long enough polls it once itself, at a random
moment, and from then on treats the server as if there were no feed.

| state of a server here | on | to |
| --- | --- | --- |
| ALONE | a verified report on it | FED |
| FED | no such report for one to two times ``alone_after``, at random | ALONE |
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
FULL_REPORT_POLLS = 5  # every this many polls, unchanged positions are published too
MAX_BACKOFF_DOUBLINGS = 5  # of the poll interval, after unanswered polls

Entry = tuple[str, int, dict[str, tuple[int | str, ...]]]  # server, start, marks
_decoder = msgspec.msgpack.Decoder(list[Entry])


def channel_of(group: str) -> str:
    """The channel on which a group's positions are published."""
    return PREFIX + group


@dataclass(slots=True, frozen=True)
class ListedServer:
    """A server as listed at this gateway."""

    name: str
    group: str
    started: int


@dataclass(slots=True, frozen=True)
class VerifiedPosition:
    """A verified position of a server, for this gateway's own timeline."""

    server: str
    started: int
    marks: Vector


@dataclass(slots=True)
class _Server:
    listed_server: ListedServer
    alone: bool = True
    heard_at: int = 0
    report_timeout: int = 0
    polled_at: int = 0  # as the owner; 0: no poll is outstanding
    next_at: int = 0  # when to poll next, as the owner
    unanswered: int = 0  # consecutive polls without an answer
    unpublished: Vector | None = None  # the position not published yet
    last_published: Vector = field(default_factory=dict)


class Positions:
    """The position feeds of one gateway: owner of some groups and follower of all."""

    def __init__(self, name: str, random: Random, options: Options) -> None:
        self.name = name
        self.verifier = PositionVerifier(random)
        self.asks: list[str] = []  # servers to poll now; the caller takes them
        self.items: list[tuple[str, bytes]] = []  # (channel, data) to publish; the caller takes them
        self.verified_positions: list[VerifiedPosition] = []  # for this gateway; the caller takes them
        self.malformed = 0
        self._random, self._options = random, options
        self._servers: dict[str, _Server] = {}
        self._groups: dict[str, list[str]] = {}
        self._poll_counts: dict[str, int] = {}  # polls so far of each group owned here
        self._next_polls: dict[str, int] = {}
        self._next_check = 0

    def listed(self, now: int, listed_servers: Iterable[ListedServer]) -> tuple[list[str], list[str]]:
        """Set the listed servers; returns the groups that are new and those that are gone."""
        before = set(self._groups)
        servers, self._groups = {}, {}
        for listed_server in listed_servers:
            known = self._servers.get(listed_server.name)
            same = known is not None and known.listed_server == listed_server
            servers[listed_server.name] = (
                known if known is not None and same else _Server(listed_server, report_timeout=self._draw_timeout())
            )
            self._groups.setdefault(listed_server.group, []).append(listed_server.name)
        self._servers = servers
        self.verifier.listed({name: one.listed_server.started for name, one in servers.items()})
        for group in self._poll_counts.keys() - self._groups.keys():
            self.ended(group)
        return sorted(self._groups.keys() - before), sorted(before - self._groups.keys())

    def owned(self, now: int, group: str) -> None:
        """This gateway polls the group's servers for all gateways from now on."""
        if group in self._groups:
            self._poll_counts[group], self._next_polls[group] = 0, now

    def ended(self, group: str) -> None:
        """This gateway no longer polls the group for all."""
        self._poll_counts.pop(group, None)
        self._next_polls.pop(group, None)
        for name in self._groups.get(group, ()):
            self._servers[name].polled_at, self._servers[name].unpublished = 0, None

    def tick(self, now: int) -> None:
        """Do what is due: polls, publications, and servers that are polled directly."""
        for group, due in list(self._next_polls.items()):
            if now >= due:
                self._next_polls[group] = max(due + self._options.every, now + self._options.every // 2)
                self._publish(group)
                self._poll_counts[group] += 1
                self._poll(now, group)
        if now >= self._next_check:
            self._next_check = now + min(self._options.every, 50 * MS)
            self.asks += [name for name in self.verifier.due(now) if not self._servers[name].polled_at]
            for name, server in self._servers.items():
                if not server.alone and now - server.heard_at > server.report_timeout:
                    server.alone, server.report_timeout = True, self._draw_timeout()
                    self.asks.append(name)

    def next_at(self) -> int:
        """When ``tick`` is due."""
        return min([self._next_check, *self._next_polls.values()])

    def _poll(self, now: int, group: str) -> None:
        for name in self._groups[group]:
            server = self._servers[name]
            if server.polled_at:
                server.unanswered += 1  # the previous poll was not answered
                server.next_at = now + (self._options.every << min(server.unanswered, MAX_BACKOFF_DOUBLINGS))
                server.polled_at = 0
            elif now >= server.next_at:
                server.polled_at = now
                self.asks.append(name)

    def answered(self, now: int, server: str, marks: Vector | None, sent_at: int) -> None:
        """A server answered a poll of this gateway; ``marks`` is None if it did not."""
        known = self._servers.get(server)
        if known is None or marks is None:
            return
        self.verifier.answered(now, server, marks, sent_at)
        if known.listed_server.group not in self._poll_counts:
            return
        known.polled_at = known.unanswered = 0
        known.unpublished = dict(marks)
        waiting = any(self._servers[name].polled_at for name in self._groups[known.listed_server.group])
        if not waiting:
            self._publish(known.listed_server.group)

    def _publish(self, group: str) -> None:
        """Publish the positions that are new since the last time, in as few items as possible."""
        entries: list[Entry] = []
        size = 8
        for name in self._groups[group]:
            server = self._servers[name]
            marks, server.unpublished = server.unpublished, None
            if marks is None or (marks == server.last_published and self._poll_counts[group] % FULL_REPORT_POLLS):
                continue
            server.last_published = marks
            entry = name, server.listed_server.started, dict(marks)
            octets = len(msgspec.msgpack.encode(entry))
            if octets > MAX_DATA - 8:
                self.malformed += 1  # marks of too many origins: each gateway polls this server itself
                continue
            if size + octets > MAX_DATA:
                self.items.append((channel_of(group), msgspec.msgpack.encode(entries)))
                entries, size = [], 8
            entries.append(entry)
            size += octets
        if entries:
            self.items.append((channel_of(group), msgspec.msgpack.encode(entries)))

    def on_item(self, now: int, item: Delivered) -> None:
        """Handle an item of a group's channel."""
        if item.owner == self.name:
            return  # the gateway already has positions that it polled itself
        try:
            entries = _decoder.decode(item.data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        group = item.channel.removeprefix(PREFIX)
        for name, started, marks in entries:
            known = self._servers.get(name)
            if known is None or known.listed_server.group != group:
                continue  # not listed here: a report never adds a server
            if self.verifier.on_report(now, item.owner, item.boot_epoch, item.epoch, name, started, marks):
                known.alone, known.heard_at = False, now
                self.verified_positions.append(VerifiedPosition(name, started, marks))

    def false_reports(self) -> list[FalseReport]:
        """Return and clear the false reports found since the last call."""
        found, self.verifier.false_reports = self.verifier.false_reports, []
        return found

    def alone(self) -> list[str]:
        """Servers without a recent verified report; this gateway polls them itself."""
        return sorted(
            name
            for name, server in self._servers.items()
            if server.alone and server.listed_server.group not in self._poll_counts
        )

    def _draw_timeout(self) -> int:
        return round(self._options.alone_after * (1 + self._random.random()))
