"""What one gateway can tell others of itself, and how it takes in what is believed of their word. No I/O.

Findings are first-hand: what the module concluded from this gateway's own attempts and probes. What it was told by
others is kept apart there (``ServerTable.gossiped_outliers``) and never comes back out as its own.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from yardbank import interface as api
from yardbank.cluster.peers.outlier_consensus import Belief, Listed
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

    def listed(self) -> list[Listed]:
        """The servers that may be sent to."""
        return [
            Listed(name, spec.group, round(spec.started * 1000))
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

    def believe(self, belief: Belief) -> None:
        """Tell the module what is believed of others' word."""
        doubted = tuple((self._numbers[name], until) for name, until in belief.doubted.items() if name in self._numbers)
        well = tuple(self._numbers[name] for name in sorted(belief.well) if name in self._numbers)
        self._handle(api.GossipedOutliers(doubted, well))
