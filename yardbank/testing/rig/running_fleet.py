"""Runs the processes of a scenario and the network between them: starts them, writes lists, reads log lines.

I/O only: ``roster`` has the states of processes, ``network`` the network faults, ``gateway_folder`` the settings.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from yardbank.files import write_atomically
from yardbank.testing.rig.gateway_folder import (
    GATEWAY_DN,
    GATEWAY_PASSWORD,
    GatewayFolder,
    ListEntry,
    list_text,
    peers_text,
)
from yardbank.testing.rig.load_driver import LoadDriver
from yardbank.testing.rig.network import Effect, Network, Pair, zone_round_trips
from yardbank.testing.rig.observations import Observations, fact_from_log
from yardbank.testing.rig.processes import Processes, program_command
from yardbank.testing.rig.published import PublishedList
from yardbank.testing.rig.record import Recorder
from yardbank.testing.rig.relay import DatagramRelay, StreamRelay
from yardbank.testing.rig.roster import READY
from yardbank.testing.rig.scenario import CLIENTS, Scenario
from yardbank.testing.rig.schedule import DueAction, Schedule
from yardbank.testing.rig.taps import AttemptTap, DepartureTap, Tap
from yardbank.testing.standin.process import GroupSpec

Command = Callable[[str, list[str]], list[str]]  # gateway name and default command -> command to use


class RunningFleet:
    """The processes of a scenario, with their files in one folder."""

    def __init__(
        self,
        reactor: Any,
        scenario: Scenario,
        folder: Path,
        *,
        seed: int | None = None,
        say: Callable[[str], None] = lambda text: None,
        command: Command = lambda name, command: command,
    ) -> None:
        """``command`` may replace the command of a gateway, for example to seed a fault."""
        self.reactor, self.scenario, self.folder, self.say = reactor, scenario, folder, say
        self.seed = scenario.seed if seed is None else seed
        self.record = Recorder(folder / "record.jsonl")
        self.network, self.observations = Network(), Observations()
        self.schedule = Schedule(scenario.step)
        self.processes = Processes(reactor, self.record, self._port_of)
        self.processes.on_line = self._line
        self.processes.on_lost = self._guardian_lost
        self.drive: LoadDriver | None = None
        self._command = command
        self._process_table = self.processes.process_table
        self._server_ports: dict[str, int] = {}
        self._relays: dict[Pair, StreamRelay] = {}
        self._datagrams: list[DatagramRelay] = []
        self._peer_ports: dict[str, int] = {}
        self._reported_views: dict[str, dict[str, str]] = {}  # by gateway: the state of each peer that it last reported
        self._views_settled: Deferred[None] | None = None
        self._resolved_targets: dict[str, list[str]] = {}  # by step: the gateways it applied to when it began
        self._written_states: dict[str, dict[str, str]] = {}  # by gateway: server states in its list file
        self._held_lists: dict[str, int] = {}  # by gateway: number of steps that hold back its list
        self._timer: Any = None
        self._load_began = 0.0
        self._closing = False
        self._restarts: list[Deferred[Any]] = []
        self.failure: str = ""
        zones = scenario.zones()
        self.listed = {
            name: {
                server: ListEntry(group.name, zones[server], primary=server == group.members()[0])
                for server, group in scenario.servers().items()
            }
            for name in scenario.gateways()
        }
        self.places = {name: GatewayFolder(folder, scenario, name, self.seed) for name in scenario.gateways()}
        self.published = PublishedList(scenario, self.places)

    def _run_actions(self, actions: list[DueAction]) -> None:
        """Carries out due actions of the steps."""
        raise NotImplementedError

    def _guardian_lost(self) -> None:
        """Handles the loss of the guardian and all processes."""
        raise NotImplementedError

    def _check_views(self) -> None:
        """Called when a gateway reports another state of a peer."""

    # Processes

    def _port_of(self, name: str, line: dict[str, Any]) -> int | None:
        """The listening port if a line says that the process is ready (0: several ports), else None."""
        if line.get("event") == "listening":
            return int(line["port"])
        return 0 if line.get("event") == "group_ready" else None

    def _line(self, name: str, line: dict[str, Any]) -> None:
        """Processes a log line."""
        match line.get("event"):
            case "group_ready":
                self._server_ports.update(line["servers"])
            case "listening":
                self._refresh(lambda pair: name in pair)
                self._events_occurred([f"ready:{name}"])
            case "peers_listening":
                self._peers_listening(name, line)
            case "peer":
                self._peer_reported(name, line)
            case "stopping":
                self._stopping(name)
            case "elected":
                self._elected(line["group"], line["server"])
            case "started_anew":
                self._server_restarted(line["server"], line["started"])
            case _:
                self._record_log_fact(name, line)

    def _peers_listening(self, gateway: str, line: dict[str, Any]) -> None:
        self._peer_ports[gateway] = line["port"]
        self._reported_views[gateway] = {}
        self.record({"kind": "peer_start", "gateway": gateway, "life": line["life"]})

    def _peer_reported(self, gateway: str, line: dict[str, Any]) -> None:
        self._reported_views[gateway][line["peer"]] = line["state"]
        self.record({"kind": "peer", "gateway": gateway, "peer": line["peer"], "state": line["state"]})
        self._check_views()

    def _stopping(self, name: str) -> None:
        if self._process_table.member(name).state == READY:  # a restart by itself
            self.record({"kind": "process", "name": name, "what": "leaving"})

    def _elected(self, group: str, primary: str) -> None:
        for listed in self.listed.values():
            for server, one in listed.items():
                if one.group == group:
                    one.primary = server == primary
        self._write_all_lists()
        self._events_occurred([f"elected:{group}"])

    def _server_restarted(self, server: str, started: float) -> None:
        for listed in self.listed.values():
            listed[server].started = started
        self._write_all_lists()

    def _record_log_fact(self, name: str, line: dict[str, Any]) -> None:
        """Records a log line that is converted to a fact."""
        fact = fact_from_log(name, line)
        if fact is None:
            return
        self.record(fact)
        self._events_occurred(self.observations.process_log_fact(fact))

    def _events_occurred(self, events: Iterable[str]) -> None:
        """Passes events to the schedule once the load has begun."""
        if self._load_began:
            for event in events:
                self._run_actions(self.schedule.handle_event(self.reactor.seconds(), event))

    def _datagram_sent(self, source: str, target: str, data: bytes) -> None:
        """Processes a datagram that a gateway sent."""
        facts, events = self.observations.process_datagram(source, target, data)
        for fact in facts:
            self.record(fact)
        self._events_occurred(events)

    def _start_group(self, group: Any) -> Deferred[Any]:
        spec = GroupSpec(
            group.name,
            group.suffix,
            group.members(),
            (GATEWAY_DN, GATEWAY_PASSWORD),
            str(self.folder / f"{group.name}.jsonl"),
            entries=self.scenario.load.entries,
            slots=group.slots,
            read_s=group.read_time / 1e9,
            write_s=group.write_time / 1e9,
            ship=group.ship / 1e9,
            detect=group.detect / 1e9,
            elect=group.elect / 1e9,
            seed=self.seed,
        )
        command = [sys.executable, "-m", "yardbank.testing.standin.process", msgspec.json.encode(spec).decode()]
        return self.processes.start(group.name, command, self.folder / f"{group.name}.log")

    def _start_gateway(self, name: str) -> Deferred[Any]:
        place = self.places[name]
        self._write_list(name)
        program = self.scenario.program_of(name)
        kind, channels = (program.name, program.channels) if program is not None else ("", 0)
        supervised = self.scenario.fleet.rollout and kind != "landed"
        command, env = program_command("" if supervised else kind, place.settings, channels)
        if supervised:
            command.append("--supervised")
            if channels and not place.in_force.exists():  # the worker program, until a rollout changes it
                place.start_with(f"{sys.executable} -m yardbank.cli.embedded_gateway {channels}")
        for clock in self.scenario.clock:
            if clock.gateway == name:
                offset = clock.offset / 1e9 * (-1 if clock.behind else 1)
                command += [f"--clock-rate={clock.rate}", f"--clock-offset={offset}"]
        return self.processes.start(name, self._command(name, command), place.log, env, group=supervised)

    def _write_list(self, gateway: str) -> None:
        """Writes a gateway's current list, unless it is held back."""
        if self._held_lists.get(gateway) or self._closing:
            return
        listed = self.listed[gateway]
        ports = {server: self._relays[gateway, server].port for server in listed}
        write_atomically(self.places[gateway].list, list_text(listed, ports))
        before = self._written_states.setdefault(gateway, {})
        for server, one in listed.items():
            if one.state != before.get(server, "ready"):
                self.record({"kind": "told", "gateway": gateway, "server": server, "state": one.state})
            before[server] = one.state

    def _write_all_lists(self) -> None:
        for gateway in self.places:
            if (gateway, next(iter(self.listed[gateway]))) in self._relays:
                self._write_list(gateway)

    # The network

    def _create_relays(self) -> None:
        """Creates the relays of all pairs of endpoints that communicate, and the peer lists."""
        for gateway in self.places:
            pairs = [(CLIENTS, gateway), *((gateway, server) for server in self.scenario.servers())]
            for source, target in pairs:
                finder, tap = self._port_lookup(target), self._tap(source, target)
                relay = StreamRelay(self.reactor, self.network, source, target, finder, self.seed, tap)
                self._relays[source, target] = relay

        if self.scenario.fleet.peers:
            for source in self.places:
                ports = {}
                for target in self.places:
                    find = self._peer_port_lookup(target)
                    datagrams = DatagramRelay(
                        self.reactor, self.network, source, target, find, self.seed, self._datagram_sent
                    )
                    self._datagrams.append(datagrams)
                    ports[target] = datagrams.port
                write_atomically(self.places[source].peers, peers_text(ports, self._peer_zones()))

    def _tap(self, source: str, target: str) -> Callable[[int], Tap]:
        if source == CLIENTS:
            return lambda port: DepartureTap(self.record, target, port)
        return lambda port: AttemptTap(self.record, source, target)

    def _peer_zones(self) -> dict[str, str]:
        """Zones for the peer lists; empty if a gateway runs an older program, which does not know them."""
        fleet, zones = self.scenario.fleet, self.scenario.zones()
        parts = fleet.channels or fleet.rollout or fleet.atlas or bool(fleet.publishers)
        return {name: zones[name] for name in self.places} if parts and not self.scenario.older() else {}

    def _peer_port_lookup(self, target: str) -> Callable[[], int]:
        return lambda: self._peer_ports.get(target, 0)

    def _port_lookup(self, target: str) -> Callable[[], int]:
        if target in self.places:
            return lambda: self._process_table.member(target).port
        return lambda: self._server_ports.get(target, 0)

    def _refresh(self, which: Callable[[Pair], bool]) -> None:
        for pair, relay in self._relays.items():
            if which(pair):
                relay.refresh()

    def _links_changed(self, pairs: set[Pair]) -> None:
        for source, target in pairs:
            sound = self.network.effect(source, target) == Effect()
            self.record({"kind": "link", "from": source, "to": target, "sound": sound})
        self._refresh(lambda pair: pair in pairs or (pair[1], pair[0]) in pairs)
        if self.scenario.fleet.atlas:
            for source, target, ms in zone_round_trips(self.network, self.scenario.zones(), list(self.places)):
                self.record({"kind": "way", "from": source, "to": target, "ms": ms})
