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
from yardbank.platform.memory_budget import GUARANTEED_OCTETS, MIN_SHARED_OCTETS, MemoryBudget, Reservation

MEMORY_MB = 64
SERVICES = [
    {"name": "lookup", "aim": SECOND, "hard_limit": 20 * SECOND, "effect": "pure"},
    {"name": "commit", "aim": SECOND, "hard_limit": 20 * SECOND, "effect": "side_effect"},
]
LARGEST_VALUE = "9f" * (64 << 10)
MAX_COMMANDS = 1200  # of one client


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
@pytest.mark.parametrize(
    ("octets", "connections", "sockets"),
    [(128 << 10, 150, 256), (8 << 10, 150, 256), (256, 150, 256), (2, 340, 1024)],
    ids=["large", "middle", "small", "hundreds of short commands"],
)
def test_many_clients_sending_large_requests_stay_within_the_memory_limit(tmp_path, octets, connections, sockets):
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listening:
        threading.Thread(target=hanging_server, args=(listening,), daemon=True).start()
        entry = {**ENTRY, "hostPort": f"127.0.0.1:{listening.getsockname()[1]}"}
        known = {"generation": 41, "reset": True, "instances": [entry]}
        limits = {"cores": 0.5, "memory_mb": MEMORY_MB, "sockets": sockets}
        settings = {**ENV, "services": SERVICES, "ceilings": {"connect_timeout": 500 * MS}}
        process, port, _, _watch = serving(tmp_path, known=known, limits=limits, settings=settings)
        clients = []
        try:
            for _ in range(connections):
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


# Guards against memory that is reserved after the commands of a piece are queued: each further connection adds its own.
@pytest.mark.parametrize(
    "text", [READ.replace("a1", "r{0}"), WRITE.replace("a2", "w{0}"), ""], ids=["reads", "writes", "empty"]
)
def test_commands_are_queued_only_as_far_as_memory_is_reserved_for_them(text):
    limit, short_command = 400_000, 1_500
    memory = MemoryBudget(limit, GUARANTEED_OCTETS)
    world = World(connections=300, budget=memory)
    made = [world.connect() for _ in range(200)]
    for number, (client, _) in enumerate(made):
        slow = query(READ.replace("a1", f"slow-{number}"))  # is not answered, so that those behind it wait
        client.dataReceived(slow + b"".join(query(text.format(f"{number}-{at}")) for at in range(30)))
        world.finish_turns()
    assert memory.used <= MIN_SHARED_OCTETS + len(made) * GUARANTEED_OCTETS
    # The last ones come when the shared memory is used up, and have what is guaranteed to each.
    queued = [client._session.occupied_octets for client, _ in made[150:]]
    assert max(queued) <= GUARANTEED_OCTETS + 30 * len(query(text.format("123-12")))
    assert all(len(client._session.pipeline) > GUARANTEED_OCTETS // short_command - 5 for client, _ in made)
    assert made[-1][1].producerState == "paused"


# Guards against a client that is not read because others use up the memory that all share.
def test_a_short_command_is_read_and_dispatched_whatever_others_occupy():
    world = World(connections=300, budget=MemoryBudget(0, GUARANTEED_OCTETS))
    for number in range(100):
        client, _ = world.connect()
        client.dataReceived(b"".join(query(WRITE.replace("a2", f"w{number}-{at}")) for at in range(30)))
        world.finish_turns()
    assert world.factory.memory.view()["waiting"] > 50
    usual, transport = world.connect()
    usual.dataReceived(query(READ.replace("a1", "usual").replace("7f3a", "its own")))
    assert transport.producerState == "producing"
    (open_command,) = usual._session.pipeline
    assert open_command.request is not None


def send_until_blocked(far, number, octets):
    """Sends queries until the system accepts no more of them, half a megabyte at most."""
    commands = min(MAX_COMMANDS, max(4, (512 << 10) // (octets + 200)))
    rest = b"".join(write(f"{number}-{turn}", octets) for turn in range(commands))
    try:
        while rest:
            rest = rest[far.send(rest) :]
    except OSError:
        pass  # the gateway has paused reading or closed the connection


# Guards against a process that is busy with waking all waiting connections each time that one octet is freed.
def test_freed_memory_is_offered_to_the_next_waiting_connection_until_one_does_not_fit():
    budget = MemoryBudget(100)
    budget.reserve(0, Reservation(0, 60), 0)
    budget.reserve(1, Reservation(0, 40), 0)
    for number in range(2, 50):
        assert not budget.reserve(number, Reservation(0, 30), 0)
    budget.release(1)
    offered = []
    for number in budget.resumable():
        offered.append(number)
        budget.reserve(number, Reservation(0, 30), 0)
    assert offered == [2, 3] and budget.waiting() == list(range(3, 50))


STEP = st.tuples(st.integers(0, 5), st.integers(0, 60), st.integers(0, 60), st.booleans())


@given(st.lists(STEP, max_size=60))
def test_reservations_stay_within_the_limit_and_waiting_connections_are_listed(steps):
    budget, occupied = MemoryBudget(100), {}
    for number, size, more, leaves in steps:
        if leaves:
            budget.release(number)
            occupied.pop(number, None)
        else:
            own = occupied.get(number, 0)
            before = budget.used - own
            fits = budget.reserve(number, Reservation(size, size + more), 0)
            # What a connection has already is never denied to it.
            assert fits == (size + more <= own or before + size + more <= budget.limit)
            occupied[number] = size + more if fits else size
            assert (number in budget.waiting()) == (not fits)
            first = budget.waiting()[:1] if budget.used < budget.limit else []
            assert list(budget.resumable()) == first  # those behind it follow once it does not wait any more
        assert budget.used == sum(occupied.values())


@given(st.lists(STEP, max_size=60), st.integers(0, 40))
def test_guaranteed_octets_always_fit_and_others_only_within_the_shared_limit(steps, guaranteed):
    budget = MemoryBudget(MIN_SHARED_OCTETS, guaranteed)
    unit = MIN_SHARED_OCTETS // 100
    reserved = {}
    for number, _size, more, leaves in steps:
        if leaves:
            budget.release(number)
            reserved.pop(number, None)
            continue
        budget.connected(number)
        wanted = more if more <= guaranteed else more * unit
        own = max(guaranteed, reserved.get(number, 0))
        others = sum(max(0, octets - guaranteed) for other, octets in reserved.items() if other != number)
        fits = budget.reserve(number, Reservation(0, wanted), 0)
        assert fits == (wanted <= own or others + wanted - guaranteed <= budget.shared_limit)
        reserved[number] = wanted if fits else 0
        assert budget.used == sum(reserved.values())
        shared = sum(max(0, octets - guaranteed) for octets in reserved.values())
        assert budget.is_full == (shared >= budget.shared_limit)


def test_a_client_without_memory_budget_is_read_again_once_others_are_answered():
    world = World(budget=MemoryBudget(14_000))
    (first, transport), (other, second) = world.connect(), world.connect()
    first.dataReceived(b"".join(query(READ.replace("a1", f"f{number}")) for number in range(8)))
    large = query(WRITE.replace("9f03", "9f" * 1000).replace("7f3a", "another"))
    other.dataReceived(large[:100])
    assert second.producerState == "paused"
    figures = {"used": world.factory.memory.budget.used, "limit": 14_000, "waiting": 1, "discarded": 0}
    assert ("client_memory_bound", figures) in world.log.lines and world.factory.memory.view() == figures
    for at in range(8):  # an answer may release the next request
        world.backend.out[at][1].attempt_done(Reply("ok", b"x"))
    assert second.producerState == "producing" and transport.value().count(READY) == 8
    other.dataReceived(large[100:])
    world.backend.out[-1][1].attempt_done(Reply("ok", b"y"))
    assert second.value() == b"y" + READY
