"""What a gateway believes of the marks that a feed's owner tells of servers. No I/O: time (ns) and a seed come in.

Marks of one start of a server only rise. So an owner's word can be checked by asking the server oneself, later: the
answer must have all that was told before. An owner's words on a server are passed on once one such check went well, and
checks go on, drawn by seed. Two in a row that fail are a lie: that owner is not believed for its life. One alone may be
a server that was put back from an old copy; it ends the trust in the word on that server until a check goes well again.

| state of a word (owner, its life, epoch, server) | by | to |
| --- | --- | --- |
| UNTESTED | an own answer, asked later, has all that was told | TRUSTED |
| UNTESTED, TRUSTED | it lacks something | STRUCK |
| STRUCK | a later one has all that was told since | TRUSTED |
| STRUCK | a later one lacks something as well | the owner: DISBELIEVED |

| state of a server | by | to |
| --- | --- | --- |
| SOUND | its marks go back for the same start: its own answer's, or one owner's words on it | BACK |
| BACK | its own answer has all again that was ever told of this start | SOUND |
| any | the list gives another start | SOUND, nothing known |
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.channels.api import SECOND
from yardbank.timeline import LogPosition, Vector

UNTESTED, TRUSTED, STRUCK = "untested", "trusted", "struck"
FIRST = 4 * SECOND  # over so long the first checks of all gateways spread
AGAIN = SECOND  # after a check that failed
SPOT = 40 * SECOND  # at most so long between two checks of a trusted word
BACK_EVERY = 5 * SECOND  # so often one that went back is looked at
MOST_LIARS = 256
MOST_ORIGINS = 64  # of a server's marks


def has(vector: Vector, other: Vector) -> bool:
    """Whether one has all of the other; marks that cannot be compared are lacking."""
    try:
        return all(origin in vector and vector[origin] >= mark for origin, mark in other.items())
    except TypeError:
        return False


@dataclass(slots=True, frozen=True)
class FalseReport:
    """An owner told of a server what it did not have, twice."""

    owner: str
    boot_epoch: int
    server: str


@dataclass(slots=True)
class _OwnerReport:
    """What one owner said of one server under one epoch."""

    owner: str
    boot_epoch: int
    epoch: int
    state: str = UNTESTED
    last: Vector = field(default_factory=dict)
    test: Vector | None = None  # what the next answer must have
    tested_at: int = 0  # when that was told
    check_at: int = 0


@dataclass(slots=True)
class _Server:
    started: int
    high: dict[str, LogPosition] = field(default_factory=dict)  # all that was believed or answered
    own: Vector = field(default_factory=dict)  # its own last answer
    own_at: int = 0  # when it was asked for
    regressed: bool = False  # its positions went back for the same start
    look_at: int = 0  # while it is regressed
    report: _OwnerReport | None = None


class PositionVerifier:
    """One gateway's belief in what owners say of servers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: dict[str, _Server] = {}
        self._distrusted: dict[tuple[str, int], None] = {}
        self.false_reports: list[FalseReport] = []  # found; the caller takes them
        self.rejected: Counter[str] = Counter()  # words, by why

    def listed(self, servers: Mapping[str, int]) -> None:
        """Servers of the list, and their starts. Another start: nothing is known of it."""
        kept = {name: one for name, one in self._servers.items() if servers.get(name) == one.started}
        self._servers = {name: kept.get(name) or _Server(started) for name, started in servers.items()}

    def on_report(
        self, now: int, owner: str, boot_epoch: int, epoch: int, server: str, started: int, marks: Vector
    ) -> bool:
        """An owner's word on a server; whether it may be passed on."""
        known = self._servers.get(server)
        if known is None or known.started != started:
            return self._reject("another start")
        if (owner, boot_epoch) in self._distrusted:
            return self._reject("a liar's")
        if len(marks) > MOST_ORIGINS:
            return self._reject("too long")
        report = known.report
        if report is None or (report.owner, report.boot_epoch, report.epoch) != (owner, boot_epoch, epoch):
            report = known.report = _OwnerReport(owner, boot_epoch, epoch)
        if not has(marks, report.last):
            self._went_back(now, known)
        report.last = dict(marks)
        if report.test is None and (report.state != TRUSTED or now >= report.check_at):
            report.test, report.tested_at = dict(marks), now
            wait = {UNTESTED: FIRST, STRUCK: AGAIN}.get(report.state, 0)
            report.check_at = now + round(wait * self._random.random())
        if known.regressed:
            return self._reject("it went back")
        if report.state != TRUSTED:
            return self._reject(report.state)
        self._rise(known, marks)
        return True

    def answered(self, now: int, server: str, marks: Vector, sent_at: int) -> None:
        """The server itself said where it stands, asked at ``sent_at``."""
        known = self._servers.get(server)
        if known is None or sent_at < known.own_at:
            return
        went_back = not has(marks, known.own)
        known.own, known.own_at = dict(marks), sent_at
        if known.regressed and has(marks, known.high):
            known.regressed = False
        elif went_back:
            self._went_back(now, known)
        if not known.regressed:
            self._rise(known, marks)
        report = known.report
        if report is None or report.test is None or sent_at < report.tested_at:
            return
        test, report.test = report.test, None
        if has(marks, test):
            report.state = TRUSTED
            report.check_at = now + round(SPOT * (0.25 + 0.75 * self._random.random()))
        elif known.regressed:
            report.state = UNTESTED  # it says nothing of the owner
        elif report.state == STRUCK:
            self._distrust(server, report)
        else:
            report.state = STRUCK

    def due(self, now: int) -> list[str]:
        """Servers that this gateway is to ask itself now, to check a word; again a while later if no answer comes."""
        found = []
        for name, known in self._servers.items():
            report = known.report
            if report is not None and report.test is not None and now >= report.check_at:
                report.check_at = now + AGAIN
                found.append(name)
            elif known.regressed and now >= known.look_at:
                known.look_at = now + round(BACK_EVERY * (0.5 + self._random.random()))
                found.append(name)
        return found

    def regressed(self) -> list[str]:
        """Servers whose marks went back for the same start."""
        return sorted(name for name, known in self._servers.items() if known.regressed)

    def _went_back(self, now: int, known: _Server) -> None:
        if not known.regressed:
            known.regressed, known.look_at = True, now + round(AGAIN * self._random.random())
        if known.report is not None:
            self._rise(known, known.report.last if known.report.state == TRUSTED else {})

    def _rise(self, known: _Server, marks: Vector) -> None:
        for origin, mark in marks.items():
            if origin not in known.high or not has(known.high, {origin: mark}):
                known.high[origin] = mark
        while len(known.high) > MOST_ORIGINS:
            del known.high[next(iter(known.high))]

    def _distrust(self, server: str, report: _OwnerReport) -> None:
        self._distrusted[report.owner, report.boot_epoch] = None
        while len(self._distrusted) > MOST_LIARS:
            del self._distrusted[next(iter(self._distrusted))]
        self.false_reports.append(FalseReport(report.owner, report.boot_epoch, server))

    def _reject(self, why: str) -> bool:
        self.rejected[why] += 1
        return False
