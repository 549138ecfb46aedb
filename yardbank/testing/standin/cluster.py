"""The commit log of one server group and its replication. No I/O: time and timers are passed in.

A primary commits at once. A replica ("copy") gets each commit after a shipping delay and applies commits on one
thread; a replica that falls behind still answers reads at full speed. A primary that is lost or hangs is declared
failed after ``detect``. After a further ``elect`` the replica with most of the log becomes primary, and commits that it
does not have are lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yardbank.ldap import csn
from yardbank.ldap import messages as m
from yardbank.testing.standin.directory import OK, Directory, Outcome

Record = Callable[[dict[str, Any]], None]


@dataclass(slots=True, frozen=True)
class Commit:
    """One write in the log."""

    csn: str
    at: float  # seconds, on the clock that is passed in
    request: m.Request
    tag: str  # identifies the request in records


@dataclass(slots=True)
class Timing:
    """Delays of replication and failover, in seconds."""

    ship: float = 0.005
    apply: float = 0.002
    detect: float = 1.5
    elect: float = 1.5
    hand_over: float = 0.4


class Member:
    """The replication state of one server."""

    def __init__(self, name: str, number: int, suffix: str) -> None:
        self.name, self.number = name, number
        self.directory = Directory(suffix)
        self.context: dict[int, str] = {}  # latest change applied, by origin
        self.applied = 0  # number of commits applied
        self.last = ""  # change sequence number of the latest one
        self.lag = 1.0  # factor by which it applies more slowly
        self.up = True
        self.hung = False
        self.skew = 0.0  # offset of its clock, seconds
        self.busy = False  # whether its apply thread is in use


class Cluster:
    """A primary and its replicas."""

    def __init__(
        self,
        suffix: str,
        names: list[str],
        seconds: Callable[[], float],
        call_later: Callable[..., Any],
        timing: Timing | None = None,
        record: Record | None = None,
    ) -> None:
        self.suffix, self.timing = suffix, timing or Timing()
        self.members = {name: Member(name, index + 1, suffix) for index, name in enumerate(names)}
        self.primary: str | None = names[0]
        self.log: list[Commit] = []
        self._seconds, self._call_later = seconds, call_later
        self._record = record or (lambda fact: None)
        self._term = 0
        self._count = 0
        self._newest: dict[int, float] = {}
        self.on_change: Callable[[], None] = lambda: None

    def load(self, requests: list[m.Request]) -> None:
        """Adds entries to all members before any client connects."""
        for request in requests:
            self.commit(self.primary or "", request, "")
        for member in self.members.values():
            while member.applied < len(self.log):
                self._apply(member)

    def commit(self, name: str, request: m.Request, tag: str) -> tuple[Outcome, str]:
        """Commits a write at the primary; returns its result and its change sequence number."""
        member = self.members[name]
        now = self._seconds()
        commit_time = now + member.skew  # a server's sequence numbers never go back
        commit_time = max(commit_time, self._newest.get(member.number, 0.0))
        self._newest[member.number] = commit_time
        self._count += 1
        number = csn.render(commit_time, self._count & 0xFFFFFF, member.number)
        outcome = member.directory.apply(request, number)
        if outcome != OK:
            return outcome, ""
        self.log.append(Commit(number, now, request, tag))
        member.applied, member.last = len(self.log), number
        member.context[member.number] = number
        self._record({"kind": "applied", "server": name, "suffix": self.suffix, "csn": number, "tag": tag})
        for other in self.members.values():
            if other is not member:
                self._call_later(self.timing.ship, self._schedule_apply, other)
        return outcome, number

    def _schedule_apply(self, member: Member) -> None:
        """Starts applying the next commit that has reached a replica, if its apply thread is free."""
        if member.busy or not member.up or member.hung or member.name == self.primary:
            return
        if member.applied >= len(self.log):
            return
        wait = self.log[member.applied].at + self.timing.ship - self._seconds()
        if wait > 1e-6:
            self._call_later(wait, self._schedule_apply, member)
            return
        member.busy = True
        self._call_later(self.timing.apply * member.lag, self._applied, member, self._term)

    def _applied(self, member: Member, term: int) -> None:
        if term != self._term:
            return
        member.busy = False
        if member.up and not member.hung and member.applied < len(self.log):
            self._apply(member)
        self._schedule_apply(member)

    def _apply(self, member: Member) -> None:
        commit = self.log[member.applied]
        member.directory.apply(commit.request, commit.csn)
        member.applied, member.last = member.applied + 1, commit.csn
        origin = int(commit.csn.split("#")[2], 16)
        member.context[origin] = commit.csn

    def lose(self, name: str, hangs: bool = False) -> None:
        """Crashes or hangs a member; a lost primary is replaced later."""
        member = self.members[name]
        if hangs:
            member.hung = True
        else:
            member.up = False
        if name == self.primary:
            self._call_later(self.timing.detect, self._declare_failed, name, self._term)

    def _declare_failed(self, name: str, term: int) -> None:
        member = self.members[name]
        if term != self._term or (member.up and not member.hung):
            return
        self.primary = None
        self._new_term()
        self._record({"kind": "given_up", "server": name})
        self._call_later(self.timing.elect, self._elect)

    def _elect(self) -> None:
        candidates = [member for member in self.members.values() if member.up and not member.hung]
        if not candidates or self.primary is not None:
            if self.primary is None:
                self._call_later(self.timing.elect, self._elect)
            return
        best = max(candidates, key=lambda member: (member.applied, -member.number))
        lost = self.log[best.applied :]
        del self.log[best.applied :]
        self._record(
            {"kind": "elected", "server": best.name, "suffix": self.suffix, "lost": [commit.csn for commit in lost]}
        )
        self.primary = best.name
        for other in self.members.values():
            if other.applied > len(self.log):
                self._rebuild(other)
        self._new_term()
        self.on_change()

    def _new_term(self) -> None:
        """Begins a term: discards applies in progress, which belong to the old term, and restarts all replicas."""
        self._term += 1
        for member in self.members.values():
            member.busy = False
            self._schedule_apply(member)

    def _rebuild(self, member: Member) -> None:
        """Rebuilds a member from the current log, which undoes commits that were lost with an old primary."""
        member.directory, member.context = Directory(self.suffix), {}
        member.applied, member.last = 0, ""
        while member.applied < len(self.log):
            self._apply(member)

    def back(self, name: str) -> None:
        """Brings a member back with its previous state; a replaced primary becomes a replica."""
        member = self.members[name]
        member.up, member.hung, member.busy = True, False, False
        if member.applied > len(self.log):
            self._rebuild(member)
        self._schedule_apply(member)

    def hand_over(self) -> None:
        """Performs a planned change of primary: no writes until the most advanced replica has the whole log."""
        old, self.primary = self.primary, None
        self._new_term()
        self._record({"kind": "hand_over", "server": old})

        def take_over() -> None:
            candidates = [x for x in self.members.values() if x.up and not x.hung and x.name != old]
            best = max(candidates, key=lambda x: x.applied, default=None)
            if best is None:
                self._call_later(self.timing.hand_over, take_over)
                return
            while best.applied < len(self.log):
                self._apply(best)
            self.primary = best.name
            self._record({"kind": "elected", "server": best.name, "suffix": self.suffix, "lost": []})
            self._new_term()
            self.on_change()

        self._call_later(self.timing.hand_over, take_over)

    def behind(self, name: str) -> int:
        """The number of commits that a member has not applied."""
        return len(self.log) - self.members[name].applied
