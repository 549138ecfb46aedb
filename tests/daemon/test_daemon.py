"""Worker processes, restarts, signals, slow clients, clocks with an error, and the demo with its faults compressed."""

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
from yardbank.daemon.restarts import RestartBackoff
from yardbank.ldap import messages as m
from yardbank.proxy import Proxy
from yardbank.server_list.watcher import Watcher
from yardbank.state import Store
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD
from yardbank.testing.ports import free_port
from yardbank.testing.rig.client import connect


def log_lines(path):
    return [json.loads(line) for line in path.read_text().splitlines() if line.startswith("{")]


def send_without_reading(slow, front, count):
    """A client sends many requests and reads no answers, with small socket buffers; call it in the reactor."""
    slow.client.transport.pauseProducing()
    slow.client.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    front.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    request = m.SearchRequest("ou=numbers,dc=porting", 2, m.Present("objectClass"))
    return [[slow.client.request(request) for _ in range(count)]]  # nested, so that the deferreds are not waited for


def test_restart_delays_grow_until_a_worker_runs_long_enough():
    backoff = RestartBackoff(first_wait=0.1, max_wait=1.0, min_uptime=10.0)
    waits = []
    for now in range(6):
        backoff.started(now)
        waits.append(backoff.died(now + 0.5))
    assert waits == [0.0, 0.1, 0.2, 0.4, 0.8, 1.0]
    backoff.started(10)
    assert backoff.died(25) == 0.0


def test_workers_share_a_port_and_a_dead_one_is_restarted(tmp_path):
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
            assert Desk(place, "still").modify().code == 0  # the last valid settings stay in effect
            process.send_signal(signal.SIGTERM)
            assert process.wait(20) == 0
            assert len(events("stopped")) >= 2
        finally:
            process.kill()


# Guards against a start that fails after its sockets are open and leaves them open.
def test_a_proxy_whose_list_watch_fails_at_the_start_leaves_nothing_open(tmp_path, monkeypatch):
    port = free_port()
    text = f'listener "ldap" {{\n  port = {port}\n}}\nbackend "ldap" {{\n}}\ngroup "g" {{\n  suffix = "dc=g"\n}}\n'
    text += 'class "read" {\n  effect = "safe"\n  read = "session"\n  aim = "400ms"\n  deadline = "1s"\n}\n'
    config = load_text(text + 'membership {\n  path = "list.hcl"\n}\nstate {\n  path = "state"\n}\n')

    def fail_to_watch(watcher):
        raise OSError("no watch can be had")

    monkeypatch.setattr(Watcher, "start", fail_to_watch)
    ensure_reactor()
    proxy = run(lambda: Proxy(config, reactor, folder=tmp_path))
    with pytest.raises(OSError, match="no watch"):
        run(proxy.start)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port), timeout=30)
    Store(tmp_path / "state" / "worker-0").close()  # its lock was released


def test_a_reload_with_settings_that_need_a_restart_changes_nothing():
    from yardbank.config import load_text

    with world() as place:
        text = place.settings()
        before = place.proxy.config
        with pytest.raises(ValueError, match="limits: cannot change in service"):
            run(place.proxy.reload, load_text(text + "limits {\n  max_open = 5\n}\n"))
        assert place.proxy.config is before


def test_a_slow_client_is_paused_and_others_are_served():
    with world(entries=200) as place:
        slow, other = Desk(place, "slow"), Desk(place, "other")
        front = next(iter(place.proxy._factories[0].clients))

        (waiting,) = run(send_without_reading, slow, front, 300)
        until(lambda: front._unread is not None)  # reading from the client is paused
        assert other.modify().code == 0
        assert front._unread <= front._options.max_unread
        run(slow.client.transport.resumeProducing)
        answers = run(lambda: gatherResults(waiting))
        assert len(answers) == 300 and any(len(answer.entries) == 201 for answer in answers)


def test_a_client_that_never_reads_is_disconnected_at_the_bound():
    with world(entries=200, extra="") as place:
        factory = place.proxy._factories[0]
        factory.options = replace(factory.options, max_unread=20_000)
        slow, other = Desk(place, "slow"), Desk(place, "other")
        front = next(iter(factory.clients))

        run(send_without_reading, slow, front, 300)
        until(lambda: front not in factory.clients)
        assert other.modify().code == 0


def test_a_stop_completes_only_after_the_last_messages_are_written():
    """A process exits when ``stop`` fires, and anything not written by then would be lost."""
    with world() as place:
        desks = [Desk(place, f"desk-{number}") for number in range(5)]
        factory, clients_at_stop = place.proxy._factories[0], []
        run(lambda: place.stop_gateway().addCallback(lambda _: clients_at_stop.append(len(factory.clients))))
        assert clients_at_stop == [0]
        until(lambda: all(desk.client.gone for desk in desks))
        assert all(desk.client.reason for desk in desks)  # the notice of disconnection arrived


def test_a_client_that_reads_nothing_delays_a_stop_only_briefly(monkeypatch):
    monkeypatch.setattr("yardbank.ldap.front.LAST_WORDS", 0.05)
    with world(entries=200) as place:
        slow = Desk(place, "slow")
        front = next(iter(place.proxy._factories[0].clients))

        run(send_without_reading, slow, front, 20)
        until(lambda: front._unread is not None)
        factory = place.proxy._factories[0]
        run(place.stop_gateway)
        until(lambda: not factory.clients)


@pytest.mark.parametrize("daemon", [False, True], ids=["library", "daemon"])
def test_the_demo_with_compressed_faults_keeps_every_rule(tmp_path, daemon):
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


def test_demo_stay_writes_how_to_connect(tmp_path):
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
        for number in range(50):  # the printed example promises this on a second connection too
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


class FakeMachine:
    """A fake of the machine's clock and of a reactor's poll timeout."""

    def __init__(self):
        self.now = 50.0

    def monotonic(self):
        return self.now

    def time(self):
        return 1e9 + self.now

    def timeout(self):
        return 3.0


def test_a_fast_clock_converts_the_reactor_timeout_to_machine_seconds(monkeypatch):
    machine = FakeMachine()
    monkeypatch.setattr("yardbank.daemon.clocks.time", machine)
    clocks, reactor = Clocks(rate=1.5, offset=-7200.0), FakeMachine()
    clocks.set(reactor)
    machine.now += 10
    assert clocks.seconds() == reactor.seconds() == 65.0 and reactor.timeout() == 2.0
    assert clocks.wall() == 1e9 + 65.0 - 7200.0 and clocks.odd
    unchanged = Clocks()
    unchanged.set(reactor)
    machine.now += 5
    assert not unchanged.odd and reactor.seconds() == machine.now and unchanged.wall() == machine.time()
