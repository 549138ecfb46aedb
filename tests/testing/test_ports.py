"""Free ports: each is given to one process only, and none is an ephemeral port of the system."""

import socket
import subprocess
import sys

import pytest

from yardbank.testing.ports import BLOCK_PORTS, FIRST_PORT, LAST_PORT, PortSupply, ReservedPort, free_port

TAKE = (
    "import sys; from yardbank.testing.ports import free_port; print(*[free_port() for _ in range(300)], flush=True);"
    "sys.stdin.read()"
)


# Guards against giving one port to two processes: the second one to listen failed to start.
def test_concurrent_processes_get_different_ports():
    processes = [
        subprocess.Popen([sys.executable, "-c", TAKE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for _ in range(6)
    ]
    try:
        taken = [set(process.stdout.readline().split()) for process in processes]
    finally:
        for process in processes:
            process.communicate("")
    assert sum(len(ports) for ports in taken) == len(set().union(*taken)) >= 6 * (BLOCK_PORTS - 1)
    assert all(FIRST_PORT <= int(port) < LAST_PORT for ports in taken for port in ports)


def test_ports_in_use_are_skipped_and_a_full_block_is_followed_by_another():
    supply = PortSupply()
    listening = [socket.create_server(("127.0.0.1", supply.take())) for _ in range(BLOCK_PORTS + 1)]
    assert len({each.getsockname()[1] for each in listening}) == BLOCK_PORTS + 1
    for each in listening:
        each.close()


def test_the_ports_are_below_the_ephemeral_range():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first = int(file.read().split()[0])
    assert first >= LAST_PORT


def test_a_reserved_port_can_be_listened_on_again_despite_open_connections():
    reserved, kept = ReservedPort(), []
    for _ in range(3):
        listening = socket.socket(fileno=socket.dup(reserved.listen()))
        kept.append(socket.create_connection(("127.0.0.1", reserved.number), timeout=30))
        listening.setblocking(True)
        kept.append(listening.accept()[0])
        listening.close()
        reserved.refuse()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", reserved.number), timeout=30)
    reserved.refuse()  # a second call has no effect
    assert reserved.number != free_port()
    for each in kept:
        each.close()
