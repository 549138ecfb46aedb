"""What outlives the process: snapshots, what may be trusted after a restart, kills at every step."""

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
def test_a_snapshot_survives_the_way_to_bytes_and_back(snapshot):
    assert decode(encode(snapshot)) == snapshot


def test_a_snapshot_damaged_anywhere_is_refused():
    data = encode(PLAIN)
    for at in range(len(data)):
        with pytest.raises(SnapshotError):
            decode(data[:at])
        if at != 3:
            with pytest.raises(SnapshotError):
                decode(data[:at] + bytes((data[at] ^ 0x41,)) + data[at + 1 :])


def test_formats():
    import xxhash

    with pytest.raises(SnapshotError, match=f"format {FORMAT + 1}"):
        decode(MAGIC + bytes((FORMAT + 1,)) + encode(PLAIN)[4:])
    old = msgspec.msgpack.encode({"written": 5.0, "version": 2, "digest": "x", "servers": [], "clean": True})
    found = decode(MAGIC + b"\x01" + xxhash.xxh3_64_digest(old) + old)
    assert found == Snapshot(5.0, 2, "x", False, [])  # an old format's word is never the last one


def test_what_may_be_trusted():
    assert judge(None, 0).fresh
    after_fault = judge(None, 0, "damaged")
    assert not after_fault.fresh and after_fault.floor_now and not after_fault.use_list
    stopped = judge(PLAIN, 1e9)
    assert stopped.floors == {"g": {"": (7,)}} and not stopped.floor_now and stopped.use_list
    assert judge(msgspec.structs.replace(PLAIN, clean=False), 1e9).floor_now
    assert judge(PLAIN, 1e8).notes


def test_snapshots_are_written_soon_and_not_too_often():
    rate = WriteRate(100)
    assert rate.due(0) is None
    rate.changed()
    assert rate.due(0) == 0
    rate.written(0)
    assert rate.due(50) is None
    rate.changed()
    assert rate.due(50) == 50 and rate.due(150) == 0


def test_the_store(tmp_path):
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
    assert store.read() is None and store.had_owner  # somebody ran here: not fresh
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


class Killed(BaseException):
    """The process ends here."""


class Life:
    """One run of a gateway over a folder; the log of the group outlives it."""

    def __init__(self, folder, clock, truth, seed=1):
        self.clock, self.truth, self.lines = clock, truth, []
        self.backend = FakeBackend()
        self.backend.position = lambda server: ProbeResult(
            {"": (truth["log"] if server.name == "p" else truth[server.name],)}, server.name == "p"
        )
        made = Settings(seed, "a", 1, (READ, WRITE), reports="probe", may_probe=True, may_cancel=True, max_attempts=4)
        self.gateway = Gateway(made, self.backend, reactor=clock, seconds=clock.seconds, wall=clock.seconds, log=self)
        self.keeper = ServerListService(load_text(SETTINGS), self.gateway, clock, folder, 0, self, clock.seconds)
        self.keeper.watcher._notify = False
        self.keeper.start()
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

    def ask(self, kind):
        sink = Sink()
        self.gateway.take(Call(kind, "g", "op", sink, "roams"))
        return sink

    def write(self):
        """A write that is answered: whatever happens later, its session must see it."""
        sink = self.ask("write")
        self.pass_time(0.1)
        out = self.backend.to("p")
        self.truth["log"] += 1
        out.answer(Reply("ok", "", Role.PRIMARY, ("", (self.truth["log"],))))
        assert sink.finals == ["served"]
        self.truth["answered"] = self.truth["log"]

    def read(self):
        """Where a session's read goes: never to a server that lacks what the session was answered."""
        before = len(self.backend.sent)
        self.ask("read")
        self.pass_time(0.3)
        sent = self.backend.sent[before:]
        for name, _ in sent:
            has = self.truth["log"] if name == "p" else self.truth[name]
            assert has >= self.truth["answered"], "a stale session read"
        for connection in self.backend.connections:
            while connection.out:
                connection.answer()
        return [name for name, _ in sent]

    def kill(self):
        """As kill -9 does: nothing is written, the lock is gone with the process."""
        self.gateway.kill()
        self.keeper.watcher.stop()
        if self.keeper._store is not None:
            self.keeper._store.close()

    def stop(self):
        self.gateway.stop()
        self.pass_time(0.05)
        self.keeper.stop(clean=True)


def place(tmp_path):
    (tmp_path / "list.hcl").write_text(render(SERVERS))
    clock = Clock()
    clock.advance(1000)
    return clock, {"log": 5, "answered": 0, "c": 5, "d": 5}


def test_after_a_kill_no_session_reads_too_early(tmp_path):
    clock, truth = place(tmp_path)
    life = Life(tmp_path, clock, truth)
    life.write()
    life.kill()
    life = Life(tmp_path, clock, truth)  # the copies lack the write
    assert set(life.read()) == {"p"}
    truth.update(c=6, d=6)
    life.pass_time(0.3)
    assert set(life.read()) <= {"c", "d"}  # and are used again once they have all from before the start
    life.kill()


@pytest.mark.parametrize("ended", ["stop", "kill"])
def test_an_older_copy_of_the_state_is_not_taken_for_the_last_word(tmp_path, ended):
    """A backup made after a stop in good order calls itself the last word; a later run gave tokens out beyond it."""
    clock, truth = place(tmp_path)
    life = Life(tmp_path, clock, truth)
    life.write()
    life.stop()
    data = tmp_path / "state" / "worker-0" / "data.mdb"
    backup = data.read_bytes()
    truth.update(c=6, d=6)
    life = Life(tmp_path, clock, truth)
    life.write()
    getattr(life, ended)()
    data.write_bytes(backup)
    life = Life(tmp_path, clock, truth)
    assert ("state", {"note": "the state is an older copy, of run 1; the last was 2"}) in life.lines
    assert set(life.read()) == {"p"}  # the copies lack the second run's write
    truth.update(c=7, d=7)
    life.pass_time(0.3)
    assert set(life.read()) <= {"c", "d"}
    life.stop()
    life = Life(tmp_path, clock, truth)
    assert not [facts for event, facts in life.lines if event == "state"]  # its own last word again
    life.kill()


def test_the_number_of_a_run_rises_whatever_is_left():
    newer = msgspec.structs.replace(PLAIN, generation=7)
    assert next_generation(None, 0) == 1 and next_generation(newer, 3) == 8 and next_generation(newer, 9) == 10
    assert judge(newer, 1e9, apart=7).floors and not judge(newer, 1e9, apart=7).floor_now
    older = judge(newer, 1e9, apart=8)
    assert older.floor_now and not older.floors and "older copy" in older.notes[0]
    assert not judge(newer, 1e9, apart=0).floor_now  # the number beside it is lost: the database has its own


def test_a_store_keeps_the_number_of_the_run_apart(tmp_path):
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


def test_after_a_stop_in_good_order_the_floor_is_exact(tmp_path):
    clock, truth = place(tmp_path)
    life = Life(tmp_path, clock, truth)
    life.write()
    life.stop()
    truth.update(c=6, log=9)  # others wrote meanwhile; the copy has this session's write and no more
    life = Life(tmp_path, clock, truth)
    life.pass_time(0.2)
    assert "c" in life.read() + life.read() + life.read()
    life.kill()


def test_a_fresh_gateway_has_no_floor(tmp_path):
    clock, truth = place(tmp_path)
    life = Life(tmp_path, clock, truth)
    assert life.gateway._router.sessions.floors == {}
    life.kill()


def test_the_last_good_list_stands_in_and_its_drains_still_bind(tmp_path):
    clock, truth = place(tmp_path)
    life = Life(tmp_path, clock, truth)
    draining = [SERVERS[0], SERVERS[1], ServerSpec("d", "g", "a", "h", 3, state="draining")]
    (tmp_path / "list.hcl").write_text(render(draining))
    life.pass_time(1.5)
    assert life.gateway._router.servers[3].draining
    life.kill()
    (tmp_path / "list.hcl").write_text("broken {")
    life = Life(tmp_path, clock, truth)
    assert any(event == "list_rejected" for event, _ in life.lines)
    names = {life.gateway._endpoints.specs[name].state for name in life.gateway._endpoints.specs}
    assert names == {"ready", "draining"} and life.gateway.list_version == 2
    for _ in range(10):
        assert "d" not in life.read()
    life.kill()


@pytest.mark.parametrize("seed", range(200))
def test_killed_at_any_step_the_next_run_breaks_no_rule(tmp_path, seed, monkeypatch):
    """Writes, lists, stops and kills in random order; the kill strikes before, within or after a store's write."""
    chance, (clock, truth) = random.Random(seed), place(tmp_path)
    life = Life(tmp_path, clock, truth)
    gone: set[str] = set()
    for _ in range(8):
        step = chance.choice(["write", "write", "read", "copy", "list", "kill", "kill in write", "stop"])
        if step == "write":
            life.write()
        elif step == "read":
            assert not gone & set(life.read())
        elif step == "copy":
            truth[chance.choice("cd")] = truth["log"]
        elif step == "list":
            drained = chance.choice(["", "c", "d"])
            specs = [
                s if s.name != drained else ServerSpec(s.name, s.group, s.zone, s.host, s.port, state="draining")
                for s in SERVERS
            ]
            (tmp_path / "list.hcl").write_text(render(specs))
            life.pass_time(1.5)
            gone = {drained} - {""}
        else:
            if step == "stop":
                life.stop()
            elif step == "kill":
                life.kill()
            else:
                write, when = Store.write, chance.random()

                def struck(store, snapshot, write=write, when=when):
                    if when < 0.5:
                        raise Killed
                    write(store, snapshot)
                    raise Killed

                monkeypatch.setattr(Store, "write", struck)
                with pytest.raises(Killed):
                    life.keeper._write(clean=chance.random() < 0.5 and not life.gateway.unanswered)
                monkeypatch.setattr(Store, "write", write)
                life.kill()
            life = Life(tmp_path, clock, truth)
            assert not gone & set(life.read())
    life.read()
    life.kill()


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


def test_a_real_kill_in_the_middle_of_writing_leaves_a_whole_snapshot(tmp_path):
    """Kill -9 at random moments; what was told as written is there, whole."""
    chance, told = random.Random(3), 0
    for _ in range(12):
        command = [sys.executable, "-c", WRITER, str(tmp_path / "s")]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert process.stdout.readline() == "up\n"
        for _ in range(chance.randrange(1, 30)):
            told = int(process.stdout.readline())
        os.kill(process.pid, signal.SIGKILL)
        process.wait()
        store = Store(tmp_path / "s")
        assert store.read().version >= told and not store.fault
        store.close()


def test_a_store_that_cannot_be_written_never_passes_for_the_last_word(tmp_path, monkeypatch):
    clock, truth = place(tmp_path)
    life = Life(tmp_path, clock, truth)
    life.write()
    life.stop()

    def full(store, snapshot):
        raise StoreError(28, "No space left on device")

    monkeypatch.setattr(Store, "write", full)
    life = Life(tmp_path, clock, truth)  # cannot mark the state as in use
    assert any(event == "state_not_written" for event, _ in life.lines)
    truth.update(c=6, d=6)
    life.write()
    life.kill()
    monkeypatch.undo()
    life = Life(tmp_path, clock, truth)
    assert set(life.read()) == {"p"}
    life.kill()


def test_a_locked_store_is_served_without(tmp_path):
    clock, truth = place(tmp_path)
    first, second = Life(tmp_path, clock, truth), Life(tmp_path, clock, truth)
    assert any("held by another" in str(facts) for _, facts in second.lines)
    assert second.gateway._router.sessions.floors  # as after a crash
    second.read()
    second.kill()
    first.kill()


def test_a_wave_of_restarts_does_not_crowd_the_servers(tmp_path):
    """200 gateways restart within two seconds, each with its floor: what one server sees stays under a bound."""
    clock, truth = place(tmp_path)
    lives, seen = [], {"probes": 0, "connections": 0}
    made = Settings(1, "a", 200, (READ, WRITE), reports="probe", may_probe=True, may_cancel=True, max_attempts=4)
    most = {"probes": 0}
    chance = random.Random(1)
    at = sorted(chance.random() * 2 for _ in range(200))
    gateways, per_bin = [], {}

    class Counted(FakeBackend):
        def __init__(self):
            super().__init__()
            self.position = self.probed

        def probed(self, server):
            slot = (server.name, int(clock.seconds() * 10))
            per_bin[slot] = per_bin.get(slot, 0) + 1
            return ProbeResult({"": (truth["log"],)}, server.name == "p")

    now = 0.0
    for number, start in enumerate(at):
        clock.advance(start - now)
        now = start
        backend = Counted()
        gateway = Gateway(made, backend, reactor=clock, seconds=clock.seconds, wall=clock.seconds)
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
    assert len(lives) == 0 and all(g.unanswered == 0 for g, _ in gateways)


def test_commands(tmp_path):
    store = Store(tmp_path / "s")
    store.write(PLAIN)
    store.close()
    call = lambda *words: CliRunner().invoke(main, ["state", *map(str, words)])  # noqa: E731
    shown = call("show", tmp_path / "s")
    assert shown.exit_code == 0 and "version 3" in shown.output and "primary" in shown.output
    assert call("verify", tmp_path / "s").exit_code == 0
    assert call("verify", tmp_path / "none").exit_code == 2
    (tmp_path / "s" / "data.mdb").write_bytes(b"x" * 9000)
    assert call("verify", tmp_path / "s").exit_code == 2


def test_settle_times_are_durations():
    assert load_text(SETTINGS).membership.settle == 20 * MS
