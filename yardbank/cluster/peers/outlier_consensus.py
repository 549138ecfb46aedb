"""Decides which servers are outliers because other gateways report them; nothing else decides this.

No I/O: the time (ns) and this gateway's own random draw are arguments. It has no state; every call evaluates the
reports anew.

A health report is evidence with an age, never a command. A server is an outlier by gossip if at least ``MIN_WITNESSES``
gateways report that it is unhealthy, and more do so than report it healthy. First-hand findings take precedence: a
server that this gateway finds healthy is never an outlier by gossip, and one that it ejected itself needs no report.
Reports that such a server is healthy never readmit it; they bring its trial forward.

Bounds:

- In each group at most half of the servers that would otherwise be used are outliers by gossip, so never the last one.
  The decision module sends writes to a primary whatever is reported, and still sends reads if all are outliers.
- The state ends with the age of the reports, at times spread over ``READMISSION_SPREAD`` between gateways, so that
  they do not all return to the server at once.
- A gateway that has the key and sends false reports can keep reads off at most half of a group, until
  ``MAX_REPORT_AGE`` after it stops.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from yardbank.cluster.peers.report_store import FAULTY_KINDS, MAX_REPORT_AGE, WELL, FirstHand, ReportStore, StoredReport

MIN_WITNESSES = 2  # gateways that must report a server, so that no single one can eject it
MAX_EJECTED_SHARE = 0.5  # of a group's usable servers
READMISSION_SPREAD = MAX_REPORT_AGE // 4  # ns over which gateways readmit the same server
_NO_FINDING = (0, 0)


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One server of this gateway's list. ``started``: its start in the list, ms since 1970."""

    name: str
    group: str
    started: int


@dataclass(slots=True, frozen=True)
class OutlierConsensus:
    """The result for the decision module.

    ``outliers``: by server, until when (ns) it is one. ``healthy``: servers that this gateway ejected itself and that
    others report as healthy.
    """

    outliers: Mapping[str, int]
    healthy: frozenset[str]


@dataclass(slots=True, frozen=True)
class _Candidate:
    """A server with enough reports against it; whether it is ejected depends on the rest of its group."""

    server: str
    against: int
    in_favour: int
    until: int

    def rank(self) -> tuple[int, str]:
        """Sort key: the clearest majority first, then by name."""
        return self.in_favour - self.against, self.server


def reach_consensus(
    now: int,
    reports: ReportStore,
    servers: Iterable[ListedServer],
    first_hand: FirstHand,
    draw: Callable[[str], float],
) -> OutlierConsensus:
    """Evaluate the stored reports on the listed servers as of now.

    ``first_hand``: this gateway's own findings by server. ``draw``: a number from 0 to 1 for each server, always the
    same at this gateway.
    """
    groups: dict[str, list[ListedServer]] = {}
    for server in servers:
        groups.setdefault(server.group, []).append(server)
    outliers: dict[str, int] = {}
    healthy: set[str] = set()
    for members in groups.values():
        candidates = []
        usable = 0
        for server in members:
            kind, _ = first_hand.get(server.name, _NO_FINDING)
            ejected_here = kind in FAULTY_KINDS
            if not ejected_here:
                usable += 1
            about = reports.reports_on_start(now, server.name, server.started)
            if ejected_here:
                if _is_reported_healthy(about):
                    healthy.add(server.name)
                continue
            if kind == WELL:
                continue
            candidate = _candidate(server.name, about, draw)
            if candidate is not None:
                candidates.append(candidate)
        candidates.sort(key=_Candidate.rank)
        for candidate in candidates[: int(usable * MAX_EJECTED_SHARE)]:
            outliers[candidate.server] = candidate.until
    return OutlierConsensus(outliers, frozenset(healthy))


def _adverse_reports(reports: Mapping[str, StoredReport]) -> list[StoredReport]:
    return [stored for stored in reports.values() if stored.report.kind in FAULTY_KINDS]


def _count_favourable(reports: Mapping[str, StoredReport]) -> int:
    return sum(stored.report.kind == WELL for stored in reports.values())


def _is_reported_healthy(reports: Mapping[str, StoredReport]) -> bool:
    """Whether enough witnesses report the server healthy, and more than report it unhealthy."""
    favourable = _count_favourable(reports)
    return favourable >= MIN_WITNESSES and favourable > len(_adverse_reports(reports))


def _candidate(server: str, reports: Mapping[str, StoredReport], draw: Callable[[str], float]) -> _Candidate | None:
    """The server as a candidate for ejection; None: too few report it, or as many report it healthy."""
    against = _adverse_reports(reports)
    favourable = _count_favourable(reports)
    if len(against) < MIN_WITNESSES or len(against) <= favourable:
        return None
    ends: Sequence[int] = sorted((stored.observed_at + MAX_REPORT_AGE for stored in against), reverse=True)
    last_with_enough_witnesses = ends[MIN_WITNESSES - 1]
    return _Candidate(
        server, len(against), favourable, last_with_enough_witnesses + int(READMISSION_SPREAD * draw(server))
    )
