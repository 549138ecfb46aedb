"""Races around a request being sent, at the program's sockets; the test plays clients, servers and discovery."""

import fcntl
import json
import os
import signal
import socket
import struct
import termios
import time

import orjson
import pytest

from tests.support.platform import AUTHENTICATED, ENTRY, ENV, READ, READY, START, chunk, query, row
from tests.support.platform_process import accept_watch, read_until_listening, start_program
from yardbank.platform.client import EMPTY_QUERY_ANSWER

TCP_FIN_WAIT1 = 4  # Linux: a FIN was sent that the peer has not acknowledged


def read_query(number, limit_ms=20_000):
    """A read with its own id, and a time limit long enough for a slow machine."""
    return query(
        READ.replace("id=a1", f"id={number}").replace("d=480", f"d={limit_ms}").replace("cluster=2", "cluster=3")
    )


def settings(aim):
    """One class of reads with the given objective and deadline (s); connecting may take any time."""
    service = {"name": "lookup", "aim": aim * 10**9, "hard_limit": aim * 10**9, "effect": "pure", "late_worth": 1.0}
    ceilings = {"max_attempts": 4, "connect_timeout": 60 * 10**9, "idle_close": 600 * 10**9}
    return {**ENV, "domain": {**ENV["domain"], "class_read": ["eventual"]}, "services": [service], "ceilings": ceilings}


class Fleet:
    """The program, a client, two servers and discovery; the test sends everything that they send."""

    def __init__(self, tmp_path, aim=20):
        self.listening = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        for each in self.listening:
            each.settimeout(60)
        self.ports = [each.getsockname()[1] for each in self.listening]
        known = {"generation": 41, "reset": True, "instances": [self.entry(0)]}
        self.process, self.port, _ = start_program(tmp_path, self.listening[2], settings=settings(aim), known=known)
        self.watch, _ = accept_watch(self.listening[2])
        read_until_listening(self.process)
        self.bystander = self.client()

    def entry(self, server, **change):
        return {**ENTRY, "instanceId": f"s-{server}", "hostPort": f"127.0.0.1:{self.ports[server]}", **change}

    def accept(self, server):
        """Accepts the program's connection to one of the listening sockets."""
        sock, _ = self.listening[server].accept()
        sock.settimeout(60)
        return sock

    def accept_opening(self, server):
        """Accepts a server connection that has received the startup message and answered nothing."""
        made = self.accept(server)
        assert b"backend" in made.recv(1000)
        return made

    def client(self):
        made = socket.create_connection(("127.0.0.1", self.port), timeout=60)
        made.sendall(START + query(""))
        assert receive_until(made, EMPTY_QUERY_ANSWER)
        return made

    def send_list(self, *instances):
        """Sends a change of the server list."""
        listing = {"generation": 42, "reset": False, "instances": instances}
        self.watch.sendall(chunk(orjson.dumps(listing) + b"\n"))

    def wait_for_list(self):
        """Waits until the program has applied the list."""
        return json.loads(next(line for line in self.process.stderr if b"list_applied" in line))

    def suspend(self):
        """Suspends the process once everything received before has been handled."""
        self.bystander.sendall(query(""))
        assert receive_until(self.bystander, EMPTY_QUERY_ANSWER)
        self.process.send_signal(signal.SIGSTOP)
        assert os.WIFSTOPPED(os.waitpid(self.process.pid, os.WUNTRACED)[1])

    def resume(self):
        self.process.send_signal(signal.SIGCONT)


@pytest.fixture
def fleet(tmp_path, request):
    made = Fleet(tmp_path, getattr(request, "param", 20))
    try:
        yield made
    finally:
        made.process.kill()
        made.process.wait()
        made.process.stderr.close()
        for each in made.listening:
            each.close()


def receive_until(end, last):
    """Receives up to the octets ``last``."""
    got = b""
    while not got.endswith(last):
        more = end.recv(1 << 16)
        assert more, got
        got += more
    return got


def wait_delivered(end):
    """Waits until the peer's system has received everything that was sent, including a FIN."""
    while fcntl.ioctl(end, termios.TIOCOUTQ, bytes(4)) != bytes(4):
        pass


def disconnect(client):
    """Closes a client; its FIN has arrived on return."""
    client.shutdown(socket.SHUT_WR)
    while client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_FIN_WAIT1:
        pass
    client.close()


def received_nothing(end):
    """Whether nothing but an end of stream was received."""
    end.setblocking(False)
    try:
        return end.recv(1000) == b""
    except BlockingIOError:
        return True


@pytest.mark.parametrize(
    "stopped", ["", "server last", "server first"], ids=["not suspended", "server last", "server first"]
)
def test_nothing_is_sent_for_a_client_that_disconnects_while_a_server_connection_opens(fleet, stopped):
    client = fleet.client()
    client.sendall(read_query("gone"))
    server = fleet.accept_opening(0)
    other = fleet.client()
    if stopped:
        fleet.suspend()
    if stopped == "server first":
        server.sendall(AUTHENTICATED)
        wait_delivered(server)
    disconnect(client)
    if not stopped:
        other.sendall(query(""))  # answered after the disconnect was read, which had arrived before
        assert receive_until(other, EMPTY_QUERY_ANSWER)
    if stopped != "server first":
        server.sendall(AUTHENTICATED)
        wait_delivered(server)
    if stopped:
        fleet.resume()
    other.sendall(read_query("stays"))
    first = server.recv(1000)  # the connection is used for others
    assert b"id=stays" in first and b"id=gone" not in first
    server.sendall(row() + READY)
    assert receive_until(other, row() + READY)


@pytest.mark.parametrize(
    "stopped", ["", "server last", "server first"], ids=["not suspended", "server last", "server first"]
)
@pytest.mark.parametrize("turn", ["drains", "gone", "moved"])
def test_a_request_goes_elsewhere_if_its_server_drains_leaves_or_moves_while_connecting(fleet, turn, stopped):
    client = fleet.client()
    client.sendall(read_query("a1"))
    old = fleet.accept_opening(0)
    if stopped:
        fleet.suspend()
    if stopped == "server first":
        old.sendall(AUTHENTICATED)
        wait_delivered(old)
    if turn == "moved":
        fleet.send_list(fleet.entry(0, hostPort=f"127.0.0.1:{fleet.ports[1]}"))
    else:
        fleet.send_list(
            fleet.entry(0, lifecycle="Terminating" if turn == "drains" else "Gone"), fleet.entry(1, part="replica")
        )
    if not stopped:
        assert fleet.wait_for_list()["changed"] == (1 if turn == "moved" else 2)
    wait_delivered(fleet.watch)
    if stopped != "server first":
        old.sendall(AUTHENTICATED)
        wait_delivered(old)
    if stopped:
        fleet.resume()
    new = fleet.accept_opening(1)
    new.sendall(AUTHENTICATED)
    assert b"id=a1" in new.recv(1000)
    new.sendall(row() + READY)
    assert receive_until(client, row() + READY) and received_nothing(old)


def test_an_answer_followed_by_a_reset_is_delivered(fleet):
    client = fleet.client()
    client.sendall(read_query("a1"))
    server = fleet.accept_opening(0)
    server.sendall(AUTHENTICATED)
    assert b"id=a1" in server.recv(1000)
    fleet.suspend()
    server.sendall(row() + READY)
    wait_delivered(server)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server.close()
    fleet.resume()
    assert receive_until(client, row() + READY)


@pytest.mark.parametrize("fleet", [2], indirect=True)
def test_an_answer_that_arrived_during_a_stall_is_read_before_the_deadline_fires(fleet):
    client = fleet.client()
    client.sendall(read_query("a1", 2000))
    server = fleet.accept_opening(0)
    server.sendall(AUTHENTICATED)
    assert b"id=a1" in server.recv(1000)
    fleet.suspend()
    server.sendall(row() + READY)
    wait_delivered(server)
    time.sleep(2.1)  # the time limit passes; with a shorter sleep the answer would be the same
    fleet.resume()
    assert client.recv(1 << 16) == row() + READY
