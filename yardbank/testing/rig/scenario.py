"""The schema of a scenario file in HCL: fleet, load, fault steps and claims. Validated like the settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field

from yardbank.config.base import Model
from yardbank.config.checked import ConfigError, Shape, check_text, read_text
from yardbank.testing.rig.blocks import Clock, Fleet, Group, Load, Program
from yardbank.testing.rig.claim import Claim
from yardbank.testing.rig.cross_checks import cross
from yardbank.testing.rig.steps import GATEWAY, NETWORK, ROLLOUT, Step, matching

CLIENTS = "clients"  # all clients together are one endpoint of the network
MAX_STAGES = 10


class Scenario(Model):
    """The content of a scenario file."""

    title: Annotated[str, Field(min_length=1)]
    seed: Annotated[int, Field(ge=0, strict=True)] = 1
    fleet: Fleet = Fleet()
    program: tuple[Program, ...] = ()
    group: tuple[Group, ...] = Field(min_length=1)
    load: Load = Load()
    clock: tuple[Clock, ...] = ()
    step: tuple[Step, ...] = ()
    claim: tuple[Claim, ...] = Field(min_length=1)

    def gateways(self) -> list[str]:
        """The names of all gateways."""
        return [f"g{number}" for number in range(1, self.fleet.gateways + 1)]

    def servers(self) -> dict[str, Group]:
        """The group of each server, by server name."""
        return {name: group for group in self.group for name in group.members()}

    def ends(self) -> list[str]:
        """The names of all network endpoints."""
        return [CLIENTS, *self.gateways(), *self.servers()]

    def zones(self) -> dict[str, str]:
        """The zone of each gateway and each server."""
        zones = self.fleet.zones or ("",)
        rows = [self.gateways(), *(group.members() for group in self.group)]
        return {name: zones[index % len(zones)] for row in rows for index, name in enumerate(row)}

    def program_of(self, gateway: str) -> Program | None:
        """The other program that a gateway runs, or None if it runs this one."""
        return next((one for one in self.program if matching(one.who, [gateway])), None)

    def older(self) -> set[str]:
        """Gateways that run an older program, without gossip messages."""
        return {name for name in self.gateways() if (one := self.program_of(name)) and one.name == "landed"}

    def channels(self) -> list[str]:
        """The names of the channels that programs publish to."""
        return sorted({name for one in self.program for name in one.carried()})

    def matching_ends(self, patterns: tuple[str, ...], names: list[str]) -> list[str]:
        """The names that match any pattern: a name, a glob with ``*`` and ``?``, or ``zone:NAME``."""
        there = {pattern[5:] for pattern in patterns if pattern.startswith("zone:")}
        zones, found = self.zones(), set(matching(patterns, names))
        return [name for name in names if name in found or zones.get(name) in there]

    def events(self) -> set[str]:
        """The events that ``after`` and ``until`` may name, besides steps."""
        found = {f"elected:{group.name}" for group in self.group}
        found |= {f"owned:{name}" for name in self.channels()} | {f"ready:{name}" for name in self.gateways()}
        if self.fleet.publishers:
            found.add("publisher")
        if self.fleet.rollout:
            found |= {f"stage:{number}" for number in range(1, MAX_STAGES + 1)} | {"went_over", "stopped"}
        return found

    def dynamic_names(self) -> set[str]:
        """Names that are resolved to gateways during the run, such as a channel's owner."""
        found = {f"owner:{name}" for name in self.channels()}
        return (
            found | ({"moved"} if self.fleet.rollout else set()) | ({"publisher"} if self.fleet.publishers else set())
        )


LABELS = {"program": "name", "clock": "gateway", "group": "name", "step": "name", "claim": "name"}
SHAPE = Shape(Scenario, LABELS, ("fleet", "load"), cross)


def load_scenario(path: Path) -> Scenario:
    """Reads and validates a file. Raises ``ConfigError`` with file and line of each fault."""
    return check_text(read_text(path), str(path), SHAPE)


def shipped() -> dict[str, Path]:
    """The paths of the bundled scenarios, by name."""
    return {path.stem: path for path in sorted((Path(__file__).parent / "scenarios").glob("*.hcl"))}


__all__ = [
    "CLIENTS",
    "GATEWAY",
    "NETWORK",
    "ROLLOUT",
    "Claim",
    "ConfigError",
    "Fleet",
    "Group",
    "Load",
    "Program",
    "Scenario",
    "Step",
    "load_scenario",
    "matching",
    "shipped",
]
