"""The list that a scenario's gateways may publish, as its steps change it: written where each publisher reads it."""

from __future__ import annotations

from collections.abc import Mapping

from yardbank.testing.rig.gateway_folder import GatewayPlace, source_text
from yardbank.testing.rig.scenario import Scenario, matching


class PublishedList:
    """The operator's source at every gateway that may publish it."""

    def __init__(self, scenario: Scenario, places: Mapping[str, GatewayPlace]) -> None:
        self._groups = {name: group.name for name, group in scenario.servers().items()}
        self._places = [places[name] for name in matching(scenario.fleet.publishers, list(places))]
        self._changes: dict[str, int] = {}  # by server: how often its entry was changed
        self._write()

    def change(self, patterns: tuple[str, ...]) -> None:
        """The entries of these servers become others."""
        for server in matching(patterns, list(self._groups)):
            self._changes[server] = self._changes.get(server, 0) + 1
        self._write()

    def _write(self) -> None:
        text = source_text(self._groups, self._changes)
        for place in self._places:
            place.publish(text)
