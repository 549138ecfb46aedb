"""What one gateway reports to others about itself, and how the consensus on others' reports reaches it. No I/O.

Findings are first-hand: what the decision module concluded from this gateway's own attempts and probes. What others
reported is stored apart there (``ServerTable.gossiped_outliers``) and never goes out again as a first-hand finding.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from yardbank import interface as api
from yardbank.cluster.peers.outlier_consensus import ListedServer, OutlierConsensus
from yardbank.cluster.peers.report_store import FAILING, FULL, SECOND, SILENT, WELL
from yardbank.gateway.api import ServerSpec
from yardbank.policy import Router

FRESH = 3 * SECOND  # an answer this recent says that a server does well


class Sharing:
    """One gateway's side of it. All the mappings are the gateway's own, read as they are at each call."""

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
        """Counts by name: requests out and connections held by server, requests refused by class and manner."""
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
        """The servers that may be sent to."""
        return [
            ListedServer(name, spec.group, round(spec.started * 1000))
            for name, spec in self._specs.items()
            if spec.state == "ready"
        ]

    def first_hand(self, now: int) -> dict[str, tuple[int, int]]:
        """What this gateway has found of servers itself, lately: a kind, and the start that it is true of."""
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
            elif server.last_answered_sent_at and now - server.answered_at < FRESH:
                kind = WELL
            else:
                continue
            found[name] = kind, round(spec.started * 1000)
        return found

    def apply_consensus(self, consensus: OutlierConsensus) -> None:
        """Hand the decision module the servers that other gateways agree on; replaces what it was handed before."""
        numbers = self._numbers
        outliers = tuple((numbers[name], until) for name, until in consensus.outliers.items() if name in numbers)
        healthy = tuple(numbers[name] for name in sorted(consensus.healthy) if name in numbers)
        self._handle(api.GossipedOutliers(outliers, healthy))
