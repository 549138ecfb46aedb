"""Runs the platform's program between stand-ins on loopback addresses and records what was sent, answered and run."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins2 import wire

ROOT = Path(__file__).resolve().parents[2]
MS = 10**6
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def free_port() -> int:
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of a run: one line an event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, kind: str, **facts: Any) -> float:
        """Writes an event; returns its time."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{at:9.4f} {kind} {text}\n")
        return at

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


Answer = Callable[["ServerConnection", dict[str, str]], Awaitable[None]]


class Server:
    """A database server. ``answer`` serves a statement; the default works for ``work`` seconds and returns the row."""

    def __init__(self, record: Record, name: str, primary: bool, cell: int = 2, work: float = 0.02) -> None:
        self.record = record
        self.name = name
        self.primary = primary
        self.cell = cell
        self.work = work
        self.port = 0
        self.lifecycle = "Ready"
        self.zone = "a"
        self.kind = "std-3c"
        self.started_ms = 0
        self.value_size = 0
        self.answer: Answer = self.serve
        self.connections: set[ServerConnection] = set()
        self.received: list[tuple[float, dict[str, str]]] = []
        self._listening: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listens on a free port, or the one it had."""
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", self.port, backlog=512)
        self.port = self._listening.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Closes the server as a process that dies."""
        if self._listening is not None:
            self._listening.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Returns its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
            "part": "master" if self.primary else "replica",
        }

    def report(self) -> str:
        """Returns its load report."""
        return f"x0={time.time():.3f},x1={int(self.primary)},util=0.1,utilization=0.1"

    async def serve(self, connection: ServerConnection, statement: dict[str, str]) -> None:
        """Serves a statement as a sound server does."""
        if statement["verb"] == "INSERT" and not self.primary:
            connection.reply(wire.error("25006") + self.part() + wire.READY, statement, "25006")
            return
        await asyncio.sleep(self.work)
        connection.reply(self.row(statement), statement, "row")

    def value(self, statement: dict[str, str]) -> bytes:
        """Returns the value made for a request."""
        return statement["id"].encode().ljust(self.value_size, b".")

    def row(self, statement: dict[str, str]) -> bytes:
        """Returns the complete answer to a request."""
        write = statement["verb"] == "INSERT"
        position = wire.parameter("caught_up_to", str(int(time.time() * 1000) + 1)) if write else b""
        return (
            wire.row(self.value(statement), b"INSERT 0 1" if write else b"SELECT 1")
            + self.part()
            + position
            + wire.READY
        )

    def part(self) -> bytes:
        """Returns the message that tells its role."""
        return wire.parameter("part", "master" if self.primary else "replica")


class ServerConnection(asyncio.Protocol):
    """One connection to a database server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: Any = None
        self._messages = wire.Messages(startup_first=True)
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: Any) -> None:
        """Registers the connection."""
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection; work that has begun goes on."""
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Answers messages."""
        for kind, body in self._messages.feed(data):
            if not kind:
                self.write(wire.WELCOME)
            elif kind == b"Q":
                self._query(body)
            elif kind == b"X":
                self.transport.close()

    def _query(self, body: bytes) -> None:
        statement = wire.fields(body)
        server = self.server
        if statement is None:
            if b"SHOW" in body:
                self.write(wire.row(server.report().encode(), b"SHOW") + server.part() + wire.READY)
            else:
                self.write(wire.row(b"1", b"SELECT 1") + wire.READY)
            return
        at = server.record.add(
            "run", server=server.name, id=statement["id"], c=statement["c"], d=statement["d"], state=server.lifecycle
        )
        server.received.append((at, statement))
        self.task = asyncio.get_running_loop().create_task(server.answer(self, statement))

    def reply(self, octets: bytes, statement: dict[str, str], what: str) -> None:
        """Writes an answer and records it."""
        self.server.record.add("reply", server=self.server.name, id=statement["id"], what=what)
        self.write(octets)

    def write(self, octets: bytes) -> None:
        """Writes octets unless the connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(octets)


class Discovery:
    """The agent of discovery: serves the list and pushes its changes.

    ``down``: it accepts connections and is silent. ``pieces``: a list is written in so many parts, ``piece_pause``
    seconds apart.
    """

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.servers = servers
        self.generation = 41
        self.down = False
        self.pieces = 1
        self.piece_pause = 0.0
        self.head_delay = 0.0
        self.port = 0
        self.told: dict[str, float] = {}  # when a watch first got the complete entry of a server that drains
        self._listening: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listens on a free port."""
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Closes the service."""
        if self._listening is not None:
            self._listening.close()
        for writer in list(self._watches):
            writer.transport.abort()

    def document(self) -> dict[str, Any]:
        """Returns the complete list."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [server.entry() for server in self.servers],
        }

    def change(self, *servers: Server) -> None:
        """Tells all open watches that entries have changed."""
        self.generation += 1
        if self.down:
            return
        change = {"generation": self.generation, "reset": False, "instances": [each.entry() for each in servers]}
        for writer in self._watches:
            self._write_chunk(writer, json.dumps(change).encode() + b"\n")
        self._note_told()

    def _note_told(self) -> None:
        for server in self.servers:
            if server.lifecycle != "Ready" and server.name not in self.told:
                self.told[server.name] = self.record.add("told", server=server.name, state=server.lifecycle)

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record.add("watch", down=self.down)
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.down:
                await reader.read()
                return
            await asyncio.sleep(self.head_delay)
            writer.write(HEAD)
            await self._write_list(writer)
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                if not self.down:
                    self._write_chunk(writer, b"\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _write_list(self, writer: asyncio.StreamWriter) -> None:
        text = json.dumps(self.document()).encode() + b"\n"
        size = -(-len(text) // self.pieces)
        for at in range(0, len(text), size):
            if at:
                await asyncio.sleep(self.piece_pause)
            self._write_chunk(writer, text[at : at + size])
            await writer.drain()
        self.record.add("list_written", generation=self.generation, pieces=self.pieces)
        self._note_told()


def service(name: str, aim: int, limit: int, effect: str, worth: float, late: float, window: int = 0) -> dict[str, Any]:
    """Returns the settings of one class; times in ms."""
    return {
        "name": name,
        "aim": aim * MS,
        "hard_limit": limit * MS,
        "effect": effect,
        "key_scope": "cell" if effect == "token" else "all",
        "window": window * MS,
        "credit": worth,
        "late_worth": late,
        "stream": False,
    }


def quito_settings(gateways: int = 3) -> dict[str, Any]:
    """Returns settings as the deployment ``quito-porting`` has them."""
    return {
        "family": "replicas",
        "fleet_size": gateways,
        "zone": "a",
        "dcs": ["a", "b"],
        "period": 5 * MS,
        "registry_mode": "automatic",
        "services": [
            service("route-lookup", 500, 1500, "pure", 2.0, 0.0),
            service("request-status", 750, 2000, "pure", 1.0, 0.2),
            service("port-commit", 500, 3000, "side_effect", 3.0, 0.7),
        ],
        "domain": {
            "checks": "bounce",
            "class_read": ["lag_bound", "causal", "mutate"],
            "lag_allowed": [800 * MS, 0, 0],
            "session_marks": "brought",
            "tells_position": False,
            "role_in_list": "trailing",
            "patience": 0,
        },
        "reporting": {"names": ["x0", "x1", "utilization"], "via": "pull"},
        "ceilings": {
            "cancel": True,
            "connect_timeout": 250 * MS,
            "idle_close": 30_000 * MS,
            "max_attempts": 8,
            "max_open": 20_000,
            "max_retry_after": 2000 * MS,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
        },
        "rules": {
            "ask_within": 10_000 * MS,
            "cold": 18_000 * MS,
            "drain_grace": 500 * MS,
            "fall": 1500 * MS,
            "grace_to_answer": 20 * MS,
            "start_capacity": 0.29,
            "tip_multiple": 2.5,
        },
    }


class Gateway:
    """One process of the platform's program, started by the deploy file's command."""

    def __init__(self, record: Record, folder: Path, name: str = "n1") -> None:
        self._record = record
        self._folder = folder
        self.name = name
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.config: dict[str, Any] = {}

    def configure(
        self,
        discovery: int,
        known: dict[str, Any],
        settings: dict[str, Any],
        memory_mb: int = 128,
        sockets: int = 512,
    ) -> None:
        """Writes the configuration file."""
        self.config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known,
            "settings": settings,
        }
        temporary = self._folder / f"{self.name}.new"
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self._file)

    @property
    def _file(self) -> Path:
        return self._folder / f"{self.name}.json"

    def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        private = Path(tempfile.mkdtemp(dir=self._folder))
        environment = {
            "PATH": os.environ["PATH"],
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(self._file),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._record.add("gateway_started", name=self.name, pid=self.process.pid)

    def log(self) -> str:
        """Returns what the process has logged."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._record.add("signal", name=self.name, number=signal.Signals(number).name)
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Returns the process's own resident memory (MB), without pages of files; 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in lines if line.startswith(("RssAnon", "RssShmem"))) * 1024 / 1e6

    async def ready(self, limit: float = 30.0) -> bool:
        """Waits until the process answers an empty query."""
        give_up = time.monotonic() + limit
        while time.monotonic() < give_up and self.process is not None and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(wire.startup() + wire.query(""))
                data = b""
                while b"I\0\0\0\4" not in data:
                    part = await asyncio.wait_for(reader.read(4096), 2)
                    if not part:
                        break
                    data += part
                writer.close()
                if b"I\0\0\0\4" in data:
                    self._record.add("gateway_ready", name=self.name)
                    return True
            except (TimeoutError, OSError):
                pass
            await asyncio.sleep(0.02)
        return False

    def end(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Request:
    """One request of a client and its end: ``served``, ``refused``, ``failed``, ``closed`` or ``none``."""

    def __init__(self, number: str, name: str, limit_ms: int, write: bool) -> None:
        self.number = number
        self.name = name
        self.limit_ms = limit_ms
        self.write = write
        self.sent = 0.0
        self.ended = 0.0
        self.end = "none"
        self.value = b""

    def text(self, key: str, cell: int = 2, after: int | None = None, content: str = "9f03") -> str:
        """Returns the statement."""
        more = "" if after is None else f",after={after}"
        comment = f"/* id={self.number},c={self.name},d={self.limit_ms},cluster={cell}{more} */"
        if self.write:
            return f"{comment} INSERT INTO kv (name, content) VALUES ('{key}', '\\x{content}') RETURNING content"
        return f"{comment} SELECT content FROM kv WHERE name = '{key}'"


class Client:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, record: Record, port: int) -> None:
        self._record = record
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._messages = wire.Messages(startup_first=False)

    async def open(self) -> None:
        """Connects, unless connected; raises ``OSError``."""
        if self._writer is None:
            self._messages = wire.Messages(startup_first=False)
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
            self._writer.write(wire.startup())

    def close(self) -> None:
        """Leaves."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(self, request: Request, text: str, wait: float = 1.0) -> Request:
        """Sends a request and waits for its end, ``wait`` seconds longer than its time.

        If a connection that was at rest is closed without an answer, the request is sent once more on a new one.
        """
        request.sent = self._record.add("ask", id=request.number, c=request.name, d=request.limit_ms)
        if self._reader is not None and self._reader.at_eof():
            self.close()
        was_at_rest = self._writer is not None
        await self._send(request, text, wait)
        if was_at_rest and request.end == "closed":
            self._record.add("again", id=request.number)
            request.end = "none"
            await self._send(request, text, wait)
        request.ended = self._record.now()
        self._record.add("end", id=request.number, what=request.end, ms=round(1000 * (request.ended - request.sent), 1))
        return request

    async def _send(self, request: Request, text: str, wait: float) -> None:
        try:
            await self.open()
        except OSError:
            request.end = "unreachable"
            return
        assert self._writer is not None
        self._writer.write(wire.query(text))
        try:
            await asyncio.wait_for(self._answer(request), request.limit_ms / 1000 + wait)
        except TimeoutError:
            self.close()
        except OSError:
            request.end = "closed"
            self.close()

    async def _answer(self, request: Request) -> None:
        assert self._reader is not None
        ended = False
        while not ended:
            data = await self._reader.read(65536)
            if not data:
                if request.end == "none":
                    request.end = "closed"
                self.close()
                return
            for kind, body in self._messages.feed(data):
                if kind == b"D":
                    request.value = body[6:]
                    request.end = "served"
                elif kind == b"E":
                    request.end = "refused" if wire.error_code(body) in ("53300", "57P03") else "failed"
                    request.value = body
                elif kind == b"Z":
                    ended = request.end != "none"


Run = Callable[[Record, Path, bool], Awaitable[int]]


def main(case: Path, run: Run, limit: float = 115.0) -> int:
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(asyncio.wait_for(run(record, Path(folder), trouble), limit))
    except Exception as problem:  # noqa: BLE001  # whatever keeps the case from running
        record.add("cannot_run", problem=repr(problem))
        print(f"cannot run: {problem!r}")
        return 2
    finally:
        record.close()
