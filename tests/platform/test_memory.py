"""Memory of the real program while many clients send large requests and no server answers."""

import re
import socket
import threading
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.platform import AUTHENTICATED, ENTRY, ENV, READ, READY, START, WRITE, World, query
from tests.support.platform_process import serving
from yardbank.gateway import Reply
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.memory_budget import MemoryBudget

MEMORY_MB = 64
SERVICES = [
    {"name": "lookup", "aim": SECOND, "hard_limit": 20 * SECOND, "effect": "pure"},
    {"name": "commit", "aim": SECOND, "hard_limit": 20 * SECOND, "effect": "side_effect"},
]
LARGEST_VALUE = "9f" * (64 << 10)


def hanging_server(listening):
    """Accepts connections and statements and answers nothing."""
    kept = []
    while True:
        try:
            made, _ = listening.accept()
        except OSError:
            return
        made.sendall(AUTHENTICATED)
        kept.append(made)


def write(number, octets):
    """A write whose value has ``octets`` hexadecimal digits."""
    text = WRITE.replace("id=a2", f"id=w{number}").replace("d=900", "d=20000").replace("cluster=2", "cluster=3")
    return query(text.replace("9f03", LARGEST_VALUE[:octets]).replace("'7f3a'", f"'k{number}'"))


def peak_mb(process):
    """The peak memory of a process, in MB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024 / 1e6


# Guards against limits on each connection whose sum exceeds the memory limit, at which the platform kills the gateway.
@pytest.mark.parametrize("octets", [128 << 10, 8 << 10, 256], ids=["large", "middle", "small"])
def test_many_clients_sending_large_requests_stay_within_the_memory_limit(tmp_path, octets):
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listening:
        threading.Thread(target=hanging_server, args=(listening,), daemon=True).start()
        entry = {**ENTRY, "hostPort": f"127.0.0.1:{listening.getsockname()[1]}"}
        known = {"generation": 41, "reset": True, "instances": [entry]}
        limits = {"cores": 0.5, "memory_mb": MEMORY_MB, "sockets": 256}
        settings = {**ENV, "services": SERVICES, "ceilings": {"connect_timeout": 500 * MS}}
        process, port, _, _watch = serving(tmp_path, known=known, limits=limits, settings=settings)
        clients = []
        try:
            for _ in range(150):
                far = socket.create_connection(("127.0.0.1", port), timeout=30)
                far.sendall(START + query(""))
                clients.append(far)
            for far in clients:
                got = b""
                while got.count(READY) < 2:
                    got += far.recv(1000)
                far.setblocking(False)
            for number, far in enumerate(clients):
                send_until_blocked(far, number, octets)
            late = socket.create_connection(("127.0.0.1", port), timeout=30)
            clients.append(late)
            late.sendall(START + query(""))
            assert late.recv(1000)  # everything sent before has been read
            assert peak_mb(process) < MEMORY_MB
        finally:
            process.kill()
            process.wait()
            for far in clients:
                far.close()


def send_until_blocked(far, number, octets):
    """Sends queries until the system accepts no more of them, half a megabyte at most."""
    rest = b"".join(write(f"{number}-{turn}", octets) for turn in range(max(4, (512 << 10) // (octets + 200))))
    try:
        while rest:
            rest = rest[far.send(rest) :]
    except OSError:
        pass  # the gateway has paused reading or closed the connection


STEP = st.tuples(st.integers(0, 5), st.integers(0, 60), st.integers(0, 60), st.booleans())


@given(st.lists(STEP, max_size=60))
def test_reservations_stay_within_the_limit_and_waiting_connections_are_listed(steps):
    budget, occupied = MemoryBudget(100), {}
    for number, size, more, leaves in steps:
        if leaves:
            budget.release(number)
            occupied.pop(number, None)
        else:
            before = budget.used - occupied.get(number, 0)
            fits = budget.reserve(number, size, size + more)
            assert fits == (size + more == 0 or before + size + more <= budget.limit)
            occupied[number] = size + more if fits else size
            assert (number in budget.waiting()) == (not fits and budget.used < budget.limit)
        assert budget.used == sum(occupied.values())


def test_a_client_without_memory_budget_is_read_again_once_others_are_answered():
    world = World()
    world.factory._memory = MemoryBudget(12_000)
    first, transport = world.connect()
    first.dataReceived(b"".join(query(READ.replace("a1", f"f{number}")) for number in range(8)))
    other, second = world.connect()
    large = query(WRITE.replace("9f03", "9f" * 1000).replace("7f3a", "another"))
    other.dataReceived(large[:100])
    assert second.producerState == "paused"
    figures = {"used": world.factory._memory.used, "limit": 12_000, "waiting": 1}
    assert ("client_memory_bound", figures) in world.log.lines and world.factory.memory_view() == figures
    for at in range(8):  # an answer may release the next request
        world.backend.out[at][1].attempt_done(Reply("ok", b"x"))
    assert second.producerState == "producing" and transport.value().count(READY) == 8
    other.dataReceived(large[100:])
    world.backend.out[-1][1].attempt_done(Reply("ok", b"y"))
    assert second.value() == b"y" + READY
