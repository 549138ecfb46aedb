"""Whether the positions that a feed's owner reports of servers may be used. No I/O: time (ns) and a seed come in.

Positions of one start of a server only rise. So a report can be verified by asking the server oneself, later: its
answer must have all that was reported before. An owner's reports on a server are passed on once one verification
succeeded, and verifications go on at moments drawn by seed. Two in a row that fail make a false report: that owner is
not believed until it restarts. One alone may be a server that was restored from an old copy; its reports are not used
until a verification succeeds again. Owns what is known of reports and servers; bounds are ``MAX_DISTRUSTED`` owners and
``MAX_ORIGINS`` positions of a server.

| state of a report (owner, its boot epoch, epoch, server) | by | to |
| --- | --- | --- |
| UNVERIFIED | an own answer, asked later, has all that was reported | VERIFIED |
| UNVERIFIED, VERIFIED | it lacks something | SUSPECT |
| SUSPECT | a later one has all that was reported since | VERIFIED |
| SUSPECT | a later one lacks something as well | the owner is distrusted |

| state of a server | by | to |
| --- | --- | --- |
| sound | its positions go back for the same start: in its own answer, or in one owner's reports | regressed |
| regressed | its own answer has all again that was ever reported of this start | sound |
| any | the list gives another start | sound, nothing known |
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from yardbank.cluster.channels.api import SECOND
from yardbank.timeline import LogPosition, Vector


class VerificationState(StrEnum):
    """Of one owner's reports on one server; values are the reasons shown in ``view``."""

    UNVERIFIED = "untested"
    VERIFIED = "trusted"
    SUSPECT = "struck"


FIRST_CHECK_SPREAD = 4 * SECOND  # over so long the first verifications of all gateways spread
RETRY_AFTER = SECOND  # after a verification that failed
CHECK_SPREADS = {VerificationState.UNVERIFIED: FIRST_CHECK_SPREAD, VerificationState.SUSPECT: RETRY_AFTER}
MAX_CHECK_INTERVAL = 40 * SECOND  # between two verifications of reports that were right
REGRESSED_INTERVAL = 5 * SECOND  # between two questions to a regressed server, on average
MAX_DISTRUSTED = 256
MAX_ORIGINS = 64  # of a server's positions


def has(vector: Vector, other: Vector) -> bool:
    """Whether one has all of the other; positions that cannot be compared count as lacking."""
    try:
        return all(origin in vector and vector[origin] >= mark for origin, mark in other.items())
    except TypeError:
        return False


@dataclass(slots=True, frozen=True)
class FalseReport:
    """An owner reported positions of a server that it did not have, twice in a row."""

    owner: str
    boot_epoch: int
    server: str


@dataclass(slots=True)
class _OwnerReport:
    """What one owner reported of one server under one epoch."""

    owner: str
    boot_epoch: int
    epoch: int
    state: VerificationState = VerificationState.UNVERIFIED
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
    """One gateway's verification of what owners report of servers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: dict[str, _Server] = {}
        self._distrusted: dict[tuple[str, int], None] = {}
        self.false_reports: list[FalseReport] = []  # found; the caller takes them off
        self.rejected: Counter[str] = Counter()  # reports, by reason

    def listed(self, servers: Mapping[str, int]) -> None:
        """Servers of the list, and their starts. Another start: nothing is known of it."""
        kept = {name: one for name, one in self._servers.items() if servers.get(name) == one.started}
        self._servers = {name: kept.get(name) or _Server(started) for name, started in servers.items()}

    def on_report(
        self, now: int, owner: str, boot_epoch: int, epoch: int, server: str, started: int, marks: Vector
    ) -> bool:
        """An owner's report on a server; whether it may be used."""
        known = self._servers.get(server)
        if known is None or known.started != started:
            return self._reject("another start")
        if (owner, boot_epoch) in self._distrusted:
            return self._reject("a liar's")
        if len(marks) > MAX_ORIGINS:
            return self._reject("too long")
        report = known.report
        if report is None or (report.owner, report.boot_epoch, report.epoch) != (owner, boot_epoch, epoch):
            report = known.report = _OwnerReport(owner, boot_epoch, epoch)
        if not has(marks, report.last):
            self._mark_regressed(now, known)
        report.last = dict(marks)
        if report.test is None and (report.state != VerificationState.VERIFIED or now >= report.check_at):
            report.test, report.tested_at = dict(marks), now
            wait = CHECK_SPREADS.get(report.state, 0)
            report.check_at = now + round(wait * self._random.random())
        if known.regressed:
            return self._reject("it went back")
        if report.state != VerificationState.VERIFIED:
            return self._reject(report.state.value)
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
            self._mark_regressed(now, known)
        if not known.regressed:
            self._rise(known, marks)
        report = known.report
        if report is None or report.test is None or sent_at < report.tested_at:
            return
        test, report.test = report.test, None
        if has(marks, test):
            report.state = VerificationState.VERIFIED
            report.check_at = now + round(MAX_CHECK_INTERVAL * (0.25 + 0.75 * self._random.random()))
        elif known.regressed:
            report.state = VerificationState.UNVERIFIED  # it says nothing of the owner
        elif report.state == VerificationState.SUSPECT:
            self._distrust(server, report)
        else:
            report.state = VerificationState.SUSPECT

    def due(self, now: int) -> list[str]:
        """Servers to ask now, to verify reports; again a while later if no answer comes."""
        found = []
        for name, known in self._servers.items():
            report = known.report
            if report is not None and report.test is not None and now >= report.check_at:
                report.check_at = now + RETRY_AFTER
                found.append(name)
            elif known.regressed and now >= known.look_at:
                known.look_at = now + round(REGRESSED_INTERVAL * (0.5 + self._random.random()))
                found.append(name)
        return found

    def regressed(self) -> list[str]:
        """Servers whose positions went back for the same start."""
        return sorted(name for name, known in self._servers.items() if known.regressed)

    def _mark_regressed(self, now: int, known: _Server) -> None:
        if not known.regressed:
            known.regressed, known.look_at = True, now + round(RETRY_AFTER * self._random.random())
        if known.report is not None:
            self._rise(known, known.report.last if known.report.state == VerificationState.VERIFIED else {})

    def _rise(self, known: _Server, marks: Vector) -> None:
        for origin, mark in marks.items():
            if origin not in known.high or not has(known.high, {origin: mark}):
                known.high[origin] = mark
        while len(known.high) > MAX_ORIGINS:
            del known.high[next(iter(known.high))]

    def _distrust(self, server: str, report: _OwnerReport) -> None:
        self._distrusted[report.owner, report.boot_epoch] = None
        while len(self._distrusted) > MAX_DISTRUSTED:
            del self._distrusted[next(iter(self._distrusted))]
        self.false_reports.append(FalseReport(report.owner, report.boot_epoch, server))

    def _reject(self, why: str) -> bool:
        self.rejected[why] += 1
        return False
