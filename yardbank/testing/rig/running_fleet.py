"""The processes of a scenario and the network between them: started, told their lists, their lines taken up.

Thin: ``roster`` knows states of processes, ``wire`` what the network does, ``place`` what gateways are started with.
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
    GatewayPlace,
    Listed,
    list_text,
    peers_text,
)
from yardbank.testing.rig.load_driver import Drive
from yardbank.testing.rig.network import Effect, Network, Pair, ways
from yardbank.testing.rig.observations import Known, fact_of
from yardbank.testing.rig.processes import Processes, program_command
from yardbank.testing.rig.published import PublishedList
from yardbank.testing.rig.record import Recorder
from yardbank.testing.rig.relay import DatagramRelay, StreamRelay
from yardbank.testing.rig.roster import READY
from yardbank.testing.rig.scenario import CLIENTS, Scenario
from yardbank.testing.rig.schedule import Due, Schedule
from yardbank.testing.rig.taps import Attempts, Departures, Tap
from yardbank.testing.standin.process import GroupSpec

Command = Callable[[str, list[str]], list[str]]  # a gateway's name and command: the command to use


class Running:
    """A scenario's processes in one folder."""

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
        """``command``: for a gateway other than the program's own, such as one with a seeded fault."""
        self.reactor, self.scenario, self.folder, self.say = reactor, scenario, folder, say
        self.seed = scenario.seed if seed is None else seed
        self.record = Recorder(folder / "record.jsonl")
        self.network, self.known = Network(), Known()
        self.schedule = Schedule(scenario.step)
        self.processes = Processes(reactor, self.record, self._port_of)
        self.processes.on_line = self._line
        self.processes.on_lost = self._lost
        self.drive: Drive | None = None
        self._command = command
        self._roster = self.processes.roster
        self._server_ports: dict[str, int] = {}
        self._relays: dict[Pair, StreamRelay] = {}
        self._datagrams: list[DatagramRelay] = []
        self._peer_ports: dict[str, int] = {}
        self._believed: dict[str, dict[str, str]] = {}  # by gateway: what it last said of each other
        self._settled: Deferred[None] | None = None
        self._who: dict[str, list[str]] = {}  # by step: whom its words meant when it began
        self._written: dict[str, dict[str, str]] = {}  # by gateway: the states that its list holds
        self._held: dict[str, int] = {}  # gateways whose list is held back, by how many steps
        self._timer: Any = None
        self._began = 0.0
        self._over = False
        self._restarts: list[Deferred[Any]] = []
        self.failure: str = ""
        zones = scenario.zones()
        self.listed = {
            name: {
                server: Listed(group.name, zones[server], primary=server == group.members()[0])
                for server, group in scenario.servers().items()
            }
            for name in scenario.gateways()
        }
        self.places = {name: GatewayPlace(folder, scenario, name, self.seed) for name in scenario.gateways()}
        self.published = PublishedList(scenario, self.places)

    def _do(self, dues: list[Due]) -> None:
        """Carry out what is due of the steps."""
        raise NotImplementedError

    def _lost(self) -> None:
        """The guardian is gone, and all processes with it."""
        raise NotImplementedError

    def _look_settled(self) -> None:
        """A gateway's belief of another has changed."""

    # Processes

    def _port_of(self, name: str, line: dict[str, Any]) -> int | None:
        """Whether a line says that its process is ready, and on which port it listens (0: several)."""
        if line.get("event") == "listening":
            return int(line["port"])
        return 0 if line.get("event") == "group_ready" else None

    def _line(self, name: str, line: dict[str, Any]) -> None:
        """Take up what a process says of itself."""
        match line.get("event"):
            case "group_ready":
                self._server_ports.update(line["servers"])
            case "listening":
                self._refresh(lambda pair: name in pair)
                self._happened([f"ready:{name}"])
            case "peers_listening":
                self._peers_listening(name, line)
            case "peer":
                self._peer_reported(name, line)
            case "stopping":
                self._stopping(name)
            case "elected":
                self._elected(line["group"], line["server"])
            case "started_anew":
                self._started_anew(line["server"], line["started"])
            case _:
                self._observed(name, line)

    def _peers_listening(self, gateway: str, line: dict[str, Any]) -> None:
        self._peer_ports[gateway] = line["port"]
        self._believed[gateway] = {}
        self.record({"kind": "peer_start", "gateway": gateway, "life": line["life"]})

    def _peer_reported(self, gateway: str, line: dict[str, Any]) -> None:
        self._believed[gateway][line["peer"]] = line["state"]
        self.record({"kind": "peer", "gateway": gateway, "peer": line["peer"], "state": line["state"]})
        self._look_settled()

    def _stopping(self, name: str) -> None:
        if self._roster.member(name).state == READY:  # to start anew, of its own accord
            self.record({"kind": "process", "name": name, "what": "leaving"})

    def _elected(self, group: str, primary: str) -> None:
        for listed in self.listed.values():
            for server, one in listed.items():
                if one.group == group:
                    one.primary = server == primary
        self._tell_all()
        self._happened([f"elected:{group}"])

    def _started_anew(self, server: str, started: float) -> None:
        for listed in self.listed.values():
            listed[server].started = started
        self._tell_all()

    def _observed(self, name: str, line: dict[str, Any]) -> None:
        """A line that becomes a fact as it is, if it is one of these."""
        fact = fact_of(name, line)
        if fact is None:
            return
        self.record(fact)
        self._happened(self.known.heard(fact))

    def _happened(self, events: Iterable[str]) -> None:
        """Steps may wait for these, once the load has begun."""
        if self._began:
            for event in events:
                self._do(self.schedule.happened(self.reactor.seconds(), event))

    def _crossed(self, source: str, target: str, data: bytes) -> None:
        """A datagram has left a gateway."""
        facts, events = self.known.crossed(source, target, data)
        for fact in facts:
            self.record(fact)
        self._happened(events)

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
        self._tell(name)
        program = self.scenario.program_of(name)
        kind, channels = (program.name, program.channels) if program is not None else ("", 0)
        supervised = self.scenario.fleet.rollout and kind != "landed"
        command, env = program_command("" if supervised else kind, place.settings, channels)
        if supervised:
            command.append("--supervised")
            if channels and not place.in_force.exists():  # what the supervisor is to start, until a rollout changes it
                place.start_with(f"{sys.executable} -m yardbank.cli.embedded_gateway {channels}")
        for clock in self.scenario.clock:
            if clock.gateway == name:
                offset = clock.offset / 1e9 * (-1 if clock.behind else 1)
                command += [f"--clock-rate={clock.rate}", f"--clock-offset={offset}"]
        return self.processes.start(name, self._command(name, command), place.log, env, group=supervised)

    def _tell(self, gateway: str) -> None:
        """Write a gateway's list as it is now, unless it is held back."""
        if self._held.get(gateway) or self._over:
            return
        listed = self.listed[gateway]
        ports = {server: self._relays[gateway, server].port for server in listed}
        write_atomically(self.places[gateway].list, list_text(listed, ports))
        before = self._written.setdefault(gateway, {})
        for server, one in listed.items():
            if one.state != before.get(server, "ready"):
                self.record({"kind": "told", "gateway": gateway, "server": server, "state": one.state})
            before[server] = one.state

    def _tell_all(self) -> None:
        for gateway in self.places:
            if (gateway, next(iter(self.listed[gateway]))) in self._relays:
                self._tell(gateway)

    # The network

    def _lay(self) -> None:
        """A relay on every pair that opens connections."""
        for gateway in self.places:
            pairs = [(CLIENTS, gateway), *((gateway, server) for server in self.scenario.servers())]
            for source, target in pairs:
                finder, tap = self._finder(target), self._tap(source, target)
                relay = StreamRelay(self.reactor, self.network, source, target, finder, self.seed, tap)
                self._relays[source, target] = relay

        if self.scenario.fleet.peers:
            for source in self.places:
                ports = {}
                for target in self.places:
                    find = self._peer_finder(target)
                    datagrams = DatagramRelay(
                        self.reactor, self.network, source, target, find, self.seed, self._crossed
                    )
                    self._datagrams.append(datagrams)
                    ports[target] = datagrams.port
                write_atomically(self.places[source].peers, peers_text(ports, self._peer_zones()))

    def _tap(self, source: str, target: str) -> Callable[[int], Tap]:
        if source == CLIENTS:
            return lambda port: Departures(self.record, target, port)
        return lambda port: Attempts(self.record, source, target)

    def _peer_zones(self) -> dict[str, str]:
        """What the lists of peers say of zones: nothing, as long as one of them runs a program that knows none."""
        fleet, zones = self.scenario.fleet, self.scenario.zones()
        parts = fleet.channels or fleet.rollout or fleet.atlas or bool(fleet.publishers)
        return {name: zones[name] for name in self.places} if parts and not self.scenario.older() else {}

    def _peer_finder(self, target: str) -> Callable[[], int]:
        return lambda: self._peer_ports.get(target, 0)

    def _finder(self, target: str) -> Callable[[], int]:
        if target in self.places:
            return lambda: self._roster.member(target).port
        return lambda: self._server_ports.get(target, 0)

    def _refresh(self, which: Callable[[Pair], bool]) -> None:
        for pair, relay in self._relays.items():
            if which(pair):
                relay.refresh()

    def _changed(self, pairs: set[Pair]) -> None:
        for source, target in pairs:
            sound = self.network.effect(source, target) == Effect()
            self.record({"kind": "link", "from": source, "to": target, "sound": sound})
        self._refresh(lambda pair: pair in pairs or (pair[1], pair[0]) in pairs)
        if self.scenario.fleet.atlas:
            for source, target, ms in ways(self.network, self.scenario.zones(), list(self.places)):
                self.record({"kind": "way", "from": source, "to": target, "ms": ms})
