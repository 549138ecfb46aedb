"""The thin shell: workers on one port, restarts, signals; and a compressed bad day, both ways."""

import json
import os
import signal
import socket
import subprocess
import sys
from dataclasses import replace

import pytest
from twisted.internet import reactor
from twisted.internet.defer import gatherResults

from tests.support.reactor_thread import Desk, ensure_reactor, run, shown, until, world
from tests.support.router_world import wait_for
from yardbank.config import load_text
from yardbank.daemon.clocks import Clocks
from yardbank.daemon.restarts import Restarts
from yardbank.ldap import messages as m
from yardbank.proxy import Proxy
from yardbank.server_list.watcher import Watcher
from yardbank.state import Store
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD
from yardbank.testing.ports import free_port
from yardbank.testing.rig.client import connect


def log_lines(path):
    return [json.loads(line) for line in path.read_text().splitlines() if line.startswith("{")]


def flood(slow, front, count):
    """A client asks for much and reads nothing, through buffers as small as they can be; call in the reactor."""
    slow.client.transport.pauseProducing()
    slow.client.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    front.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    request = m.SearchRequest("ou=numbers,dc=porting", 2, m.Present("objectClass"))
    return [[slow.client.request(request) for _ in range(count)]]  # within a list: none of them is waited for


def test_restarts_wait_longer_each_time_until_one_lives_long():
    plan = Restarts(first=0.1, most=1.0, settled=10.0)
    waits = []
    for now in range(6):
        plan.started(now)
        waits.append(plan.died(now + 0.5))
    assert waits == [0.0, 0.1, 0.2, 0.4, 0.8, 1.0]
    plan.started(10)
    assert plan.died(25) == 0.0


def test_workers_share_a_port_and_a_dead_one_is_started_again(tmp_path):
    with world(start=False) as place:
        place.port = free_port()
        file, log = tmp_path / "g.hcl", tmp_path / "log"
        file.write_text(place.settings().replace('level = "warning"', 'level = "info"'))
        with log.open("wb") as out:
            command = [sys.executable, "-m", "yardbank", "serve", str(file), "--workers", "2"]
            process = subprocess.Popen(command, stderr=out)
        try:

            def events(name):
                return [line for line in log_lines(log) if line["event"] == name]

            wait_for(lambda: len(events("listening")) == 2)
            desk = Desk(place)
            assert desk.modify().code == 0
            os.kill(events("worker_started")[0]["pid"], signal.SIGKILL)
            wait_for(lambda: len(events("listening")) == 3)
            assert events("worker_died")[0]["signal"] == signal.SIGKILL
            assert Desk(place, "again").modify().code == 0
            process.send_signal(signal.SIGHUP)
            wait_for(lambda: len(events("reloaded")) == 2)
            file.write_text("nonsense {")
            process.send_signal(signal.SIGHUP)
            wait_for(lambda: len(events("reload_rejected")) == 2)
            assert str(file) in events("reload_rejected")[0]["fault"]
            assert Desk(place, "still").modify().code == 0  # the last good settings serve on
            process.send_signal(signal.SIGTERM)
            assert process.wait(20) == 0
            assert len(events("stopped")) >= 2
        finally:
            process.kill()


# Guards against a start that fails after its sockets are open and leaves them open.
def test_a_proxy_whose_list_cannot_be_watched_at_the_start_leaves_nothing_open(tmp_path, monkeypatch):
    port = free_port()
    text = f'listener "ldap" {{\n  port = {port}\n}}\nbackend "ldap" {{\n}}\ngroup "g" {{\n  suffix = "dc=g"\n}}\n'
    text += 'class "read" {\n  effect = "safe"\n  read = "session"\n  aim = "400ms"\n  deadline = "1s"\n}\n'
    config = load_text(text + 'membership {\n  path = "list.hcl"\n}\nstate {\n  path = "state"\n}\n')

    def no_watch(watcher):
        raise OSError("no watch can be had")

    monkeypatch.setattr(Watcher, "start", no_watch)
    ensure_reactor()
    proxy = run(lambda: Proxy(config, reactor, folder=tmp_path))
    with pytest.raises(OSError, match="no watch"):
        run(proxy.start)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port), timeout=30)
    Store(tmp_path / "state" / "worker-0").close()  # its lock is free again


def test_settings_that_cannot_change_in_service_are_refused_whole():
    from yardbank.config import load_text

    with world() as place:
        text = place.settings()
        before = place.proxy.config
        with pytest.raises(ValueError, match="limits: cannot change in service"):
            run(place.proxy.reload, load_text(text + "limits {\n  max_open = 5\n}\n"))
        assert place.proxy.config is before


def test_a_slow_reader_is_held_back_and_others_are_served():
    with world(entries=200) as place:
        slow, other = Desk(place, "slow"), Desk(place, "other")
        front = next(iter(place.proxy._factories[0].clients))

        (waiting,) = run(flood, slow, front, 300)
        until(lambda: front._unread is not None)  # it is not read from any more
        assert other.modify().code == 0
        assert front._unread <= front._options.max_unread
        run(slow.client.transport.resumeProducing)
        answers = run(lambda: gatherResults(waiting))
        assert len(answers) == 300 and any(len(answer.entries) == 201 for answer in answers)


def test_a_reader_that_never_reads_is_dropped_at_the_bound():
    with world(entries=200, extra="") as place:
        factory = place.proxy._factories[0]
        factory.options = replace(factory.options, max_unread=20_000)
        slow, other = Desk(place, "slow"), Desk(place, "other")
        front = next(iter(factory.clients))

        run(flood, slow, front, 300)
        until(lambda: front not in factory.clients)
        assert other.modify().code == 0


def test_a_gateway_has_stopped_only_when_its_last_words_are_out():
    """A process ends when ``stop`` fires; whatever was still to be written then would be lost."""
    with world() as place:
        desks = [Desk(place, f"desk-{number}") for number in range(5)]
        factory, fired = place.proxy._factories[0], []
        run(lambda: place.stop_gateway().addCallback(lambda _: fired.append(len(factory.clients))))
        assert fired == [0]
        until(lambda: all(desk.client.gone for desk in desks))
        assert all(desk.client.reason for desk in desks)  # the notice of disconnection came


def test_a_client_that_takes_nothing_holds_a_stop_up_for_a_moment_only(monkeypatch):
    monkeypatch.setattr("yardbank.ldap.front.LAST_WORDS", 0.05)
    with world(entries=200) as place:
        slow = Desk(place, "slow")
        front = next(iter(place.proxy._factories[0].clients))

        run(flood, slow, front, 20)
        until(lambda: front._unread is not None)
        factory = place.proxy._factories[0]
        run(place.stop_gateway)
        until(lambda: not factory.clients)


@pytest.mark.parametrize("daemon", [False, True], ids=["library", "daemon"])
def test_a_compressed_bad_day_keeps_every_rule(tmp_path, daemon):
    verdict = tmp_path / "verdict.json"
    command = [sys.executable, "-m", "yardbank", "demo", "--seconds", "8", "--json", str(verdict)]
    done = subprocess.run([*command, *(["--daemon"] if daemon else [])], capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(verdict.read_text())
    assert found["held"] and len(found["troubles"]) == 20
    assert all(rule["held"] and rule["judged"] > 0 for rule in found["rules"].values())
    assert found["answers"]["served"] > 100
    rows = {row["class"]: row for row in found["classes"]}
    assert rows["request-state"]["from_copies"] > 0 and rows["number-lookup"]["from_copies"] > 0
    assert sum(row["served"] for row in rows.values()) == found["answers"]["served"]
    assert "By class" in done.stdout and "reads from copies" in done.stdout


def test_demo_stay_says_how_to_reach_it(tmp_path):
    ensure_reactor()
    reach = tmp_path / "reach.json"
    process = subprocess.Popen([sys.executable, "-m", "yardbank", "demo", "--stay", "--json", str(reach)])
    try:
        wait_for(reach.exists)
        found = json.loads(reach.read_text())
        port = int(found["ldap_url"].rpartition(":")[2])
        client = run(connect, reactor, "127.0.0.1", port, "any")
        assert run(client.bind, found["bind_dn"], found["bind_password"]).code == 0
        assert (found["bind_dn"], found["bind_password"]) == (DESK_DN, DESK_PASSWORD)
        change = m.ModifyRequest(found["writable_dn"], ((2, "description", (b"tried",)),))
        assert run(client.request, change).code == 0
        for number in range(50):  # what the printed example promises, on another connection too
            value = b"%d" % number
            change = m.ModifyRequest(found["writable_dn"], ((2, "description", (value,)),))
            assert run(client.request, change).code == 0
            other = run(connect, reactor, "127.0.0.1", port, "other")
            assert run(other.bind, found["bind_dn"], found["bind_password"]).code == 0
            for reader in (client, other):
                seen = run(reader.request, m.SearchRequest(found["writable_dn"], 0, m.Present("objectClass")))
                assert shown(seen) == (value,)
            run(other.leave)
        everything = run(client.request, m.SearchRequest(found["base_dn"], 2, m.Match("=", "cn", b"0")))
        assert everything.code == 0 and len(everything.entries) == 2
        process.send_signal(signal.SIGINT)
        assert process.wait(20) == 0
    finally:
        process.kill()


class Machine:
    """A machine's clock, and a reactor on it."""

    def __init__(self):
        self.now = 50.0

    def monotonic(self):
        return self.now

    def time(self):
        return 1e9 + self.now

    def timeout(self):
        return 3.0


def test_a_clock_that_runs_fast_sleeps_in_the_machines_seconds(monkeypatch):
    machine = Machine()
    monkeypatch.setattr("yardbank.daemon.clocks.time", machine)
    clocks, reactor = Clocks(rate=1.5, offset=-7200.0), Machine()
    clocks.set(reactor)
    machine.now += 10
    assert clocks.seconds() == reactor.seconds() == 65.0 and reactor.timeout() == 2.0
    assert clocks.wall() == 1e9 + 65.0 - 7200.0 and clocks.odd
    usual = Clocks()
    usual.set(reactor)
    machine.now += 5
    assert not usual.odd and reactor.seconds() == machine.now and usual.wall() == machine.time()
