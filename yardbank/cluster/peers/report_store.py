"""Health reports on database servers: this gateway's own, and those received from other gateways.

No I/O: time (ns) is an argument.

Owns the reports. A report is made by one witness on one start of one server; others pass it on unchanged. Its age is
counted wherever it is stored and sent along with it, so clocks of different gateways are never compared.

Invariants: only the newest report of one witness on one server is stored; no report is used or sent beyond
``MAX_REPORT_AGE``; only this gateway makes reports in its own name. If it receives one in its name that it never made,
it issues a correct one at once under a higher number.

Bound: ``MAX_SERVERS`` servers with ``MAX_WITNESSES`` reports each.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yardbank.cluster.peers.datagram import MAX_NAME, HealthReport

MS, SECOND = 1_000_000, 1_000_000_000
MAX_REPORT_AGE = 15 * SECOND  # ns
REPEAT_INTERVAL = 4 * SECOND  # ns after which a witness repeats a report that still holds and matters
MIN_FAULT_TIME = SECOND  # ns after a fault's report before its end is reported: a flapping fault is reported once
WELL, SILENT, FAILING, FULL, NOTHING = 1, 2, 3, 4, 5
KIND_NAMES = {WELL: "well", SILENT: "silent", FAILING: "failing", FULL: "full", NOTHING: "nothing"}
FAULTY_KINDS = frozenset((SILENT, FAILING, FULL))
MAX_WITNESSES = 16  # of one server; beyond, the oldest report is dropped
MAX_SERVERS = 512  # reports on further servers are dropped

FirstHand = Mapping[str, tuple[int, int]]  # by server: kind, and the server's start in the list (ms since 1970)
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
        """Sort key: the order in which a witness made its reports."""
        return self.report.boot_epoch, self.report.number


class ReportStore:
    """This gateway's reports, and those received from others.

    ``dropped`` counts reports rejected because of a bound; ``corrected`` those in this gateway's name that it never
    made.
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
        """Set the listed gateways except this one; reports of all others are dropped."""
        self._peers = set(names)
        witnesses = self._peers | {self._name}
        for server, reports in list(self._reports.items()):
            kept = {witness: stored for witness, stored in reports.items() if witness in witnesses}
            self._replace(server, kept)

    def record_first_hand(self, now: int, findings: FirstHand) -> None:
        """Update this gateway's reports from its own present findings.

        A fault is reported, and its end; that a server is healthy is reported only if another witness says otherwise.
        So a fleet without faults sends no reports.
        """
        self._expire(now)
        reported = {server for server, reports in self._reports.items() if self._name in reports}
        for server in findings.keys() | reported:
            kind, started = findings.get(server, _NO_FINDING)
            self._record_finding(now, server, kind, started)

    def _record_finding(self, now: int, server: str, kind: int, started: int) -> None:
        reports = self._reports.get(server, {})
        own = reports.get(self._name)
        matters = kind in FAULTY_KINDS or (kind == WELL and self._is_disputed(reports))
        if own is None:
            if matters:
                self._make_report(now, server, kind, started)
            return
        if own.report.kind == kind and started in (0, own.report.started):
            if matters and own.age(now) >= REPEAT_INTERVAL:
                self._make_report(now, server, kind, started)
            return
        has_ended = own.report.kind in FAULTY_KINDS and own.age(now) >= MIN_FAULT_TIME
        if matters or has_ended:
            self._make_report(now, server, kind, started or own.report.started)

    def _is_disputed(self, reports: Mapping[str, StoredReport]) -> bool:
        """Whether another witness reports the server unhealthy."""
        others = (stored for witness, stored in reports.items() if witness != self._name)
        return any(stored.report.kind in FAULTY_KINDS for stored in others)

    def _make_report(self, now: int, server: str, kind: int, started: int) -> None:
        if len(server.encode()) > MAX_NAME:
            self.dropped += 1
            return
        self._number += 1
        self._store(now, HealthReport(self._name, self.boot_epoch, self._number, server, started, kind, 0))

    def receive(self, now: int, reports: Iterable[HealthReport]) -> None:
        """Handle the reports in a datagram, whoever sent it."""
        for report in reports:
            if report.witness == self._name:
                self._receive_own(now, report)
            elif report.witness in self._peers and report.age < MAX_REPORT_AGE // MS:
                self._receive_of_peer(now, report)

    def _receive_of_peer(self, now: int, report: HealthReport) -> None:
        known = self._reports.get(report.server, {}).get(report.witness)
        if known is None or (report.boot_epoch, report.number) > known.order():
            self._store(now, report)

    def _receive_own(self, now: int, report: HealthReport) -> None:
        """Handle a report in this gateway's name: one that it made before, or one that it must correct."""
        if (report.boot_epoch, report.number) <= (self.boot_epoch, self._number):
            return
        if report.boot_epoch > self.boot_epoch:  # from an earlier start, or forged: left to the failure detector
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
            self._replace(
                server, {witness: stored for witness, stored in reports.items() if stored.age(now) < MAX_REPORT_AGE}
            )

    def next_to_send(self, now: int, limit: int) -> list[HealthReport]:
        """The reports to send next: those sent least often, with their present ages. Counts them as sent."""
        enough = math.ceil(3 * math.log2(len(self._peers) + 2))  # times sent until all have most likely heard
        unsettled = []
        for reports in self._reports.values():
            for stored in reports.values():
                if stored.times_sent < enough and stored.age(now) < MAX_REPORT_AGE:
                    unsettled.append(stored)
        unsettled.sort(key=lambda stored: stored.times_sent)
        found = []
        for stored in unsettled[:limit]:
            stored.times_sent += 1
            found.append(_with_age(stored.report, stored.age(now) // MS))
        return found

    def reports_on_start(self, now: int, server: str, started: int) -> dict[str, StoredReport]:
        """Other witnesses' unexpired reports on this start of a server, by witness."""
        return {
            witness: stored
            for witness, stored in self._reports.get(server, {}).items()
            if witness != self._name and stored.report.started == started and stored.age(now) < MAX_REPORT_AGE
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
