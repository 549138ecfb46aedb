"""A test environment on loopback: groups of stand-in servers, one gateway (embedded or a process), one record."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.threads import deferToThread

from yardbank.config import load_text
from yardbank.proxy import Proxy
from yardbank.testing.ports import free_port
from yardbank.testing.rig.record import Recorder
from yardbank.testing.standin.cluster import Cluster, Timing
from yardbank.testing.standin.process import device
from yardbank.testing.standin.server import Capacity, Standin

BASE = "dc=porting"
NUMBERS, REQUESTS = f"ou=numbers,{BASE}", f"ou=requests,{BASE}"
GATEWAY_DN, GATEWAY_PASSWORD = f"cn=gateway,{BASE}", "gateway"
DESK_DN, DESK_PASSWORD = f"cn=desk,{BASE}", "desk"
GROUPS = {"numbers": NUMBERS, "requests": REQUESTS}
MEMBERS = {
    "numbers": (("n1", "norte"), ("n2", "norte"), ("n3", "sur")),
    "requests": (("r1", "norte"), ("r2", "norte"), ("r3", "sur")),
}

CLASSES = """
class "number-lookup" {
  effect    = "safe"
  read      = "bounded"
  staleness = "800ms"
  aim       = "500ms"
  deadline  = "1500ms"
  worth     = 2
  match {
    operation = ["search", "compare"]
    base      = "ou=numbers,dc=porting"
  }
}

class "request-state" {
  effect     = "safe"
  read       = "session"
  aim        = "750ms"
  deadline   = "2s"
  late_worth = 0.2
  match {
    operation = ["search", "compare"]
    base      = "ou=requests,dc=porting"
  }
}

class "number-change" {
  effect     = "unsafe"
  read       = "write"
  aim        = "500ms"
  deadline   = "3s"
  worth      = 3
  late_worth = 0.7
  match {
    operation = ["add", "modify", "modifydn", "delete"]
    base      = "dc=porting"
  }
}
"""


__all__ = ["Recorder", "World"]


class World:
    """Stand-in servers, the operator's server list, and the gateway under test."""

    def __init__(
        self,
        reactor: Any,
        record: Recorder,
        *,
        seed: int = 1,
        daemon: bool = False,
        timing: Timing | None = None,
        capacity: Capacity | None = None,
        router: Callable[..., Any] | None = None,
        extra: str = "",
        session_by: str = "connection",
        durable: bool = True,
        groups: Mapping[str, str] | None = None,
        members: Mapping[str, Sequence[tuple[str, str]]] | None = None,
        classes: str = CLASSES,
        listener: str = "",
    ) -> None:
        """``groups``: suffixes by name; ``members``: names and zones by group; ``listener``: extra settings lines."""
        self.groups, self.members = dict(groups or GROUPS), dict(members or MEMBERS)
        self._classes, self._listener = classes, listener
        self.reactor, self.record, self.seed, self.daemon = reactor, record, seed, daemon
        self.capacity = capacity or Capacity()
        self._router, self._extra = router, extra
        self.session_by, self.durable = session_by, durable
        self.clusters: dict[str, Cluster] = {}
        self.servers: dict[str, Standin] = {}
        self.states: dict[str, str] = {}
        self.listed_primary: dict[str, str] = {}
        bind = (GATEWAY_DN, GATEWAY_PASSWORD)
        for group, placed in self.members.items():
            names = [name for name, _ in placed]
            cluster = Cluster(self.groups[group], names, reactor.seconds, reactor.callLater, timing, record)
            self.clusters[group] = cluster
            for name in names:
                self.servers[name] = Standin(
                    reactor, cluster, name, capacity=self.capacity, record=record, bind=bind, seed=seed
                )
                self.states[name] = "ready"
            self.listed_primary[group] = names[0]
        self.folder = Path(tempfile.mkdtemp(prefix="yardbank-"))
        self.port = 0
        self.proxy: Proxy | None = None
        self.more_membership = ""  # extra lines of the ``membership`` block
        self.watched: Path | None = None  # path of the watched server list; None: the list is in the settings
        self._process: subprocess.Popen[bytes] | None = None
        self._runs = 0
        # Warms up the parser, which builds its tables on first use.
        load_text(self.settings().replace("port = 0", "port = 1"))

    def load(self, entries: int) -> None:
        """Adds the same entries to every server."""
        for group, cluster in self.clusters.items():
            suffix = self.groups[group]
            cluster.load([device(number, suffix) for number in range(entries)])

    def settings(self) -> str:
        """The current settings file."""
        parts = [
            f'listener "ldap" {{\n  port = {self.port}\n  session = "{self.session_by}"\n{self._listener}}}',
            f'gateway {{\n  zone = "norte"\n  gateways = 1\n  seed = {self.seed}\n'
            f'  cold = "{self.capacity.cold_s}s"\n  cold_share = {self.capacity.cold_share}\n}}',
            f'backend "ldap" {{\n  bind_dn = "{GATEWAY_DN}"\n  bind_password = "{GATEWAY_PASSWORD}"\n'
            '  role_attribute = "replicationRole"\n}',
            f'identity "{DESK_DN}" {{\n  password = "{DESK_PASSWORD}"\n}}',
            'logging {\n  level = "warning"\n  format = "json"\n}',
            self._extra,
            self._classes,
        ]
        if self.watched is not None:
            parts.append(f'membership {{\n  path = "{self.watched}"\n{self.more_membership}}}')
            if self.durable:
                parts.append(f'state {{\n  path = "{self.watched.parent / "state"}"\n}}')
        for group, members in self.members.items():
            parts.append(f'group "{group}" {{\n  suffix = "{self.groups[group]}"\n}}')
            for name, zone in members:
                if self.states[name] == "gone" or self.watched is not None:
                    continue
                server = self.servers[name]
                started = server.started
                wall = time.time() - (time.monotonic() - started) if started else 0.0
                parts.append(
                    f'server "{name}" {{\n  group = "{group}"\n  zone = "{zone}"\n  address = "127.0.0.1"\n'
                    f"  port = {server.port}\n  primary = {'true' if self.listed_primary[group] == name else 'false'}\n"
                    f'  state = "{self.states[name]}"\n  started = {wall:.3f}\n}}'
                )
        return "\n\n".join(parts) + "\n"

    def tell(self, **states: str) -> None:
        """Changes states of servers in the list and notifies the gateway."""
        self.states.update(states)
        for name, state in states.items():
            self.record({"kind": "told", "server": name, "state": state})
        if self.proxy is not None:
            self.proxy.reload(load_text(self.settings()))
        elif self._process is not None:
            self._write_settings()
            self._process.send_signal(signal.SIGHUP)

    def tell_primaries(self) -> None:
        """Updates the primaries in the list after an election."""
        for group, cluster in self.clusters.items():
            if cluster.primary:
                self.listed_primary[group] = cluster.primary
        self.tell()

    def _write_settings(self) -> None:
        path = self.folder / "gateway.hcl"
        path.with_suffix(".new").write_text(self.settings())
        os.replace(path.with_suffix(".new"), path)

    def start_gateway(self) -> Deferred[Any]:
        """Starts the gateway, embedded or as a process; fires when it listens."""
        self._runs += 1
        if not self.port:  # stays the same over restarts, because the settings contain it
            self.port = free_port()
        if not self.daemon:
            more: dict[str, Any] = {"router": self._router} if self._router else {}
            self.proxy = Proxy(load_text(self.settings()), self.reactor, record=self.record, **more)
            self.proxy.start()
            return succeed(None)
        self._write_settings()
        command = [sys.executable, "-m", "yardbank", "serve", str(self.folder / "gateway.hcl")]
        command += ["--record", str(self.folder / f"gateway-{self._runs}.jsonl")]
        with (self.folder / "gateway.log").open("ab") as log:
            self._process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        return self._until_listening(time.monotonic() + 20)

    def _until_listening(self, until: float) -> Deferred[Any]:
        from yardbank.testing.rig.client import connect

        def again(failure: Any) -> Any:
            if time.monotonic() > until:
                return failure
            waiting: Deferred[Any] = Deferred()
            self.reactor.callLater(0.05, waiting.callback, None)
            return waiting.addCallback(lambda _: self._until_listening(until))

        return connect(self.reactor, "127.0.0.1", self.port, "").addCallbacks(lambda client: client.leave(), again)

    def kill_gateway(self) -> Deferred[Any]:
        """Kills the gateway."""
        self.record({"kind": "killed"})
        if self.proxy is not None:
            self.proxy.kill()
            self.proxy = None
            return succeed(None)
        assert self._process is not None
        self._process.kill()
        return self._ended()

    def _ended(self) -> Deferred[Any]:
        assert self._process is not None
        process, self._process = self._process, None
        return deferToThread(process.wait)

    def stop_gateway(self) -> Deferred[Any]:
        """Drains and stops the gateway."""
        if self.proxy is not None:
            proxy, self.proxy = self.proxy, None
            return proxy.stop()
        if self._process is None:
            return succeed(None)
        self._process.terminate()
        return self._ended()

    def close(self) -> None:
        """Stops the servers and adds the gateway processes' records."""
        for server in self.servers.values():
            server.stop()
        for run in range(1, self._runs + 1):
            self.record.add_file(self.folder / f"gateway-{run}.jsonl")
        self.record.close()
