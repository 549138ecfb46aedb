"""Writes the server list that publishing gateways read, as the steps of a scenario change it."""

from __future__ import annotations

from collections.abc import Mapping

from yardbank.testing.rig.gateway_folder import GatewayFolder, source_text
from yardbank.testing.rig.scenario import Scenario, matching


class PublishedList:
    """The operator's source file at each gateway that may publish the list."""

    def __init__(self, scenario: Scenario, places: Mapping[str, GatewayFolder]) -> None:
        self._groups = {name: group.name for name, group in scenario.servers().items()}
        self._places = [places[name] for name in matching(scenario.fleet.publishers, list(places))]
        self._changes: dict[str, int] = {}  # by server: number of changes of its entry
        self._write()

    def change(self, patterns: tuple[str, ...]) -> None:
        """Changes the entries of matching servers."""
        for server in matching(patterns, list(self._groups)):
            self._changes[server] = self._changes.get(server, 0) + 1
        self._write()

    def _write(self) -> None:
        text = source_text(self._groups, self._changes)
        for place in self._places:
            place.publish(text)
