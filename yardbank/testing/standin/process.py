"""Runs a group of stand-in servers as a process, with commands and events as JSON lines on its standard streams.

The members of a group share an emulated log and therefore a process. The crash of one member is emulated: its
connections are reset and its queued work is discarded. Killing the process loses the whole group and its data.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver

from yardbank.ldap import messages as m
from yardbank.testing.standin.cluster import Cluster, Timing
from yardbank.testing.standin.server import Capacity, Standin


@dataclass(slots=True, frozen=True)
class GroupSpec:
    """The parameters of a group process; times in seconds."""

    group: str
    suffix: str
    names: list[str]
    bind: tuple[str, str]
    record: str  # file for recorded facts
    entries: int = 50
    slots: int = 4
    read_s: float = 0.002
    write_s: float = 0.003
    ship: float = 0.005
    detect: float = 0.6
    elect: float = 0.4
    seed: int = 1


def device(number: int, suffix: str) -> m.AddRequest:
    """An initial entry of every stand-in's directory."""
    attributes = (("objectClass", (b"device",)), ("cn", (b"%d" % number,)), ("description", (b"new",)))
    return m.AddRequest(f"cn={number},{suffix}", attributes)


class GroupProcess(LineOnlyReceiver):
    """The servers of one group and their command stream."""

    delimiter = b"\n"
    transport: Any

    def __init__(self, spec: GroupSpec, reactor: Any) -> None:
        self._spec, self._reactor = spec, reactor
        self._file = Path(spec.record).open("a", encoding="utf-8")  # noqa: SIM115 - stays open until the process exits
        timing = Timing(ship=spec.ship, detect=spec.detect, elect=spec.elect)
        self.cluster = Cluster(spec.suffix, spec.names, reactor.seconds, reactor.callLater, timing, self._record)
        self.cluster.load([device(number, spec.suffix) for number in range(spec.entries)])
        capacity = Capacity(spec.slots, read_s=spec.read_s, write_s=spec.write_s)
        self.servers = {
            name: Standin(
                reactor, self.cluster, name, capacity=capacity, record=self._record, bind=spec.bind, seed=spec.seed
            )
            for name in spec.names
        }
        self._commands: dict[str, Callable[[Standin, dict[str, Any]], Any]] = {
            "crash": lambda server, command: server.crash(),
            "restart": lambda server, command: server.restart(),
            "hang": lambda server, command: server.hang(),
            "unhang": lambda server, command: server.unhang(),
            "refuse": lambda server, command: server.refuse(command["on"]),
            "full": lambda server, command: setattr(server.faults, "full", command["on"]),
            "slow": lambda server, command: setattr(server.faults, "slow", command["factor"]),
            "lag": lambda server, command: setattr(server.member, "lag", command["factor"]),
            "lose_answers": lambda server, command: setattr(server.faults, "lose_next", command["count"]),
            "hand_over": lambda server, command: self.cluster.hand_over(),
        }

    def _record(self, fact: dict[str, Any]) -> None:
        self._file.write(json.dumps({"at": time.monotonic(), **fact}, separators=(",", ":")) + "\n")
        self._file.flush()
        if fact["kind"] == "elected":
            self._send_event({"event": "elected", "group": self._spec.group, "server": fact["server"]})
        elif fact["kind"] == "start":
            self._send_event({"event": "started_anew", "server": fact["server"], "started": time.time()})

    def _send_event(self, event: dict[str, Any]) -> None:
        self.transport.write(json.dumps(event).encode() + b"\n")

    def connectionMade(self) -> None:  # noqa: N802
        """Reports the servers' ports."""
        ports = {name: server.port for name, server in self.servers.items()}
        self._send_event({"event": "group_ready", "group": self._spec.group, "servers": ports})

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Carries out a command for one server."""
        command = json.loads(line)
        self._commands[command["do"]](self.servers[command["server"]], command)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Stops when the command stream ends."""
        if self._reactor.running:
            self._reactor.stop()


def run_group(text: str) -> None:
    """Runs until the command stream ends. Raises ``msgspec.ValidationError`` for invalid parameters."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    spec = msgspec.json.decode(text.encode(), type=GroupSpec)
    StandardIO(GroupProcess(spec, reactor))
    reactor.run()


if __name__ == "__main__":
    run_group(sys.argv[1])
