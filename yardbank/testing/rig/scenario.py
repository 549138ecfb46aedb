"""A scenario as HCL: the fleet, its load, what goes wrong in order, and what must hold. Checked like the settings."""

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

CLIENTS = "clients"  # all clients are one end of the network
MAX_STAGES = 10


class Scenario(Model):
    """A whole file."""

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
        """Names of the gateways."""
        return [f"g{number}" for number in range(1, self.fleet.gateways + 1)]

    def servers(self) -> dict[str, Group]:
        """Groups by name of server."""
        return {name: group for group in self.group for name in group.members()}

    def ends(self) -> list[str]:
        """Every end of the network."""
        return [CLIENTS, *self.gateways(), *self.servers()]

    def zones(self) -> dict[str, str]:
        """The zone of each gateway and each server."""
        zones = self.fleet.zones or ("",)
        rows = [self.gateways(), *(group.members() for group in self.group)]
        return {name: zones[index % len(zones)] for row in rows for index, name in enumerate(row)}

    def program_of(self, gateway: str) -> Program | None:
        """What it runs; None: this program."""
        return next((one for one in self.program if matching(one.who, [gateway])), None)

    def older(self) -> set[str]:
        """Gateways that run a program from before gossip messages."""
        return {name for name in self.gateways() if (one := self.program_of(name)) and one.name == "landed"}

    def channels(self) -> list[str]:
        """Names of the channels that programs carry."""
        return sorted({name for one in self.program for name in one.carried()})

    def meant(self, patterns: tuple[str, ...], names: list[str]) -> list[str]:
        """Of these names those that any of the patterns stands for: a name, one with ``*`` and ``?``, ``zone:NAME``."""
        there = {pattern[5:] for pattern in patterns if pattern.startswith("zone:")}
        zones, found = self.zones(), set(matching(patterns, names))
        return [name for name in names if name in found or zones.get(name) in there]

    def events(self) -> set[str]:
        """What ``after`` and ``until`` may name beside steps."""
        found = {f"elected:{group.name}" for group in self.group}
        found |= {f"owned:{name}" for name in self.channels()} | {f"ready:{name}" for name in self.gateways()}
        if self.fleet.publishers:
            found.add("publisher")
        if self.fleet.rollout:
            found |= {f"stage:{number}" for number in range(1, MAX_STAGES + 1)} | {"went_over", "stopped"}
        return found

    def words(self) -> set[str]:
        """Words for gateways that are known only as the play goes: a channel's owner, those that went over."""
        found = {f"owner:{name}" for name in self.channels()}
        return (
            found | ({"moved"} if self.fleet.rollout else set()) | ({"publisher"} if self.fleet.publishers else set())
        )


LABELS = {"program": "name", "clock": "gateway", "group": "name", "step": "name", "claim": "name"}
SHAPE = Shape(Scenario, LABELS, ("fleet", "load"), cross)


def load_scenario(path: Path) -> Scenario:
    """Read and check a file. Raises ``ConfigError``, whose faults name file and line."""
    return check_text(read_text(path), str(path), SHAPE)


def shipped() -> dict[str, Path]:
    """Scenarios that come with the program, by name."""
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
