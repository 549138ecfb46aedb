"""Whether the positions of servers that a feed's owner reports may be used. No I/O; time (ns) and a seed are passed in.

Positions of one start of a server only rise. So a gateway can verify a report by polling the server itself, later: the
answer must cover everything reported before. An owner's reports on a server are passed on once one verification has
succeeded, and verifications continue at random times. Two failures in a row make a false report, and that owner is
distrusted until it restarts. A single failure may be a server that was restored from an old copy; reports on it are not
used until a verification succeeds again. Bounds: ``MAX_DISTRUSTED`` owners and ``MAX_ORIGINS`` positions per server.

| state of a report (owner, its boot epoch, epoch, server) | on | to |
| --- | --- | --- |
| UNVERIFIED | an answer to a later poll covers all that was reported | VERIFIED |
| UNVERIFIED, VERIFIED | the answer lacks something | SUSPECT |
| SUSPECT | a later answer covers all that was reported since | VERIFIED |
| SUSPECT | a later answer lacks something as well | the owner is distrusted |

| state of a server | on | to |
| --- | --- | --- |
| sound | its positions go back within the same start: in its own answers, or in one owner's reports | regressed |
| regressed | its own answer covers all that was ever reported of this start | sound |
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
    """State of one owner's reports on one server; the values are the rejection reasons shown in ``view``."""

    UNVERIFIED = "untested"
    VERIFIED = "trusted"
    SUSPECT = "struck"


FIRST_CHECK_SPREAD = 4 * SECOND  # period over which the first verifications of all gateways are spread
RETRY_AFTER = SECOND  # after a failed verification
CHECK_SPREADS = {VerificationState.UNVERIFIED: FIRST_CHECK_SPREAD, VerificationState.SUSPECT: RETRY_AFTER}
MAX_CHECK_INTERVAL = 40 * SECOND  # between verifications after a successful one
REGRESSED_INTERVAL = 5 * SECOND  # average time between polls of a regressed server
MAX_DISTRUSTED = 256
MAX_ORIGINS = 64  # positions per server


def covers(vector: Vector, other: Vector) -> bool:
    """Whether one vector has everything of the other; positions that cannot be compared count as lacking."""
    try:
        return all(origin in vector and vector[origin] >= mark for origin, mark in other.items())
    except TypeError:
        return False


@dataclass(slots=True, frozen=True)
class FalseReport:
    """An owner reported positions of a server that the server did not have, twice in a row."""

    owner: str
    boot_epoch: int
    server: str


@dataclass(slots=True)
class _OwnerReport:
    """What one owner reported about one server under one epoch."""

    owner: str
    boot_epoch: int
    epoch: int
    state: VerificationState = VerificationState.UNVERIFIED
    last: Vector = field(default_factory=dict)
    expected: Vector | None = None  # what the next answer must cover
    expected_since: int = 0  # when that was reported
    check_at: int = 0


@dataclass(slots=True)
class _Server:
    started: int
    highest: dict[str, LogPosition] = field(default_factory=dict)  # of accepted reports and own answers
    own: Vector = field(default_factory=dict)  # the server's own last answer
    own_at: int = 0  # when the poll for it was sent
    regressed: bool = False  # its positions went back within the same start
    recheck_at: int = 0  # next poll while it is regressed
    report: _OwnerReport | None = None


class PositionVerifier:
    """One gateway's verification of owners' reports on servers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: dict[str, _Server] = {}
        self._distrusted: dict[tuple[str, int], None] = {}
        self.false_reports: list[FalseReport] = []  # the caller takes them
        self.rejected: Counter[str] = Counter()  # rejected reports by reason

    def listed(self, servers: Mapping[str, int]) -> None:
        """Set the listed servers and their starts; what is known of another start is dropped."""
        kept = {name: one for name, one in self._servers.items() if servers.get(name) == one.started}
        self._servers = {name: kept.get(name) or _Server(started) for name, started in servers.items()}

    def on_report(
        self, now: int, owner: str, boot_epoch: int, epoch: int, server: str, started: int, marks: Vector
    ) -> bool:
        """Handle an owner's report on a server; returns whether it may be used."""
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
        if not covers(marks, report.last):
            self._mark_regressed(now, known)
        report.last = dict(marks)
        if report.expected is None and (report.state != VerificationState.VERIFIED or now >= report.check_at):
            report.expected, report.expected_since = dict(marks), now
            spread = CHECK_SPREADS.get(report.state, 0)
            report.check_at = now + round(spread * self._random.random())
        if known.regressed:
            return self._reject("it went back")
        if report.state != VerificationState.VERIFIED:
            return self._reject(report.state.value)
        self._update_highest(known, marks)
        return True

    def answered(self, now: int, server: str, marks: Vector, sent_at: int) -> None:
        """The server answered a poll that this gateway sent at ``sent_at``."""
        known = self._servers.get(server)
        if known is None or sent_at < known.own_at:
            return
        went_back = not covers(marks, known.own)
        known.own, known.own_at = dict(marks), sent_at
        if known.regressed and covers(marks, known.highest):
            known.regressed = False
        elif went_back:
            self._mark_regressed(now, known)
        if not known.regressed:
            self._update_highest(known, marks)
        report = known.report
        if report is None or report.expected is None or sent_at < report.expected_since:
            return
        expected, report.expected = report.expected, None
        if covers(marks, expected):
            report.state = VerificationState.VERIFIED
            report.check_at = now + round(MAX_CHECK_INTERVAL * (0.25 + 0.75 * self._random.random()))
        elif known.regressed:
            report.state = VerificationState.UNVERIFIED  # a regressed server proves nothing about the owner
        elif report.state == VerificationState.SUSPECT:
            self._distrust(server, report)
        else:
            report.state = VerificationState.SUSPECT

    def due(self, now: int) -> list[str]:
        """Servers to poll now to verify reports; polled again after ``RETRY_AFTER`` if no answer arrives."""
        found = []
        for name, known in self._servers.items():
            report = known.report
            if report is not None and report.expected is not None and now >= report.check_at:
                report.check_at = now + RETRY_AFTER
                found.append(name)
            elif known.regressed and now >= known.recheck_at:
                known.recheck_at = now + round(REGRESSED_INTERVAL * (0.5 + self._random.random()))
                found.append(name)
        return found

    def regressed(self) -> list[str]:
        """Servers whose positions went back within the same start."""
        return sorted(name for name, known in self._servers.items() if known.regressed)

    def _mark_regressed(self, now: int, known: _Server) -> None:
        if not known.regressed:
            known.regressed, known.recheck_at = True, now + round(RETRY_AFTER * self._random.random())
        if known.report is not None:
            self._update_highest(known, known.report.last if known.report.state == VerificationState.VERIFIED else {})

    def _update_highest(self, known: _Server, marks: Vector) -> None:
        for origin, mark in marks.items():
            if origin not in known.highest or not covers(known.highest, {origin: mark}):
                known.highest[origin] = mark
        while len(known.highest) > MAX_ORIGINS:
            del known.highest[next(iter(known.highest))]

    def _distrust(self, server: str, report: _OwnerReport) -> None:
        self._distrusted[report.owner, report.boot_epoch] = None
        while len(self._distrusted) > MAX_DISTRUSTED:
            del self._distrusted[next(iter(self._distrusted))]
        self.false_reports.append(FalseReport(report.owner, report.boot_epoch, server))

    def _reject(self, why: str) -> bool:
        self.rejected[why] += 1
        return False
