"""Snapshots, the store, what is trusted after a restart, and kills at every step."""

import os
import random
import signal
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from tests.support.virtual_gateway import READ, WRITE, FakeBackend, Sink
from yardbank.cli import main
from yardbank.config import load_text
from yardbank.gateway import Call, Gateway, Reply, ServerSpec
from yardbank.gateway.api import MS, ProbeResult
from yardbank.interface import Role, Settings
from yardbank.server_list.document import render
from yardbank.server_list.service import ServerListService
from yardbank.state import Snapshot, SnapshotError, Store, decode, encode, judge
from yardbank.state.recovery import WriteRate, next_generation
from yardbank.state.snapshot import FORMAT, MAGIC, GroupState, ServerState
from yardbank.state.store import StoreError

NAME = st.text(max_size=8)
MARKS = st.dictionaries(NAME, st.lists(st.integers(0, 2**60) | NAME, max_size=3), max_size=2)
SNAPSHOT = st.builds(
    Snapshot,
    st.floats(0, 1e10),
    st.integers(0, 2**40),
    NAME,
    st.booleans(),
    st.lists(st.builds(ServerState, NAME, NAME, NAME, NAME, st.integers(0, 65535), marks=MARKS), max_size=3),
    st.lists(st.builds(GroupState, NAME, MARKS), max_size=2),
)
PLAIN = Snapshot(1e9, 3, "d", True, [ServerState("p", "g", "a", "h", 1, True)], [GroupState("g", {"": [7]})])


@settings(max_examples=150, deadline=None, derandomize=True)
@given(SNAPSHOT)
def test_a_snapshot_is_equal_after_encoding_and_decoding(snapshot):
    assert decode(encode(snapshot)) == snapshot


def test_a_snapshot_damaged_anywhere_is_rejected():
    data = encode(PLAIN)
    for at in range(len(data)):
        with pytest.raises(SnapshotError):
            decode(data[:at])
        if at != 3:
            with pytest.raises(SnapshotError):
                decode(data[:at] + bytes((data[at] ^ 0x41,)) + data[at + 1 :])


def test_a_later_format_is_rejected_and_format_1_never_counts_as_a_clean_stop():
    import xxhash

    with pytest.raises(SnapshotError, match=f"format {FORMAT + 1}"):
        decode(MAGIC + bytes((FORMAT + 1,)) + encode(PLAIN)[4:])
    old = msgspec.msgpack.encode({"written": 5.0, "version": 2, "digest": "x", "servers": [], "clean": True})
    found = decode(MAGIC + b"\x01" + xxhash.xxh3_64_digest(old) + old)
    assert found == Snapshot(5.0, 2, "x", False, [])  # format 1 never counts as a clean stop


def test_what_is_trusted_follows_from_how_the_last_run_ended():
    assert judge(None, 0).fresh
    after_fault = judge(None, 0, "damaged")
    assert not after_fault.fresh and after_fault.floor_now and not after_fault.use_list
    stopped = judge(PLAIN, 1e9)
    assert stopped.floors == {"g": {"": (7,)}} and not stopped.floor_now and stopped.use_list
    assert judge(msgspec.structs.replace(PLAIN, clean=False), 1e9).floor_now
    assert judge(PLAIN, 1e8).notes


def test_snapshots_are_written_soon_after_a_change_and_at_a_minimum_interval():
    rate = WriteRate(100)
    assert rate.due(0) is None
    rate.changed()
    assert rate.due(0) == 0
    rate.written(0)
    assert rate.due(50) is None
    rate.changed()
    assert rate.due(50) == 50 and rate.due(150) == 0


def test_a_store_locks_its_directory_and_sets_a_damaged_database_aside(tmp_path):
    place = tmp_path / "s"
    store = Store(place)
    assert store.read() is None and not store.had_owner
    size = store.write(PLAIN)
    assert size == len(encode(PLAIN)) and store.read() == PLAIN
    with pytest.raises(StoreError, match="held by another gateway"):
        Store(place)
    store.forget()
    store.close()
    store = Store(place)
    assert store.read() is None and store.had_owner  # a gateway has run here: not a first run
    store.close()
    (place / "data.mdb").write_bytes(b"nonsense" * 1000)
    store = Store(place)
    assert store.fault and store.read() is None and list(place.glob("damaged-*"))
    store.write(PLAIN)
    store.close()
    with pytest.raises(StoreError):
        Store(tmp_path / "file" if (tmp_path / "file").write_text("x") else tmp_path)


SERVERS = [
    ServerSpec("p", "g", "a", "h", 1, True),
    ServerSpec("c", "g", "a", "h", 2),
    ServerSpec("d", "g", "a", "h", 3),
]
SETTINGS = """
listener "ldap" {
  port = 0
}
backend "ldap" {
}
group "g" {
  suffix = "dc=g"
}
membership {
  path = "list.hcl"
}
state {
  path = "state"
}
class "read" {
  effect = "safe"
  read = "session"
  aim = "400ms"
  deadline = "1s"
}
"""


class ProcessKilled(BaseException):
    """Stands for a kill of the process at this point."""


class GatewayRun:
    """One run of a gateway on a state folder; positions of the servers outlast it."""

    def __init__(self, folder, clock, positions, seed=1):
        self.clock, self.positions, self.lines = clock, positions, []
        self.backend = FakeBackend()
        self.backend.position = lambda server: ProbeResult(
            {"": (positions["log"] if server.name == "p" else positions[server.name],)}, server.name == "p"
        )
        gateway_settings = Settings(
            seed, "a", 1, (READ, WRITE), reports="probe", may_probe=True, may_cancel=True, max_attempts=4
        )
        self.gateway = Gateway(
            gateway_settings, self.backend, reactor=clock, seconds=clock.seconds, wall=clock.seconds, log=self
        )
        self.list_service = ServerListService(load_text(SETTINGS), self.gateway, clock, folder, 0, self, clock.seconds)
        self.list_service.watcher._notify = False
        self.list_service.start()
        self.pass_time(0.05)

    def bind(self, **facts):
        return self

    def __getattr__(self, name):
        if name in ("info", "debug", "warning", "error"):
            return lambda event, **facts: self.lines.append((event, facts))
        raise AttributeError(name)

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def send(self, kind):
        sink = Sink()
        self.gateway.take(Call(kind, "g", "op", sink, "roams"))
        return sink

    def write(self):
        """Makes a write that is answered: every later read of its session must see it."""
        sink = self.send("write")
        self.pass_time(0.1)
        out = self.backend.to("p")
        self.positions["log"] += 1
        out.answer(Reply("ok", "", Role.PRIMARY, ("", (self.positions["log"],))))
        assert sink.finals == ["served"]
        self.positions["answered"] = self.positions["log"]

    def read(self):
        """Sends a session's read; returns the servers it went to and checks that none lacks an answered write."""
        before = len(self.backend.sent)
        self.send("read")
        self.pass_time(0.3)
        sent = self.backend.sent[before:]
        for name, _ in sent:
            position = self.positions["log"] if name == "p" else self.positions[name]
            assert position >= self.positions["answered"], "a stale session read"
        for connection in self.backend.connections:
            while connection.out:
                connection.answer()
        return [name for name, _ in sent]

    def kill(self):
        """Ends like kill -9: writes nothing and releases the lock."""
        self.gateway.kill()
        self.list_service.watcher.stop()
        if self.list_service._store is not None:
            self.list_service._store.close()

    def stop(self):
        self.gateway.stop()
        self.pass_time(0.05)
        self.list_service.stop(clean=True)


def make_place(tmp_path):
    (tmp_path / "list.hcl").write_text(render(SERVERS))
    clock = Clock()
    clock.advance(1000)
    return clock, {"log": 5, "answered": 0, "c": 5, "d": 5}


def test_after_a_kill_session_reads_go_only_to_servers_with_all_earlier_writes(tmp_path):
    clock, positions = make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    run.write()
    run.kill()
    run = GatewayRun(tmp_path, clock, positions)  # the replicas lack the write
    assert set(run.read()) == {"p"}
    positions.update(c=6, d=6)
    run.pass_time(0.3)
    assert set(run.read()) <= {"c", "d"}  # the replicas are used again once they have all writes from before the start
    run.kill()


@pytest.mark.parametrize("ended", ["stop", "kill"])
def test_a_restored_older_state_is_treated_as_after_a_crash(tmp_path, ended):
    """A backup from a clean stop is still marked as such after a later run has issued tokens beyond its positions."""
    clock, positions = make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    run.write()
    run.stop()
    data = tmp_path / "state" / "worker-0" / "data.mdb"
    backup = data.read_bytes()
    positions.update(c=6, d=6)
    run = GatewayRun(tmp_path, clock, positions)
    run.write()
    getattr(run, ended)()
    data.write_bytes(backup)
    run = GatewayRun(tmp_path, clock, positions)
    assert ("state", {"note": "the state is an older copy, of run 1; the last was 2"}) in run.lines
    assert set(run.read()) == {"p"}  # the replicas lack the second run's write
    positions.update(c=7, d=7)
    run.pass_time(0.3)
    assert set(run.read()) <= {"c", "d"}
    run.stop()
    run = GatewayRun(tmp_path, clock, positions)
    assert not [facts for event, facts in run.lines if event == "state"]  # its own clean stop again
    run.kill()


def test_the_generation_of_a_run_is_higher_than_any_known_one():
    newer = msgspec.structs.replace(PLAIN, generation=7)
    assert next_generation(None, 0) == 1 and next_generation(newer, 3) == 8 and next_generation(newer, 9) == 10
    assert judge(newer, 1e9, last_generation=7).floors and not judge(newer, 1e9, last_generation=7).floor_now
    older = judge(newer, 1e9, last_generation=8)
    assert older.floor_now and not older.floors and "older copy" in older.notes[0]
    assert not judge(newer, 1e9, last_generation=0).floor_now  # owner file lost: the snapshot's own generation counts


def test_a_store_keeps_the_generation_outside_of_the_database(tmp_path):
    store = Store(tmp_path / "s")
    assert store.apart == 0
    store.begin(12)
    store.begin(3)
    store.close()
    store = Store(tmp_path / "s")
    assert store.apart == 3
    store.close()
    (tmp_path / "s" / "owner").write_text("nonsense")
    assert Store(tmp_path / "s").apart == 0


def test_after_a_clean_stop_the_floor_is_the_last_issued_position(tmp_path):
    clock, positions = make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    run.write()
    run.stop()
    positions.update(c=6, log=9)  # others wrote meanwhile; the replica has this session's write and no later one
    run = GatewayRun(tmp_path, clock, positions)
    run.pass_time(0.2)
    assert "c" in run.read() + run.read() + run.read()
    run.kill()


def test_a_first_run_has_no_floors(tmp_path):
    clock, positions = make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    assert run.gateway._router.sessions.floors == {}
    run.kill()


def test_the_last_valid_list_is_used_after_a_restart_and_its_drains_still_apply(tmp_path):
    clock, positions = make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    draining = [SERVERS[0], SERVERS[1], ServerSpec("d", "g", "a", "h", 3, state="draining")]
    (tmp_path / "list.hcl").write_text(render(draining))
    run.pass_time(1.5)
    assert run.gateway._router.servers[3].draining
    run.kill()
    (tmp_path / "list.hcl").write_text("broken {")
    run = GatewayRun(tmp_path, clock, positions)
    assert any(event == "list_rejected" for event, _ in run.lines)
    names = {run.gateway._endpoints.specs[name].state for name in run.gateway._endpoints.specs}
    assert names == {"ready", "draining"} and run.gateway.list_version == 2
    for _ in range(10):
        assert "d" not in run.read()
    run.kill()


@pytest.mark.parametrize("seed", range(200))
def test_after_a_kill_at_any_step_the_next_run_serves_no_stale_or_drained_reads(tmp_path, seed, monkeypatch):
    """Writes, lists, stops and kills in random order; a kill comes between steps, or before or after a store's write."""
    rng, (clock, positions) = random.Random(seed), make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    drained_names: set[str] = set()
    for _ in range(8):
        step = rng.choice(["write", "write", "read", "copy", "list", "kill", "kill in write", "stop"])
        if step == "write":
            run.write()
        elif step == "read":
            assert not drained_names & set(run.read())
        elif step == "copy":
            positions[rng.choice("cd")] = positions["log"]
        elif step == "list":
            drained = rng.choice(["", "c", "d"])
            specs = [
                s if s.name != drained else ServerSpec(s.name, s.group, s.zone, s.host, s.port, state="draining")
                for s in SERVERS
            ]
            (tmp_path / "list.hcl").write_text(render(specs))
            run.pass_time(1.5)
            drained_names = {drained} - {""}
        else:
            if step == "stop":
                run.stop()
            elif step == "kill":
                run.kill()
            else:
                write, when = Store.write, rng.random()

                def killed_write(store, snapshot, write=write, when=when):
                    if when < 0.5:
                        raise ProcessKilled
                    write(store, snapshot)
                    raise ProcessKilled

                monkeypatch.setattr(Store, "write", killed_write)
                with pytest.raises(ProcessKilled):
                    run.list_service._write(clean=rng.random() < 0.5 and not run.gateway.unanswered)
                monkeypatch.setattr(Store, "write", write)
                run.kill()
            run = GatewayRun(tmp_path, clock, positions)
            assert not drained_names & set(run.read())
    run.read()
    run.kill()


WRITER = """
import sys
from pathlib import Path
from yardbank.state import Snapshot, Store
from yardbank.state.snapshot import ServerState
store, number = Store(Path(sys.argv[1])), 0
found = store.read()
number = found.version if found else 0
assert not store.fault, store.fault
print("up", flush=True)
while True:
    number += 1
    store.write(Snapshot(1.0, number, "d" * 5000, False, [ServerState("s" * 50, "g", "z", "h", 1)] * 50))
    print(number, flush=True)
"""


def test_a_sigkill_during_writes_leaves_an_intact_snapshot(tmp_path):
    """SIGKILL at random moments: the last snapshot reported as written, or a later one, is intact."""
    rng, reported = random.Random(3), 0
    for _ in range(12):
        command = [sys.executable, "-c", WRITER, str(tmp_path / "s")]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert process.stdout.readline() == "up\n"
        for _ in range(rng.randrange(1, 30)):
            reported = int(process.stdout.readline())
        os.kill(process.pid, signal.SIGKILL)
        process.wait()
        store = Store(tmp_path / "s")
        assert store.read().version >= reported and not store.fault
        store.close()


def test_a_store_that_cannot_be_written_is_not_taken_for_a_clean_stop(tmp_path, monkeypatch):
    clock, positions = make_place(tmp_path)
    run = GatewayRun(tmp_path, clock, positions)
    run.write()
    run.stop()

    def fail_with_full_disk(store, snapshot):
        raise StoreError(28, "No space left on device")

    monkeypatch.setattr(Store, "write", fail_with_full_disk)
    run = GatewayRun(tmp_path, clock, positions)  # the run cannot mark the state as in use
    assert any(event == "state_not_written" for event, _ in run.lines)
    positions.update(c=6, d=6)
    run.write()
    run.kill()
    monkeypatch.undo()
    run = GatewayRun(tmp_path, clock, positions)
    assert set(run.read()) == {"p"}
    run.kill()


def test_a_gateway_with_a_locked_store_serves_without_it(tmp_path):
    clock, positions = make_place(tmp_path)
    first, second = GatewayRun(tmp_path, clock, positions), GatewayRun(tmp_path, clock, positions)
    assert any("held by another" in str(facts) for _, facts in second.lines)
    assert second.gateway._router.sessions.floors  # as after a crash
    second.read()
    second.kill()
    first.kill()


def test_many_restarts_at_once_do_not_overload_a_server(tmp_path):
    """200 gateways restart within two seconds, each with a floor; probes and connections at one server stay bounded."""
    clock, positions = make_place(tmp_path)
    unused_runs, seen = [], {"probes": 0, "connections": 0}
    gateway_settings = Settings(
        1, "a", 200, (READ, WRITE), reports="probe", may_probe=True, may_cancel=True, max_attempts=4
    )
    most = {"probes": 0}
    rng = random.Random(1)
    at = sorted(rng.random() * 2 for _ in range(200))
    gateways, per_bin = [], {}

    class CountingBackend(FakeBackend):
        def __init__(self):
            super().__init__()
            self.position = self.count_probe

        def count_probe(self, server):
            slot = (server.name, int(clock.seconds() * 10))
            per_bin[slot] = per_bin.get(slot, 0) + 1
            return ProbeResult({"": (positions["log"],)}, server.name == "p")

    now = 0.0
    for number, start in enumerate(at):
        clock.advance(start - now)
        now = start
        backend = CountingBackend()
        gateway = Gateway(gateway_settings, backend, reactor=clock, seconds=clock.seconds, wall=clock.seconds)
        gateway.restarted(True, {})
        gateway.apply_list(SERVERS)
        gateways.append((gateway, backend))
        for asked, _ in gateways[-40:]:
            asked.take(Call("read", "g", "op", Sink(), f"s{number}"))
        for _, other in gateways:
            for connection in other.connections:
                while connection.out:
                    connection.answer()
    most["probes"] = max(per_bin.values())
    seen["connections"] = max(len([c for c in b.connections if c.server.name == "p"]) for _, b in gateways)
    assert most["probes"] <= 200 and seen["connections"] <= 1  # in a tenth of a second; from one gateway
    assert len(unused_runs) == 0 and all(g.unanswered == 0 for g, _ in gateways)


def test_state_commands_show_and_verify_a_store(tmp_path):
    store = Store(tmp_path / "s")
    store.write(PLAIN)
    store.close()
    invoke = lambda *words: CliRunner().invoke(main, ["state", *map(str, words)])  # noqa: E731
    shown = invoke("show", tmp_path / "s")
    assert shown.exit_code == 0 and "version 3" in shown.output and "primary" in shown.output
    assert invoke("verify", tmp_path / "s").exit_code == 0
    assert invoke("verify", tmp_path / "none").exit_code == 2
    (tmp_path / "s" / "data.mdb").write_bytes(b"x" * 9000)
    assert invoke("verify", tmp_path / "s").exit_code == 2


def test_settle_time_defaults_to_20_ms():
    assert load_text(SETTINGS).membership.settle == 20 * MS
