"""Health reports on database servers: this gateway's own, and those of other gateways that have reached it.

No I/O: time (ns) is an argument.

Owns the reports. A report is made by one witness on one start of one server; others pass it on as the witness wrote it.
Its age is counted where it is stored and sent along with it, so no two clocks are compared.

Invariants: of one witness and server only the newest report is stored; no report outlives ``LIFE``; only this gateway
makes reports in its own name. If one comes back that it never made, it answers at once with what is so, under a higher
number.

Bound: ``MAX_SERVERS`` servers with ``MAX_WITNESSES`` reports each.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yardbank.cluster.peers.datagram import MAX_NAME, HealthReport

MS, SECOND = 1_000_000, 1_000_000_000
LIFE = 15 * SECOND  # ns
REPEAT_AFTER = 4 * SECOND  # ns; a witness repeats a report that still holds and still matters
SETTLED = SECOND  # ns that a fault must have been reported before its end is: what comes and goes is reported once
WELL, SILENT, FAILING, FULL, NOTHING = 1, 2, 3, 4, 5
KINDS = {WELL: "well", SILENT: "silent", FAILING: "failing", FULL: "full", NOTHING: "nothing"}
BAD = frozenset((SILENT, FAILING, FULL))
MAX_WITNESSES = 16  # of one server; beyond, the oldest report is dropped
MAX_SERVERS = 512  # beyond, reports on further servers are dropped

FirstHand = Mapping[str, tuple[int, int]]  # by server: kind, and the start it is true of (ms since 1970, from the list)
_NO_FINDING = (NOTHING, 0)


@dataclass(slots=True)
class StoredReport:
    """A report with what this gateway knows of its age."""

    report: HealthReport
    observed_at: int  # ns on this gateway's clock
    times_sent: int = 0

    def age(self, now: int) -> int:
        """Time since the witness observed it, ns."""
        return now - self.observed_at

    def order(self) -> tuple[int, int]:
        """Orders the reports of one witness by when it made them."""
        return self.report.boot_epoch, self.report.number


class ReportStore:
    """One gateway's reports and the others'.

    ``dropped`` counts reports beyond a bound; ``corrected`` those in this gateway's name that it never made.
    """

    def __init__(self, name: str, boot_epoch: int) -> None:
        self._name = name
        self.boot_epoch = boot_epoch
        self.dropped = 0
        self.corrected = 0
        self._reports: dict[str, dict[str, StoredReport]] = {}  # by server and witness
        self._peers: set[str] = set()
        self._number = 0

    def set_peers(self, names: Iterable[str]) -> None:
        """The gateways of the list but this one; reports of all others are forgotten."""
        self._peers = set(names)
        witnesses = self._peers | {self._name}
        for server, reports in list(self._reports.items()):
            kept = {witness: stored for witness, stored in reports.items() if witness in witnesses}
            self._replace(server, kept)

    def record_first_hand(self, now: int, findings: FirstHand) -> None:
        """Report what this gateway finds itself, as it is now.

        A fault is reported as it comes, and its end; that a server does well only where somebody says otherwise. So a
        fleet in which all is well is silent.
        """
        self._expire(now)
        reported = {server for server, reports in self._reports.items() if self._name in reports}
        for server in findings.keys() | reported:
            kind, started = findings.get(server, _NO_FINDING)
            self._record_finding(now, server, kind, started)

    def _record_finding(self, now: int, server: str, kind: int, started: int) -> None:
        reports = self._reports.get(server, {})
        own = reports.get(self._name)
        matters = kind in BAD or (kind == WELL and self._is_disputed(reports))
        if own is None:
            if matters:
                self._make_report(now, server, kind, started)
            return
        if own.report.kind == kind and started in (0, own.report.started):
            if matters and own.age(now) >= REPEAT_AFTER:
                self._make_report(now, server, kind, started)
            return
        has_ended = own.report.kind in BAD and own.age(now) >= SETTLED
        if matters or has_ended:
            self._make_report(now, server, kind, started or own.report.started)

    def _is_disputed(self, reports: Mapping[str, StoredReport]) -> bool:
        """Whether another witness finds the server bad."""
        others = (stored for witness, stored in reports.items() if witness != self._name)
        return any(stored.report.kind in BAD for stored in others)

    def _make_report(self, now: int, server: str, kind: int, started: int) -> None:
        if len(server.encode()) > MAX_NAME:
            self.dropped += 1
            return
        self._number += 1
        self._store(now, HealthReport(self._name, self.boot_epoch, self._number, server, started, kind, 0))

    def receive(self, now: int, reports: Iterable[HealthReport]) -> None:
        """Reports that came with a datagram, whoever sent it."""
        for report in reports:
            if report.witness == self._name:
                self._receive_own(now, report)
            elif report.witness in self._peers and report.age < LIFE // MS:
                self._receive_of_peer(now, report)

    def _receive_of_peer(self, now: int, report: HealthReport) -> None:
        known = self._reports.get(report.server, {}).get(report.witness)
        if known is None or (report.boot_epoch, report.number) > known.order():
            self._store(now, report)

    def _receive_own(self, now: int, report: HealthReport) -> None:
        """A report in this gateway's name: one it made before, or one it has to correct."""
        if (report.boot_epoch, report.number) <= (self.boot_epoch, self._number):
            return
        if report.boot_epoch > self.boot_epoch:  # of an earlier start, or made up: the failure detector decides
            return
        self._number = report.number
        self.corrected += 1
        own = self._reports.get(report.server, {}).get(self._name)
        if own is None:
            self._make_report(now, report.server, NOTHING, report.started)
        else:
            self._make_report(now, report.server, own.report.kind, own.report.started)

    def _store(self, now: int, report: HealthReport) -> None:
        reports = self._reports.get(report.server)
        if reports is None:
            if len(self._reports) >= MAX_SERVERS:
                self.dropped += 1
                return
            reports = self._reports[report.server] = {}
        if report.witness not in reports and len(reports) >= MAX_WITNESSES:
            others = (witness for witness in reports if witness != self._name)
            del reports[min(others, key=lambda witness: reports[witness].observed_at)]
            self.dropped += 1
        reports[report.witness] = StoredReport(report, now - report.age * MS)

    def _replace(self, server: str, reports: dict[str, StoredReport]) -> None:
        if reports:
            self._reports[server] = reports
        else:
            self._reports.pop(server, None)

    def _expire(self, now: int) -> None:
        for server, reports in list(self._reports.items()):
            self._replace(server, {witness: stored for witness, stored in reports.items() if stored.age(now) < LIFE})

    def next_to_send(self, now: int, limit: int) -> list[HealthReport]:
        """The reports sent least often, with their ages as of now. Counts them as sent."""
        enough = math.ceil(3 * math.log2(len(self._peers) + 2))  # sendings until all have most likely heard
        unsettled = []
        for reports in self._reports.values():
            for stored in reports.values():
                if stored.times_sent < enough and stored.age(now) < LIFE:
                    unsettled.append(stored)
        unsettled.sort(key=lambda stored: stored.times_sent)
        found = []
        for stored in unsettled[:limit]:
            stored.times_sent += 1
            found.append(_with_age(stored.report, stored.age(now) // MS))
        return found

    def reports_on_start(self, now: int, server: str, started: int) -> dict[str, StoredReport]:
        """Other witnesses' reports on this start of a server that have not expired, by witness."""
        return {
            witness: stored
            for witness, stored in self._reports.get(server, {}).items()
            if witness != self._name and stored.report.started == started and stored.age(now) < LIFE
        }

    def reports_on(self, server: str) -> Mapping[str, StoredReport]:
        """All reports on a server by witness, this gateway's own too."""
        return self._reports.get(server, {})

    def servers(self) -> list[str]:
        """Servers with at least one report."""
        return sorted(self._reports)


def _with_age(report: HealthReport, age: int) -> HealthReport:
    """The same report, ``age`` (ms) old."""
    return HealthReport(
        report.witness, report.boot_epoch, report.number, report.server, report.started, report.kind, age
    )
