"""Searches through one gateway process, compared with a plain TCP relay and direct access; then several workers."""

from __future__ import annotations

import asyncio
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from benchmarks.common import keep, table
from yardbank.ldap import codec
from yardbank.ldap import messages as m
from yardbank.ldap.ber import Framer
from yardbank.testing.demo.world import GATEWAY_DN, GATEWAY_PASSWORD
from yardbank.testing.ports import free_port

BASE = "ou=numbers,dc=porting"
SEARCH = codec.encode_operation(m.SearchRequest(f"cn=1,{BASE}", 0, m.Present("objectClass"), ("description",)))
BIND = codec.encode(m.Message(1, m.BindRequest("cn=desk,dc=porting", b"desk")))


class FastServer(asyncio.Protocol):
    """Answers every search immediately with one entry, with as little work as possible."""

    role = b"copy"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the entry that answers every search."""
        self.transport, self.framer = transport, Framer()
        entry = m.SearchEntry(
            f"cn=1,{BASE}",
            (
                ("description", (b"x" * 40,)),
                ("contextCSN", (b"20260101000000.000000Z#000001#001#000000",)),
                ("replicationRole", (self.role,)),
            ),
        )
        self.entry = codec.Envelope(0, m.Tag.ENTRY, codec.encode_operation(entry), b"")
        self.done = codec.Envelope(0, m.Tag.DONE, codec.encode_operation(m.Result(m.Tag.DONE, 0)), b"")
        self.bound = codec.Envelope(0, m.Tag.BIND, codec.encode_operation(m.Result(m.Tag.BIND_RESPONSE, 0)), b"")

    def data_received(self, data: bytes) -> None:
        """Answer each search with that entry."""
        out = []
        for frame in self.framer.feed(data):
            envelope = codec.open_envelope(frame)
            if envelope.tag == m.Tag.SEARCH:
                out += [self.entry.with_id(envelope.id), self.done.with_id(envelope.id)]
            elif envelope.tag == m.Tag.BIND:
                out.append(self.bound.with_id(envelope.id))
        self.transport.write(b"".join(out))


class LoadClient(asyncio.Protocol):
    """A closed-loop client: sends the next search as soon as it has the answer."""

    def __init__(self, times: HdrHistogram, counts: list[int]) -> None:
        self.times, self.counts, self.number = times, counts, 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bind."""
        self.transport, self.framer = transport, Framer()
        transport.write(BIND)

    def data_received(self, data: bytes) -> None:
        """Send the next search after each answer."""
        for frame in self.framer.feed(data):
            raw = codec.open_envelope(frame)
            if raw.tag == m.Tag.DONE:
                if raw.operation[4]:
                    self.counts[1] += 1
                else:
                    self.counts[0] += 1
                    self.times.record_value((time.perf_counter_ns() - self.began) // 1000)
            if raw.tag in (m.Tag.DONE, m.Tag.BIND_RESPONSE):
                self.number += 1
                self.began = time.perf_counter_ns()
                self.transport.write(codec.Envelope(0, m.Tag.SEARCH, SEARCH, b"").with_id(self.number))


def serve_fast(role: str) -> None:
    """Run the server process; prints its port."""

    async def run() -> None:
        FastServer.role = role.encode()
        server = await asyncio.get_running_loop().create_server(FastServer, "127.0.0.1", 0)
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()

    asyncio.run(run())


def serve_relay(port: int) -> None:
    """Run the relay process (Twisted's portforward); prints its port."""
    from twisted.internet import reactor
    from twisted.protocols.portforward import ProxyFactory

    listening = reactor.listenTCP(0, ProxyFactory("127.0.0.1", port), interface="127.0.0.1")
    print(listening.getHost().port, flush=True)
    reactor.run()


def load(port: int, clients: int, seconds: float) -> None:
    """Run a load process; prints searches per second, failures, p50 and p99 in microseconds."""

    async def run() -> None:
        times, counts = HdrHistogram(1, 10_000_000, 3), [0, 0]
        loop = asyncio.get_running_loop()
        connections = [
            await loop.create_connection(lambda: LoadClient(times, counts), "127.0.0.1", port) for _ in range(clients)
        ]
        await asyncio.sleep(0.5)
        times.reset()
        counts[:] = [0, 0]
        began = time.perf_counter()
        await asyncio.sleep(seconds)
        elapsed = time.perf_counter() - began
        print(
            counts[0] / elapsed,
            counts[1],
            times.get_value_at_percentile(50),
            times.get_value_at_percentile(99),
            flush=True,
        )
        for transport, _ in connections:
            transport.abort()

    asyncio.run(run())


def start(*words: object) -> subprocess.Popen[str]:
    """Start one of these processes."""
    command = [sys.executable, "-m", "benchmarks.path", *map(str, words)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def first_line(process: subprocess.Popen[str]) -> int:
    """Read the port that the process prints."""
    assert process.stdout is not None
    return int(process.stdout.readline())


def measure(port: int, clients: int, seconds: float, processes: int = 1) -> tuple[float, int, float, float]:
    """Put load on a port; returns searches per second, failures, p50 and p99 in microseconds."""
    running = [start("load", port, clients // processes, seconds) for _ in range(processes)]
    rows = [[float(word) for word in process.communicate()[0].split()] for process in running]
    return sum(r[0] for r in rows), int(sum(r[1] for r in rows)), max(r[2] for r in rows), max(r[3] for r in rows)


def settings(folder: Path, port: int, servers: dict[str, int]) -> Path:
    """Write a gateway's settings for the fast servers."""
    parts = [
        f'listener "ldap" {{\n  port = {port}\n}}\nlogging {{\n  level = "warning"\n}}\ngateway {{\n  zone = "a"\n}}',
        f'backend "ldap" {{\n  bind_dn = "{GATEWAY_DN}"\n  bind_password = "{GATEWAY_PASSWORD}"\n'
        '  role_attribute = "replicationRole"\n}',
        f'group "numbers" {{\n  suffix = "{BASE}"\n}}\nidentity "cn=desk,dc=porting" {{\n  password = "desk"\n}}',
        'class "lookup" {\n  effect = "safe"\n  read = "bounded"\n  staleness = "800ms"\n  aim = "500ms"\n'
        f'  deadline = "1500ms"\n  match {{\n    operation = "search"\n    base = "{BASE}"\n  }}\n}}',
    ]
    for name, server_port in servers.items():
        primary = "true" if name == "primary" else "false"
        parts.append(
            f'server "{name}" {{\n  group = "numbers"\n  zone = "a"\n  address = "127.0.0.1"\n  port = {server_port}\n'
            f"  primary = {primary}\n}}"
        )
    file = folder / "gateway.hcl"
    file.write_text("\n\n".join(parts) + "\n")
    return file


def start_gateway(file: Path, port: int, workers: int = 1) -> subprocess.Popen[bytes]:
    """Start the gateway and wait until it listens."""
    import socket

    process = subprocess.Popen([sys.executable, "-m", "yardbank", "serve", str(file), "--workers", str(workers)])
    for _ in range(200):
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                break
        time.sleep(0.05)
    time.sleep(0.5 * workers)
    return process


def compare(clients: int, seconds: float, runs: int) -> None:
    """Compare all alternatives, one after the other within each run."""
    names = {
        name: start("server", "primary" if name == "primary" else "copy") for name in ("primary", "copy-1", "copy-2")
    }
    servers = {name: first_line(process) for name, process in names.items()}
    relay = start("relay", servers["copy-1"])
    relay_port, port = first_line(relay), free_port()
    file = settings(Path(tempfile.mkdtemp()), port, servers)
    found: dict[str, list[tuple[float, int, float, float]]] = {"direct": [], "relay": [], "gateway": []}
    gateway = start_gateway(file, port)
    for _ in range(runs):
        found["direct"].append(measure(servers["copy-1"], clients, seconds))
        found["relay"].append(measure(relay_port, clients, seconds))
        found["gateway"].append(measure(port, clients, seconds))
    gateway.send_signal(signal.SIGTERM)
    gateway.wait()
    scaled: dict[int, list[float]] = {1: [], 2: [], 4: []}
    for _ in range(runs):
        for workers, rates in scaled.items():
            gateway = start_gateway(file, port, workers)
            rates.append(measure(port, 4 * clients, seconds, 3)[0])
            gateway.send_signal(signal.SIGTERM)
            gateway.wait()
    for process in (*names.values(), relay):
        process.kill()
    medians = {name: [statistics.median(column) for column in zip(*rows, strict=True)] for name, rows in found.items()}
    rows = [
        [
            name,
            f"{rate:,.0f}",
            f"{rate / medians['relay'][0]:.2f}",
            f"{failed:.0f}",
            f"{p50 / 1000:.2f}",
            f"{p99 / 1000:.2f}",
            f"{(p50 - medians['direct'][2]) / 1000:+.2f}",
            f"{(p99 - medians['direct'][3]) / 1000:+.2f}",
        ]
        for name, (rate, failed, p50, p99) in medians.items()
    ]
    head = ["way", "searches/s", "of relay", "failed", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms"]
    notes = [
        f"Medians of {runs} runs of {seconds:g} s, ways in turn; {clients} clients, one search out each; servers that "
        "answer at once. Each way and the load in a process of its own. Aim: at least half the relay."
    ]
    single_worker_rate = statistics.median(scaled[1])
    worker_rows = [
        [str(n), f"{statistics.median(rates):,.0f}", f"{statistics.median(rates) / single_worker_rate / n:.2f}"]
        for n, rates in scaled.items()
    ]
    worker_notes = [
        f"{4 * clients} clients in 3 load processes, {os.cpu_count()} cores shared with 3 servers. Aim: 0.85 of linear."
    ]
    keep(
        "path",
        "Searches through a gateway",
        [
            table("One gateway process", head, rows, notes),
            table("Workers", ["workers", "searches/s", "of linear"], worker_rows, worker_notes),
        ],
    )


@click.command()
@click.argument("words", nargs=-1)
@click.option("--clients", default=32)
@click.option("--seconds", default=3.0)
@click.option("--runs", default=3)
def main(words: tuple[str, ...], clients: int, seconds: float, runs: int) -> None:
    """Run the comparison, or with WORDS one of its processes."""
    match words:
        case ("server", role):
            serve_fast(role)
        case ("relay", port):
            serve_relay(int(port))
        case ("load", port, many, long):
            load(int(port), int(many), float(long))
        case _:
            compare(clients, seconds, runs)


if __name__ == "__main__":
    main()
