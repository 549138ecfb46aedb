"""Connects gossip to the decision module: this gateway's counters and findings out, the consensus in. No I/O.

Only first-hand findings are shared: what the decision module concluded from this gateway's own attempts and probes.
What others reported is kept separately there (``ServerTable.gossiped_outliers``) and is never sent as a first-hand
finding.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from yardbank import interface as api
from yardbank.cluster.peers.outlier_consensus import ListedServer, OutlierConsensus
from yardbank.cluster.peers.report_store import FAILING, FULL, SECOND, SILENT, WELL
from yardbank.gateway.api import ServerSpec
from yardbank.policy import Router

MAX_ANSWER_AGE = 3 * SECOND  # ns; a server that answered more recently is reported as healthy


class Sharing:
    """The gateway's side of gossip. The mappings are the gateway's own live ones, read at each call."""

    def __init__(
        self,
        router: Router,
        specs: Mapping[str, ServerSpec],
        numbers: Mapping[str, int],
        connections: Callable[[], Mapping[str, int]],
        refused: Mapping[str, int],
        handle: Callable[[api.Event], None],
    ) -> None:
        self._router, self._specs, self._numbers = router, specs, numbers
        self._connections, self._refused, self._handle = connections, refused, handle

    def figures(self) -> dict[str, int]:
        """Counters by name: requests in flight and open connections by server, refused requests by class and reason."""
        found: dict[str, int] = {}
        connections = self._connections()
        for name in self._specs:
            server = self._router.servers.get(self._numbers[name])
            if server is not None:
                found[f"out:{name}"] = len(server.in_flight)
                found[f"connections:{name}"] = connections.get(name, 0)
        for why, count in self._refused.items():
            found[f"refused:{why}"] = count
        return found

    def listed(self) -> list[ListedServer]:
        """The servers that may receive requests."""
        return [
            ListedServer(name, spec.group, round(spec.started * 1000))
            for name, spec in self._specs.items()
            if spec.state == "ready"
        ]

    def first_hand(self, now: int) -> dict[str, tuple[int, int]]:
        """This gateway's own recent findings by server: the kind, and the start of the server that it is about."""
        found: dict[str, tuple[int, int]] = {}
        for name, spec in self._specs.items():
            server = self._router.servers.get(self._numbers[name])
            if server is None:
                continue
            if server.silent:
                kind = SILENT
            elif server.ejected_until:
                kind = FAILING
            elif now < server.overload_until:
                kind = FULL
            elif server.last_answered_sent_at and now - server.answered_at < MAX_ANSWER_AGE:
                kind = WELL
            else:
                continue
            found[name] = kind, round(spec.started * 1000)
        return found

    def apply_consensus(self, consensus: OutlierConsensus) -> None:
        """Pass the consensus of the other gateways to the decision module; it replaces the previous one."""
        numbers = self._numbers
        outliers = tuple((numbers[name], until) for name, until in consensus.outliers.items() if name in numbers)
        healthy = tuple(numbers[name] for name in sorted(consensus.healthy) if name in numbers)
        self._handle(api.GossipedOutliers(outliers, healthy))
