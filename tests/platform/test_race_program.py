"""Crossings of an attempt on its way out, at the sockets of the real program; servers and discovery do as told."""

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

from tests.support.platform import AUTHENTICATED, ENTRY, ENV, HEAD, READ, READY, START, chunk, query, row, serving
from yardbank.platform.client import EMPTY

TCP_FIN_WAIT1 = 4  # of Linux: an end was sent that the other side has not acknowledged


def asked(number, limit_ms=20_000):
    """A read of its own number, with time enough for a slow machine."""
    return query(
        READ.replace("id=a1", f"id={number}").replace("d=480", f"d={limit_ms}").replace("cluster=2", "cluster=3")
    )


def settings(aim):
    """One class of reads, with an aim and a deadline (s); a connection may take as long as it likes."""
    service = {"name": "lookup", "aim": aim * 10**9, "hard_limit": aim * 10**9, "effect": "pure", "late_worth": 1.0}
    ceilings = {"max_attempts": 4, "connect_timeout": 60 * 10**9, "idle_close": 600 * 10**9}
    return {**ENV, "domain": {**ENV["domain"], "class_read": ["eventual"]}, "services": [service], "ceilings": ceilings}


class Fleet:
    """The program, a client, two servers that speak when told, and discovery; all octets are the test's."""

    def __init__(self, tmp_path, aim=20):
        self.listening = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        for each in self.listening:
            each.settimeout(60)
        self.ports = [each.getsockname()[1] for each in self.listening]
        known = {"generation": 41, "reset": True, "instances": [self.entry(0)]}
        self.process, self.port, _, _ = serving(tmp_path, self.ports[2], settings=settings(aim), known=known)
        self.watch = self.accept(2)
        self.watch.recv(1000)
        self.bystander = self.client()

    def entry(self, server, **change):
        return {**ENTRY, "instanceId": f"s-{server}", "hostPort": f"127.0.0.1:{self.ports[server]}", **change}

    def accept(self, server):
        """The program's connection to one of the listening sockets."""
        made, _ = self.listening[server].accept()
        made.settimeout(60)
        return made

    def opening(self, server):
        """A connection of the program's to a server that has said nothing yet."""
        made = self.accept(server)
        assert b"backend" in made.recv(1000)
        return made

    def client(self):
        made = socket.create_connection(("127.0.0.1", self.port), timeout=60)
        made.sendall(START + query(""))
        assert until(made, EMPTY)
        return made

    def tell(self, *instances):
        """Discovery tells what has changed."""
        told = {"generation": 42, "reset": False, "instances": instances}
        self.watch.sendall(HEAD + chunk(orjson.dumps(told) + b"\n"))

    def hears_the_list(self):
        """The program has taken it."""
        return json.loads(next(line for line in self.process.stderr if b"list_applied" in line))

    def stand_still(self):
        """Stop the process, with nothing that its sockets brought before still to be looked at."""
        self.bystander.sendall(query(""))
        assert until(self.bystander, EMPTY)
        self.process.send_signal(signal.SIGSTOP)
        assert os.WIFSTOPPED(os.waitpid(self.process.pid, os.WUNTRACED)[1])

    def go_on(self):
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


def until(end, last):
    """What comes up to some last octets."""
    got = b""
    while not got.endswith(last):
        more = end.recv(1 << 16)
        assert more, got
        got += more
    return got


def arrived(end):
    """Wait until the system at the other end has all that was sent, and the end if there was one."""
    while fcntl.ioctl(end, termios.TIOCOUTQ, bytes(4)) != bytes(4):
        pass


def leave(client):
    """The client's end has arrived when this returns."""
    client.shutdown(socket.SHUT_WR)
    while client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_FIN_WAIT1:
        pass
    client.close()


def silent(end):
    """Whether nothing but an end has come."""
    end.setblocking(False)
    try:
        return end.recv(1000) == b""
    except BlockingIOError:
        return True


@pytest.mark.parametrize(
    "stopped", ["", "server last", "server first"], ids=["heard first", "the server last", "the server first"]
)
def test_a_client_that_leaves_while_a_connection_opens_has_nothing_sent(fleet, stopped):
    client = fleet.client()
    client.sendall(asked("gone"))
    server = fleet.opening(0)
    other = fleet.client()
    if stopped:
        fleet.stand_still()
    if stopped == "server first":
        server.sendall(AUTHENTICATED)
        arrived(server)
    leave(client)
    if not stopped:
        other.sendall(query(""))  # its answer comes after the end was read, which was there before
        assert until(other, EMPTY)
    if stopped != "server first":
        server.sendall(AUTHENTICATED)
        arrived(server)
    if stopped:
        fleet.go_on()
    other.sendall(asked("stays"))
    first = server.recv(1000)  # the connection serves others
    assert b"id=stays" in first and b"id=gone" not in first
    server.sendall(row() + READY)
    assert until(other, row() + READY)


@pytest.mark.parametrize(
    "stopped", ["", "server last", "server first"], ids=["heard first", "the server last", "the server first"]
)
@pytest.mark.parametrize("turn", ["drains", "gone", "moved"])
def test_what_waits_for_a_server_that_turns_while_a_connection_to_it_opens_goes_elsewhere(fleet, turn, stopped):
    client = fleet.client()
    client.sendall(asked("a1"))
    old = fleet.opening(0)
    if stopped:
        fleet.stand_still()
    if stopped == "server first":
        old.sendall(AUTHENTICATED)
        arrived(old)
    if turn == "moved":
        fleet.tell(fleet.entry(0, hostPort=f"127.0.0.1:{fleet.ports[1]}"))
    else:
        fleet.tell(
            fleet.entry(0, lifecycle="Terminating" if turn == "drains" else "Gone"), fleet.entry(1, part="replica")
        )
    if not stopped:
        assert fleet.hears_the_list()["changed"] == (1 if turn == "moved" else 2)
    arrived(fleet.watch)
    if stopped != "server first":
        old.sendall(AUTHENTICATED)
        arrived(old)
    if stopped:
        fleet.go_on()
    new = fleet.opening(1)
    new.sendall(AUTHENTICATED)
    assert b"id=a1" in new.recv(1000)
    new.sendall(row() + READY)
    assert until(client, row() + READY) and silent(old)


def test_an_answer_with_a_reset_right_behind_it_is_the_answer(fleet):
    client = fleet.client()
    client.sendall(asked("a1"))
    server = fleet.opening(0)
    server.sendall(AUTHENTICATED)
    assert b"id=a1" in server.recv(1000)
    fleet.stand_still()
    server.sendall(row() + READY)
    arrived(server)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server.close()
    fleet.go_on()
    assert until(client, row() + READY)


@pytest.mark.parametrize("fleet", [2], indirect=True)
def test_an_answer_that_came_while_the_process_stood_still_beats_its_deadline(fleet):
    client = fleet.client()
    client.sendall(asked("a1", 2000))
    server = fleet.opening(0)
    server.sendall(AUTHENTICATED)
    assert b"id=a1" in server.recv(1000)
    fleet.stand_still()
    server.sendall(row() + READY)
    arrived(server)
    time.sleep(2.1)  # the time limit passes; were it shorter, the answer would be the same
    fleet.go_on()
    assert client.recv(1 << 16) == row() + READY
