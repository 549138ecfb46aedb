"""A scenario's folder: what each gateway is started with, the lists it is told, and what became of its store."""

from __future__ import annotations

import json
import shutil
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import lmdb

from yardbank.files import write_atomically
from yardbank.testing.rig.changes import asking, changed, file_name, word
from yardbank.testing.rig.load import DEADLINE, STALENESS
from yardbank.testing.rig.load_driver import DESK_DN, DESK_PASSWORD
from yardbank.testing.rig.scenario import Fleet, Scenario, Step, matching

GATEWAY_DN, GATEWAY_PASSWORD = "cn=gateway,dc=porting", "gateway"
_COLD_S, _COLD_SHARE = 4.0, 0.3  # as the stand-ins warm up

_CLASSES = f"""
class "lookup" {{
  effect = "safe"
  read = "bounded"
  staleness = "{STALENESS * 1e3:.0f}ms"
  aim = "500ms"
  deadline = "{DEADLINE["lookup"] * 1e3:.0f}ms"
  worth = 2
  match {{
    operation = ["search", "compare"]
    scope = ["base"]
  }}
}}

class "status" {{
  effect = "safe"
  read = "session"
  aim = "750ms"
  deadline = "{DEADLINE["status"] * 1e3:.0f}ms"
  late_worth = 0.2
  match {{
    operation = ["search", "compare"]
    scope = ["one"]
  }}
}}

class "commit" {{
  effect = "unsafe"
  read = "write"
  aim = "500ms"
  deadline = "{DEADLINE["commit"] * 1e3:.0f}ms"
  worth = 3
  late_worth = 0.7
  match {{
    operation = ["add", "modify", "modifydn", "delete"]
  }}
}}
"""


_PEERS = """peers {
  name = "%s"
  fleet = "rig"
  port = 0
  list = "peers.hcl"
  key = "peers.key"
  period = "%.0fms"
  timeout = "%.0fms"
}"""


@dataclass(slots=True)
class Listed:
    """What a list says of one server."""

    group: str
    zone: str
    state: str = "ready"
    primary: bool = False
    started: float = 0.0  # wall clock; 0: long ago


def _together(fleet: Fleet) -> list[str]:
    """Blocks of what rides on the link between gateways."""
    lease = f'leases {{\n  term = "{fleet.term / 1e6:.0f}ms"\n  overlap = "{fleet.overlap / 1e6:.0f}ms"\n}}'
    return [
        *([lease] if fleet.channels or fleet.rollout or fleet.publishers else []),
        *(["channels {\n  positions = true\n}"] if fleet.channels else []),
        *(['rollout {\n  file = "rollout.hcl"\n  young = "20s"\n  beat = "1s"\n}'] if fleet.rollout else []),
        *(['atlas {\n  life = "20s"\n  taken_up = "4s"\n}'] if fleet.atlas else []),
    ]


def _distribution(scenario: Scenario, gateway: str) -> list[str]:
    """The block of one that holds a copy of the published list, and may be one that publishes it."""
    publishers = matching(scenario.fleet.publishers, scenario.gateways())
    if not publishers:
        return []
    source = '\n  source = "source.hcl"' if gateway in publishers else ""
    return [f'distribution {{\n  file = "distributed.hcl"{source}\n}}']


def settings_text(scenario: Scenario, gateway: str, seed: int) -> str:
    """One gateway's settings. An older program's have no blocks that it does not know."""
    index = scenario.gateways().index(gateway)
    zone, period = scenario.zones()[gateway], scenario.fleet.period / 1e6
    parts = [
        'listener "ldap" {\n  port = 0\n}',
        f'gateway {{\n  zone = "{zone}"\n  gateways = {scenario.fleet.gateways}\n'
        f'  index = {index}\n  seed = {seed * 1000 + index}\n  cold = "{_COLD_S}s"\n  cold_share = {_COLD_SHARE}\n}}',
        f'backend "ldap" {{\n  bind_dn = "{GATEWAY_DN}"\n  bind_password = "{GATEWAY_PASSWORD}"\n'
        '  role_attribute = "replicationRole"\n}',
        f'identity "{DESK_DN}" {{\n  password = "{DESK_PASSWORD}"\n}}',
        'logging {\n  level = "info"\n  format = "json"\n}',
        f'limits {{\n  stop_grace = "{scenario.fleet.stop_grace / 1e6:.0f}ms"\n}}',
        'membership {\n  path = "list.hcl"\n  patience = "50ms"\n  settle = "5ms"\n}',
        *([_PEERS % (gateway, period, period / 4)] if scenario.fleet.peers else []),
        *(_together(scenario.fleet) if gateway not in scenario.older() else []),
        *_distribution(scenario, gateway),
        *(['state {\n  path = "state"\n}'] if scenario.fleet.durable else []),
        *(f'group "{group.name}" {{\n  suffix = "{group.suffix}"\n}}' for group in scenario.group),
        _CLASSES,
    ]
    return "\n\n".join(parts) + "\n"


def peers_text(ports: Mapping[str, int], zones: Mapping[str, str] | None = None) -> str:
    """The list of gateways as one of them is told it: the others are where its relays to them are."""
    blocks = [f"count = {len(ports)}"]
    zoned = {name: f'\n  zone = "{zone}"' for name, zone in (zones or {}).items()}
    blocks += [
        f'peer "{name}" {{\n  address = "127.0.0.1"\n  port = {port}{zoned.get(name, "")}\n}}'
        for name, port in ports.items()
    ]
    return "\n\n".join(blocks) + "\n"


def source_text(servers: Mapping[str, str], changes: Mapping[str, int]) -> str:
    """The list to be published: servers and their groups; one that was changed n times has a weight that says so."""
    blocks = [f"count = {len(servers)}"]
    blocks += [
        f'server "{name}" {{\n  group = "{group}"\n  address = "127.0.0.1"\n  port = {port}\n'
        f"  weight = {1 + changes.get(name, 0) / 1000:.3f}\n}}"
        for port, (name, group) in enumerate(servers.items(), 1024)
    ]
    return "\n\n".join(blocks) + "\n"


def list_text(listed: Mapping[str, Listed], ports: Mapping[str, int]) -> str:
    """The list as one gateway is told it: servers are where its own relays are."""
    there = {name: one for name, one in listed.items() if one.state != "gone"}
    blocks = [f"count = {len(there)}"]
    blocks += [
        f'server "{name}" {{\n  group = "{one.group}"\n  zone = "{one.zone}"\n  address = "127.0.0.1"\n'
        f"  port = {ports[name]}\n  primary = {'true' if one.primary else 'false'}\n"
        f'  state = "{one.state}"\n  started = {one.started:.3f}\n}}'
        for name, one in there.items()
    ]
    return "\n\n".join(blocks) + "\n"


class GatewayPlace:
    """One gateway's folder."""

    def __init__(self, folder: Path, scenario: Scenario, name: str, seed: int) -> None:
        self.folder, self.name = folder / name, name
        self.folder.mkdir(parents=True)
        self.settings = self.folder / "gateway.hcl"
        self.list = self.folder / "list.hcl"
        self.peers = self.folder / "peers.hcl"
        self.view = self.folder / "peers-view.json"
        self.log = self.folder / "log"
        self._store, self._kept = self.folder / "state", self.folder / "state-as-it-was"
        self._source, self._copy = self.folder / "source.hcl", self.folder / "distributed.hcl"
        write_atomically(self.folder / "peers.key", f"{seed:064x}\n")
        self.in_force = self.folder / "rollout-in-force.json"
        self._text = settings_text(scenario, name, seed)
        write_atomically(self.settings, self._text)

    def ask(self, step: Step) -> None:
        """A rollout is asked for, or an operator has his word on it."""
        if step.do == "rollout":
            write_atomically(self.folder / file_name(step), changed(self._text, step.change))
            write_atomically(self.folder / "rollout.hcl", asking(step))
        else:
            write_atomically(self.folder / "rollout.hcl.word", word(step))

    def publish(self, text: str) -> None:
        """The list that this gateway is to publish, where it may."""
        write_atomically(self._source, text)

    def start_with(self, program: str) -> None:
        """The supervisor's worker is another program than the supervisor's own."""
        version = {"program": program}
        write_atomically(self.in_force, json.dumps({"now": version, "before": version}) + "\n")

    def keep_copy(self) -> None:
        """Copy the store as it is now, while its owner runs: what a backup would hold."""
        shutil.rmtree(self._kept, ignore_errors=True)
        for data in self._databases():
            copy = self._kept / data.parent.relative_to(self._store)
            copy.mkdir(parents=True)
            with lmdb.open(str(data.parent), readonly=True) as env:
                env.copy(str(copy))

    def _databases(self) -> list[Path]:
        """Each worker has one of its own."""
        return sorted(self._store.rglob("data.mdb"))

    def spoil_store(self, how: str) -> None:
        """Before a start: "kept", "lost", "damaged" or "old" (put back from the copy)."""
        if how == "damaged":
            for data in self._databases():
                data.write_bytes(b"\xa5" * data.stat().st_size)
            if self._copy.exists():
                self._copy.write_bytes(self._copy.read_bytes()[:-3])
        elif how == "lost":
            shutil.rmtree(self._store, ignore_errors=True)
            self._copy.unlink(missing_ok=True)
        elif how == "old":  # the database alone: that somebody ran here before, a restored folder tells as well
            for data in self._kept.rglob("data.mdb"):
                shutil.copy(data, self._store / data.relative_to(self._kept))
