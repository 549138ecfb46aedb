"""Lists of servers: read, checked, held back, applied whole; never a broken one, never an older after a newer."""

import os
import random
import subprocess
import sys
import threading
import time

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor

from tests.support.reactor_thread import Desk, ensure_reactor, run, until, world
from yardbank.cli import main
from yardbank.config.hcl import HclError, parse
from yardbank.gateway.api import MS, ServerSpec
from yardbank.server_list import Apply, HoldBack, Reject, ServerListError, ServerListLifecycle, read_set
from yardbank.server_list.block_cache import BlockCache
from yardbank.server_list.comparison import compare, suspicion
from yardbank.server_list.document import render
from yardbank.server_list.watcher import Watcher, read_files

GROUPS = ("a", "b")


def servers(count=6, **more):
    return [
        ServerSpec(f"s{n}", GROUPS[n % 2], "z", "127.0.0.1", 1000 + n, n < 2, **more.get(f"s{n}", {}))
        for n in range(count)
    ]


def text(*specs, **more):
    return render(specs or servers(), **more).encode()


def faults(*parts):
    with pytest.raises(ServerListError) as problem:
        read_set({f"{n}.hcl": part for n, part in enumerate(parts)}, GROUPS)
    return "\n".join(problem.value.faults)


def test_a_list_survives_the_way_to_text_and_back():
    fleet = read_set({"list.hcl": text()}, GROUPS)
    assert list(fleet.servers) == servers()


def test_truncated_at_every_byte_it_is_never_taken_for_the_whole():
    whole = text(*servers(3))
    full = read_set({"l": whole}, GROUPS)
    blocks = BlockCache()
    for cut in range(len(whole.rstrip())):
        with pytest.raises(ServerListError) as problem:
            read_set({"l": whole[:cut]}, GROUPS, blocks)
        assert all(fault.startswith(("l:", "the list")) for fault in problem.value.faults)
    assert read_set({"l": whole}, GROUPS, blocks) == full


@pytest.mark.parametrize(
    ("parts", "reason"),
    [
        ([text() + text(servers()[0]).split(b"\n\n", 1)[1]], "'s0' is listed twice, first at 0.hcl:3"),
        ([text(), text(servers()[0])], "1.hcl:3: server 's0' is listed twice"),
        ([b""], "names no server"),
        ([text() + b"weights {\n  none = 2\n}\n"], "no server 'none'"),
        ([text() + b"weights {\n  s0 = 0\n}\n"], "a number above 0"),
        ([text().replace(b'"a"', b'"x"')], "no group 'x'"),
        ([text().replace(b"1001", b"1000")], "has the address of server 's0'"),
        ([text().replace(b"port    = 1001", b'port    = "1001x"')], "server 's1': port"),
        ([text().replace(b"zone ", b"zoen ")], "zoen: unknown key"),
        ([text() + b"\xff"], "not UTF-8"),
        ([text() + b"listener {\n}\n"], "listener: unknown block"),
        ([text() + b"port = 3\n"], "port: unknown key"),
        ([text(set_name="1"), b'set = "2"\nweights {\n  s0 = 2\n}\n'], "belong to different sets"),
    ],
)
def test_what_is_wrong_is_named(parts, reason):
    assert reason in faults(*parts)


def test_parts_in_separate_files_are_one_set():
    weights = b'set = "7"\n\nweights {\n  s1 = 2.5\n}\n'
    one = {"servers.hcl": text(set_name="7"), "weights.hcl": weights}
    fleet = read_set(one, GROUPS)
    assert fleet.by_name()["s1"].weight == 2.5 and fleet.set_name == "7"
    assert fleet.digest == read_set(dict(reversed(one.items())), GROUPS).digest


BLOCK = st.builds(
    lambda name, rows: f'server "{name}" {{\n' + "".join(f"  {row}\n" for row in rows) + "}\n",
    st.from_regex(r"[a-z]{1,3}", fullmatch=True),
    st.lists(
        st.sampled_from(["a = 1", 'b = "x"', "c = true", "d = 1.5", "", "# why", "e = -3", 'f = "\\n"', "a = [1]", "}"])
    ),
)
PIECE = st.one_of(
    BLOCK, st.sampled_from(["", "\n", "# note\n", 'set = "x"\n', "force = true\n", "oops\n", "/* x\n", "*/\n"])
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(PIECE, max_size=6), st.lists(PIECE, max_size=2))
def test_reading_by_blocks_is_reading_the_whole(pieces, others):
    cache = BlockCache()
    for source in ("".join(pieces), "".join(pieces + others), "".join(pieces)):
        try:
            wanted = parse(source)
        except HclError as problem:
            with pytest.raises(HclError) as found:
                cache.parse(source)
            assert (found.value.line, found.value.reason) == (problem.line, problem.reason)
        else:
            assert cache.parse(source) == wanted


def test_changes_and_what_is_held_back():
    old = servers()
    new = servers(7, s2={"state": "draining"}, s3={"started": 5.0})
    change = compare(old, new)
    assert (change.added, change.drained, change.restarted) == (["s6"], ["s2"], ["s3"])
    moved = [ServerSpec("s0", "b", "z", "127.0.0.1", 1000, True), *old[1:]]
    assert compare(old, moved).moved == ["s0"]
    assert not compare(old, old) and suspicion(old, old) == "" and suspicion((), new) == ""
    assert "group 'a'" in suspicion(old, [s for s in old if s.group == "b"])
    assert "every primary" in suspicion(old, [s for s in old if not s.primary])
    assert "of 6 servers" in suspicion(old, old[:2])
    assert suspicion(old, old[:3]) == ""


class Told:
    """A membership with a clock, and what it did."""

    def __init__(self):
        self.life, self.now, self.did = ServerListLifecycle(GROUPS), 0, []

    def see(self, data, wait=50 * MS):
        self.did += self.life.seen(self.now, {"l": data} if data is not None else {})
        self.now += wait
        self.did += self.life.tick(self.now)

    def of(self, kind):
        return [action for action in self.did if isinstance(action, kind)]


def test_a_file_replaced_twice_in_quick_succession_is_applied_once_and_the_newest():
    told = Told()
    told.see(text(*servers(4)), wait=MS)
    for count in (5, 6):
        told.see(text(*servers(count)), wait=MS)
    assert told.did == []
    told.see(text(*servers(6)))
    (applied,) = told.of(Apply)
    assert len(applied.fleet.servers) == 6 and applied.number == 1


def test_a_thousand_in_a_second_are_coalesced_and_a_writer_without_pause_is_read_all_the_same():
    told = Told()
    for number in range(4000):
        told.see(text(*servers(4 + number % 3)), wait=MS)
    assert 1 <= len(told.of(Apply)) <= 3  # once in each time of patience


def test_each_rejection_is_told_once_and_the_last_good_stays():
    told = Told()
    told.see(text())
    for _ in range(3):
        told.see(b"broken {")
        told.see(text()[:-5])
        told.see(None)
    assert len(told.of(Reject)) == 3 and len(told.of(Apply)) == 1
    assert len(told.life.current.servers) == 6
    told.see(text(*servers(7)))
    assert len(told.of(Apply)) == 2
    told.see(b"broken {")
    assert len(told.of(Reject)) == 4  # after a good version it is news again


def test_what_looks_like_a_mistake_waits_for_the_operator():
    told = Told()
    told.see(text())
    small = [s for s in servers() if s.name in ("s0", "s1")]
    told.see(text(*small))
    (held,) = told.of(HoldBack)
    assert "at once" in held.reason and len(told.life.current.servers) == 6
    told.did += told.life.force()
    assert len(told.life.current.servers) == 2 and told.life.force() == []
    told.see(text())
    told.see(b"force = true\n" + text(*small))  # the operator's word in the file itself
    assert len(told.life.current.servers) == 2 and len(told.of(HoldBack)) == 1
    told.see(text())
    told.see(text(*small))
    told.see(text())  # superseded: what was held is gone
    assert told.life.force() == []


def test_a_restored_list_gives_way_to_the_file_and_never_comes_after_it():
    told = Told()
    fleet = read_set({"l": text(*servers(4))}, GROUPS)
    assert told.life.restore(fleet, 41).number == 41
    told.see(text())
    assert told.of(Apply)[0].number == 42
    assert told.life.restore(fleet, 99) is None


CONTENT = st.sampled_from(
    [text(*servers(n)) for n in (4, 5, 6, 7)] + [b"broken {", text()[:-4], b"", None, text(*servers(2))]
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(CONTENT, st.integers(0, 60)), max_size=40))
def test_only_complete_valid_versions_are_applied_in_the_order_in_which_they_stood(steps):
    told, stood, applied_at = Told(), [], []
    for data, wait in steps:
        stood.append(data)
        before = len(told.of(Apply))
        told.see(data, wait=wait * MS)
        for action in told.of(Apply)[before:]:
            assert text(*action.fleet.servers) == data  # what stands there now, never an older one
            applied_at.append(len(stood))
    assert applied_at == sorted(applied_at)
    numbers = [action.number for action in told.of(Apply)]
    assert numbers == list(range(1, len(numbers) + 1))
    if stood and told.life.due() is None and stood[-1] and not stood[-1].startswith(b"broken"):
        last = told.did[-1] if told.did else None
        assert told.life.current is not None or isinstance(last, Reject)


def watched(path, **more):
    did = []
    now = lambda: int(time.monotonic() * 1e9)  # noqa: E731

    class Log:
        def __getattr__(self, name):
            return lambda event, **facts: did.append((event, facts))

    watcher = Watcher(path, ServerListLifecycle(GROUPS), did.append, reactor=reactor, now=now, log=Log(), **more)
    return watcher, did


def versions(did):
    return [len(action.fleet.servers) for action in did if isinstance(action, Apply)]


@pytest.mark.parametrize("notify", [True, False], ids=["notified", "polled"])
def test_every_way_of_replacing_a_file_is_seen(tmp_path, notify):
    ensure_reactor()
    path = tmp_path / "list.hcl"
    path.write_bytes(text(*servers(4)))
    watcher, did = watched(path, notify=notify, every=60.0 if notify else 0.02)
    run(watcher.start)
    try:
        until(lambda: versions(did) == [4])
        new = tmp_path / "new"
        new.write_bytes(text(*servers(5)))
        os.replace(new, path)  # renamed into place
        until(lambda: versions(did) == [4, 5])
        path.write_bytes(text(*servers(6)))  # written in place
        until(lambda: versions(did) == [4, 5, 6])
        path.unlink()
        until(lambda: any(event[0] == "list_unreadable" for event in did if isinstance(event, tuple)))
        (tmp_path / "target").write_bytes(text(*servers(7)))
        os.symlink(tmp_path / "target", tmp_path / "link")
        os.replace(tmp_path / "link", path)  # a link swapped in
        until(lambda: versions(did) == [4, 5, 6, 7])
    finally:
        run(watcher.stop)


def test_a_directory_of_parts_is_one_set(tmp_path):
    ensure_reactor()
    folder = tmp_path / "list.d"
    folder.mkdir()
    (folder / "servers.hcl").write_bytes(text(*servers(4), set_name="1"))
    (folder / "ignored.txt").write_text("nonsense {")
    watcher, did = watched(folder, every=0.02)
    run(watcher.start)
    try:
        until(lambda: versions(did) == [4])
        (folder / "weights.hcl").write_text('set = "2"\n\nweights {\n  s1 = 3\n}\n')
        until(lambda: any(isinstance(action, Reject) for action in did))
        (folder / "servers.hcl").write_bytes(text(*servers(5), set_name="2"))
        until(lambda: versions(did) == [4, 5])
        folder.rename(tmp_path / "away")  # the directory is replaced as a whole
        folder.mkdir()
        (folder / "servers.hcl").write_bytes(text(*servers(6)))
        until(lambda: versions(did)[-1] == 6)
    finally:
        run(watcher.stop)


def test_files_that_cannot_be_read_are_one_plain_error(tmp_path):
    with pytest.raises(OSError, match="No such file"):
        read_files(tmp_path / "none")


WRITER = """
import os, random, sys, time
path, seed, count, *texts = sys.argv[1:]
chance, good = random.Random(int(seed)), [open(name, "rb").read() for name in texts]
for number in range(int(count)):
    data = chance.choice(good)
    kind = chance.random()
    if kind < 0.3:
        data = data[: chance.randrange(len(data))]
    elif kind < 0.4:
        data = data + data[: len(data) // 2]
    if kind < 0.7:
        with open(path + ".new", "wb") as file:
            file.write(data)
        os.replace(path + ".new", path)
    else:
        with open(path, "wb") as file:
            file.write(data[: len(data) // 2])
            file.flush()
            file.write(data[len(data) // 2 :])
    time.sleep(0.08 if number % 60 == 0 else chance.random() * 0.002)
with open(path + ".new", "wb") as file:
    file.write(good[0])
os.replace(path + ".new", path)
"""


def test_under_live_traffic_requests_are_routed_by_complete_valid_versions_only(tmp_path):
    """A writer process alternates broken and valid files thousands of times while a client asks."""
    with world(start=False) as place:
        file = tmp_path / "list.hcl"
        specs = [
            ServerSpec(n, g, z, "127.0.0.1", place.servers[n].port, n in ("n1", "r1"))
            for g, members in {
                "numbers": (("n1", "norte"), ("n2", "norte"), ("n3", "sur")),
                "requests": (("r1", "norte"), ("r2", "norte"), ("r3", "sur")),
            }.items()
            for n, z in members
        ]
        good = []
        for number, left_out in enumerate([(), ("n3",), ("r2",), ("n2", "r3")]):
            kept = [spec for spec in specs if spec.name not in left_out]
            good.append(kept)
            (tmp_path / f"good{number}").write_text(render(kept))
        file.write_text(render(specs))
        place.watched = file
        run(place.start_gateway)
        command = [
            sys.executable,
            "-c",
            WRITER,
            str(file),
            "5",
            "3000",
            *(str(tmp_path / f"good{n}") for n in range(4)),
        ]
        until(lambda: place.proxy.gateway.list_version)
        process = subprocess.Popen(command)
        desk, answers = Desk(place), 0
        done = threading.Event()
        threading.Thread(target=lambda: (process.wait(), done.set()), daemon=True).start()
        while not done.is_set():
            assert desk.modify().code == 0
            assert desk.read("requests").code == 0
            answers += 2
        keeper = place.proxy._fleet
        until(lambda: len(keeper.membership.current.servers) == 6)
        lists = {f["version"]: f["servers"] for f in place.record.facts if f["kind"] == "gateway_list"}
        taken = [f["list"] for f in place.record.facts if f["kind"] == "gateway_taken"]
        allowed = [{spec.name for spec in kept} for kept in good]
        assert len(taken) >= answers and taken == sorted(taken) and len(lists) > 8
        assert all(set(lists[version]) in allowed for version in taken)
        order = [f["version"] for f in place.record.facts if f["kind"] == "gateway_list"]
        assert order == sorted(set(order))


def test_commands(tmp_path):
    from tests.config.test_settings import TEXT

    settings_file, file = tmp_path / "g.hcl", tmp_path / "new.hcl"
    cut = TEXT.index('server "norte-1"'), TEXT.index("# Anyone may look")
    body = TEXT[: cut[0]] + 'membership {\n  path = "list.hcl"\n}\n' + TEXT[cut[1] :]
    settings_file.write_text(body)
    listed = [ServerSpec(f"x{n}", "numbers", "z", "127.0.0.1", 1000 + n, n == 0) for n in range(4)]
    file.write_text(render(listed))
    call = lambda *words: CliRunner().invoke(main, ["list", *map(str, words), "--settings", str(settings_file)])  # noqa: E731
    assert "4 servers" in call("check", file).output
    assert call("apply", file).exit_code == 0
    assert "no change" in call("diff", file).output
    assert "x3" in call("show", tmp_path / "list.hcl").output
    file.write_text(render(listed[:1]))
    done = call("diff", file)
    assert done.exit_code == 3 and "removed: x1, x2, x3" in done.output
    assert call("apply", file).exit_code == 3
    assert call("apply", file, "--force").exit_code == 0
    assert (tmp_path / "list.hcl").read_text().startswith("force = true")
    file.write_text("server {")
    done = call("check", file)
    assert done.exit_code == 2 and "new.hcl:" in done.output


def test_random_order_of_blocks_does_not_change_what_is_read():
    specs, chance = servers(), random.Random(1)
    chance.shuffle(specs)
    assert read_set({"l": text(*specs)}, GROUPS).by_name() == read_set({"l": text()}, GROUPS).by_name()


CLASS = """class "port-commit" {
  effect     = "unsafe"
  read       = "write"
  aim        = "500ms"
  deadline   = "3s"
  worth      = 3
  late_worth = 0.7
  match {
    operation = ["modify"]
    base      = "ou=elsewhere,dc=porting"
  }
}
"""


def test_classes_in_a_file_of_their_own_are_checked_with_the_rest():
    fleet = read_set({"servers.hcl": text(), "classes.hcl": CLASS.encode()}, GROUPS)
    assert fleet.classes[0].name == "port-commit" and fleet.classes[0].match[0].operation == ("modify",)
    assert "aim: Field required" in faults(text(), CLASS.replace('  aim        = "500ms"\n', "").encode())
    assert "given twice" in faults(text(), (CLASS + CLASS).encode())
    assert "cannot be of a class" in faults(text(), CLASS.replace('["modify"]', '["search"]').encode())


def test_a_lists_classes_change_what_new_operations_match(tmp_path):
    from yardbank.testing.demo.world import CLASSES

    with world(start=False) as place:
        folder = tmp_path / "list.d"
        folder.mkdir()
        groups = {"n1": "numbers", "n2": "numbers", "r1": "requests", "r2": "requests"}
        specs = [
            ServerSpec(name, group, "norte", "127.0.0.1", place.servers[name].port, name in ("n1", "r1"))
            for name, group in groups.items()
        ]
        (folder / "servers.hcl").write_text(render(specs))
        place.watched = folder
        run(place.start_gateway)
        until(lambda: place.proxy.gateway.list_version == 1)
        desk = Desk(place)
        assert desk.read("numbers", "bounded", staleness=0.8).code == 0
        (folder / "classes.hcl").write_text(CLASSES.replace("ou=numbers,dc=porting", "ou=nothing,dc=porting"))
        until(lambda: place.proxy.gateway.list_version == 2)
        assert desk.read("numbers", "bounded", staleness=0.8).code == 0
        taken = [f["request_class"] for f in place.record.facts if f["kind"] == "gateway_taken"]
        assert taken == ["number-lookup", "strict-read"]
        (folder / "classes.hcl").write_text(CLASSES.replace("1500ms", "1700ms"))
        until(lambda: place.proxy._fleet.membership._judged != place.proxy._fleet.membership.current.digest)
        assert place.proxy.gateway.list_version == 2


def listed(place, *names, **more):
    groups = {"n": "numbers", "r": "requests"}
    return [
        ServerSpec(
            name,
            groups[name[0]],
            "norte",
            "127.0.0.1",
            place.servers[name].port if name in place.servers else 1,
            name in ("n1", "r1"),
            **more.get(name, {}),
        )
        for name in names
    ]


def test_ghosts_drains_by_file_then_gone_and_a_return_under_the_old_name(tmp_path):
    from yardbank.testing.audit import judge

    with world(start=False) as place:
        file = tmp_path / "list.hcl"
        place.watched = file
        keeper = None

        def put(*names, **more):
            (tmp_path / "new").write_text(render(listed(place, *names, **more)))
            before = keeper.number if keeper else 0
            os.replace(tmp_path / "new", file)
            if keeper:
                until(lambda: keeper.number == before + 1)

        everyone = ("n1", "n2", "n3", "r1", "r2")
        put(*everyone, "n9")  # a ghost: nobody answers there
        run(place.start_gateway)
        until(lambda: place.proxy.gateway.list_version == 1)
        keeper, desk = place.proxy._fleet.membership, Desk(place)

        def ask(count):
            for _ in range(count):
                assert desk.read("numbers", "bounded", staleness=0.8).code == 0

        ask(20)
        put(*everyone, "n9", n3={"state": "draining"})
        place.record({"kind": "told", "server": "n3", "state": "draining"})
        ask(20)
        put("n1", "n2", "r1", "r2", "n9")  # gone
        ask(20)
        after = [f for f in place.record.facts if f["kind"] == "received" and f["server"] == "n3"]
        told = next(f["at"] for f in place.record.facts if f["kind"] == "told")
        assert not [f for f in after if f["at"] > told + 0.5]
        put(*everyone, n3={"started": time.time()})  # back under its name, with a new start
        place.record({"kind": "told", "server": "n3", "state": "ready"})
        back = place.proxy.gateway._router.servers[place.proxy.gateway._endpoints.server_numbers["n3"]]
        assert (
            back.started > 0
            and place.proxy.gateway._router.table.warmup_fraction(place.proxy.gateway.now(), back) < 1.0
            and not back.draining
        )
        put(*everyone, n3={"started": 0.0})  # another group and zone is another place for the same name
        moved = [s for s in listed(place, *everyone) if s.name != "n3"]
        (tmp_path / "new").write_text(
            render([*moved, ServerSpec("n3", "requests", "sur", "127.0.0.1", place.servers["n3"].port)])
        )
        os.replace(tmp_path / "new", file)
        until(lambda: place.proxy.gateway._endpoints.specs["n3"].group == "requests")
        group = place.proxy.gateway._endpoints.group_numbers["requests"]
        known = place.proxy.gateway._router.table
        assert known.servers[place.proxy.gateway._endpoints.server_numbers["n3"]].group == group
        assert all(
            s.id != place.proxy.gateway._endpoints.server_numbers["n3"]
            for s in known.groups[place.proxy.gateway._endpoints.group_numbers["numbers"]]
        )
        verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
        assert verdict.held


def test_a_gateway_that_stops_lets_its_clients_go_before_it_stops_watching(tmp_path):
    """Where cores are busy the kernel takes seconds to let go of a watch; clients were left without a word meanwhile."""
    file, held, callers = tmp_path / "list.hcl", threading.Event(), []
    with world(start=False) as place:
        file.write_text(render([ServerSpec("n1", "numbers", "norte", "127.0.0.1", place.servers["n1"].port, True)]))
        place.watched = file
        run(place.start_gateway)
        until(lambda: place.proxy.gateway.list_version)
        desk, observer = Desk(place), place.proxy._fleet.watcher._observer
        assert desk.modify().code == 0
        stop = observer.stop
        observer.stop = lambda: (callers.append(threading.current_thread()), held.wait(20))
        try:
            run(place.stop_gateway)
            until(lambda: desk.client.gone and callers)
            assert callers[0] is not run(threading.current_thread)
        finally:
            held.set()
            stop()
