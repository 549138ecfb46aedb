"""The files of a scenario's gateways: settings, lists and store."""

from __future__ import annotations

import json
import shutil
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import lmdb

from yardbank.files import write_atomically
from yardbank.testing.rig.changes import changed_settings, operator_order, rollout_request, settings_file_name
from yardbank.testing.rig.load import DEADLINES_S, STALENESS_S
from yardbank.testing.rig.load_driver import DESK_DN, DESK_PASSWORD
from yardbank.testing.rig.scenario import Fleet, Scenario, Step, matching

GATEWAY_DN, GATEWAY_PASSWORD = "cn=gateway,dc=porting", "gateway"
_COLD_S, _COLD_SHARE = 4.0, 0.3  # as the stand-in servers warm up

_CLASSES = f"""
class "lookup" {{
  effect = "safe"
  read = "bounded"
  staleness = "{STALENESS_S * 1e3:.0f}ms"
  aim = "500ms"
  deadline = "{DEADLINES_S["lookup"] * 1e3:.0f}ms"
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
  deadline = "{DEADLINES_S["status"] * 1e3:.0f}ms"
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
  deadline = "{DEADLINES_S["commit"] * 1e3:.0f}ms"
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
class ListEntry:
    """One server's entry in a list."""

    group: str
    zone: str
    state: str = "ready"
    primary: bool = False
    started: float = 0.0  # wall clock time; 0: long ago


def _gossip_feature_blocks(fleet: Fleet) -> list[str]:
    """The settings blocks of features that use gossip messages."""
    lease = f'leases {{\n  term = "{fleet.term / 1e6:.0f}ms"\n  overlap = "{fleet.overlap / 1e6:.0f}ms"\n}}'
    return [
        *([lease] if fleet.channels or fleet.rollout or fleet.publishers else []),
        *(["channels {\n  positions = true\n}"] if fleet.channels else []),
        *(['rollout {\n  file = "rollout.hcl"\n  young = "20s"\n  beat = "1s"\n}'] if fleet.rollout else []),
        *(['atlas {\n  life = "20s"\n  taken_up = "4s"\n}'] if fleet.atlas else []),
    ]


def _distribution(scenario: Scenario, gateway: str) -> list[str]:
    """The settings block for holding, and possibly publishing, the distributed list."""
    publishers = matching(scenario.fleet.publishers, scenario.gateways())
    if not publishers:
        return []
    source = '\n  source = "source.hcl"' if gateway in publishers else ""
    return [f'distribution {{\n  file = "distributed.hcl"{source}\n}}']


def settings_text(scenario: Scenario, gateway: str, seed: int) -> str:
    """One gateway's settings, without blocks that an older program does not know."""
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
        *(_gossip_feature_blocks(scenario.fleet) if gateway not in scenario.older() else []),
        *_distribution(scenario, gateway),
        *(['state {\n  path = "state"\n}'] if scenario.fleet.durable else []),
        *(f'group "{group.name}" {{\n  suffix = "{group.suffix}"\n}}' for group in scenario.group),
        _CLASSES,
    ]
    return "\n\n".join(parts) + "\n"


def peers_text(ports: Mapping[str, int], zones: Mapping[str, str] | None = None) -> str:
    """A gateway's peer list, with the ports of its relays to the peers."""
    blocks = [f"count = {len(ports)}"]
    zoned = {name: f'\n  zone = "{zone}"' for name, zone in (zones or {}).items()}
    blocks += [
        f'peer "{name}" {{\n  address = "127.0.0.1"\n  port = {port}{zoned.get(name, "")}\n}}'
        for name, port in ports.items()
    ]
    return "\n\n".join(blocks) + "\n"


def source_text(servers: Mapping[str, str], changes: Mapping[str, int]) -> str:
    """The list to publish. A server's weight encodes how many times its entry was changed."""
    blocks = [f"count = {len(servers)}"]
    blocks += [
        f'server "{name}" {{\n  group = "{group}"\n  address = "127.0.0.1"\n  port = {port}\n'
        f"  weight = {1 + changes.get(name, 0) / 1000:.3f}\n}}"
        for port, (name, group) in enumerate(servers.items(), 1024)
    ]
    return "\n\n".join(blocks) + "\n"


def list_text(listed: Mapping[str, ListEntry], ports: Mapping[str, int]) -> str:
    """A gateway's server list, with the ports of its relays to the servers."""
    present = {name: one for name, one in listed.items() if one.state != "gone"}
    blocks = [f"count = {len(present)}"]
    blocks += [
        f'server "{name}" {{\n  group = "{one.group}"\n  zone = "{one.zone}"\n  address = "127.0.0.1"\n'
        f"  port = {ports[name]}\n  primary = {'true' if one.primary else 'false'}\n"
        f'  state = "{one.state}"\n  started = {one.started:.3f}\n}}'
        for name, one in present.items()
    ]
    return "\n\n".join(blocks) + "\n"


class GatewayFolder:
    """The folder of one gateway."""

    def __init__(self, folder: Path, scenario: Scenario, name: str, seed: int) -> None:
        self.folder, self.name = folder / name, name
        self.folder.mkdir(parents=True)
        self.settings = self.folder / "gateway.hcl"
        self.list = self.folder / "list.hcl"
        self.peers = self.folder / "peers.hcl"
        self.view = self.folder / "peers-view.json"
        self.log = self.folder / "log"
        self._store, self._store_copy = self.folder / "state", self.folder / "state-as-it-was"
        self._source, self._copy = self.folder / "source.hcl", self.folder / "distributed.hcl"
        write_atomically(self.folder / "peers.key", f"{seed:064x}\n")
        self.in_force = self.folder / "rollout-in-force.json"
        self._settings_text = settings_text(scenario, name, seed)
        write_atomically(self.settings, self._settings_text)

    def write_rollout_order(self, step: Step) -> None:
        """Writes the request for a rollout, or the operator's order to stop or withdraw it."""
        if step.do == "rollout":
            write_atomically(self.folder / settings_file_name(step), changed_settings(self._settings_text, step.change))
            write_atomically(self.folder / "rollout.hcl", rollout_request(step))
        else:
            write_atomically(self.folder / "rollout.hcl.word", operator_order(step))

    def publish(self, text: str) -> None:
        """Writes the source of the list that this gateway may publish."""
        write_atomically(self._source, text)

    def start_with(self, program: str) -> None:
        """Makes the supervisor start another program as its worker."""
        version = {"program": program}
        write_atomically(self.in_force, json.dumps({"now": version, "before": version}) + "\n")

    def copy_store(self) -> None:
        """Copies the store while the gateway runs, like a backup."""
        shutil.rmtree(self._store_copy, ignore_errors=True)
        for data in self._databases():
            copy = self._store_copy / data.parent.relative_to(self._store)
            copy.mkdir(parents=True)
            with lmdb.open(str(data.parent), readonly=True) as env:
                env.copy(str(copy))

    def _databases(self) -> list[Path]:
        """The database files; each worker has its own."""
        return sorted(self._store.rglob("data.mdb"))

    def prepare_store(self, how: str) -> None:
        """Prepares the store for a restart: "kept", "lost", "damaged" or "old" (restored from the copy)."""
        if how == "damaged":
            for data in self._databases():
                data.write_bytes(b"\xa5" * data.stat().st_size)
            if self._copy.exists():
                self._copy.write_bytes(self._copy.read_bytes()[:-3])
        elif how == "lost":
            shutil.rmtree(self._store, ignore_errors=True)
            self._copy.unlink(missing_ok=True)
        elif how == "old":  # only the database: a restored folder also shows that a gateway ran here before
            for data in self._store_copy.rglob("data.mdb"):
                shutil.copy(data, self._store / data.relative_to(self._store_copy))
