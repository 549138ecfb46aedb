"""One group of stand-ins as a process that obeys JSON lines on its standard input and tells its news on its output.

The members of a group share one emulated log, so they share a process; a member's crash is emulated (its sockets are
reset, its work is gone), and killing the process loses the group with all it held.
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
    """What a process is made with; times in seconds."""

    group: str
    suffix: str
    names: list[str]
    bind: tuple[str, str]
    record: str  # a file for its facts
    entries: int = 50
    slots: int = 4
    read_s: float = 0.002
    write_s: float = 0.003
    ship: float = 0.005
    detect: float = 0.6
    elect: float = 0.4
    seed: int = 1


def device(number: int, suffix: str) -> m.AddRequest:
    """One entry as every stand-in's tree begins with."""
    attributes = (("objectClass", (b"device",)), ("cn", (b"%d" % number,)), ("description", (b"new",)))
    return m.AddRequest(f"cn={number},{suffix}", attributes)


class GroupProcess(LineOnlyReceiver):
    """The servers of one group, and who commands them."""

    delimiter = b"\n"
    transport: Any

    def __init__(self, spec: GroupSpec, reactor: Any) -> None:
        self._spec, self._reactor = spec, reactor
        self._file = Path(spec.record).open("a", encoding="utf-8")  # noqa: SIM115 - open as long as the process
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
            "crash": lambda server, order: server.crash(),
            "restart": lambda server, order: server.restart(),
            "hang": lambda server, order: server.hang(),
            "unhang": lambda server, order: server.unhang(),
            "refuse": lambda server, order: server.refuse(order["on"]),
            "full": lambda server, order: setattr(server.faults, "full", order["on"]),
            "slow": lambda server, order: setattr(server.faults, "slow", order["factor"]),
            "lag": lambda server, order: setattr(server.member, "lag", order["factor"]),
            "lose_answers": lambda server, order: setattr(server.faults, "lose_next", order["count"]),
            "hand_over": lambda server, order: self.cluster.hand_over(),
        }

    def _record(self, fact: dict[str, Any]) -> None:
        self._file.write(json.dumps({"at": time.monotonic(), **fact}, separators=(",", ":")) + "\n")
        self._file.flush()
        if fact["kind"] == "elected":
            self._say({"event": "elected", "group": self._spec.group, "server": fact["server"]})
        elif fact["kind"] == "start":
            self._say({"event": "started_anew", "server": fact["server"], "started": time.time()})

    def _say(self, news: dict[str, Any]) -> None:
        self.transport.write(json.dumps(news).encode() + b"\n")

    def connectionMade(self) -> None:  # noqa: N802
        """Whoever commands is there: tell where the servers listen."""
        ports = {name: server.port for name, server in self.servers.items()}
        self._say({"event": "group_ready", "group": self._spec.group, "servers": ports})

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """One command, for one server."""
        order = json.loads(line)
        self._commands[order["do"]](self.servers[order["server"]], order)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Nobody commands any more."""
        if self._reactor.running:
            self._reactor.stop()


def run_group(text: str) -> None:
    """Serve until nobody commands any more. Raises ``msgspec.ValidationError`` for a faulty description."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    spec = msgspec.json.decode(text.encode(), type=GroupSpec)
    StandardIO(GroupProcess(spec, reactor))
    reactor.run()


if __name__ == "__main__":
    run_group(sys.argv[1])
