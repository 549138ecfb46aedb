"""Server lists: parsing, validation, hold-back, and applying only complete versions in order."""

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


def test_rendered_list_parses_to_the_same_servers():
    fleet = read_set({"list.hcl": text()}, GROUPS)
    assert list(fleet.servers) == servers()


def test_list_truncated_at_any_byte_is_rejected():
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
def test_faults_name_their_cause(parts, reason):
    assert reason in faults(*parts)


def test_separate_files_form_one_set():
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
def test_block_cache_parses_like_the_hcl_parser(pieces, others):
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


def test_changes_are_classified_and_suspicious_ones_recognized():
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


class LifecycleRecorder:
    """Drives a ``ServerListLifecycle`` with a simulated clock and records its actions."""

    def __init__(self):
        self.lifecycle, self.now, self.actions = ServerListLifecycle(GROUPS), 0, []

    def observe(self, data, wait=50 * MS):
        self.actions += self.lifecycle.seen(self.now, {"l": data} if data is not None else {})
        self.now += wait
        self.actions += self.lifecycle.tick(self.now)

    def of_type(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]


def test_quickly_replaced_file_is_applied_once_in_its_newest_version():
    recorder = LifecycleRecorder()
    recorder.observe(text(*servers(4)), wait=MS)
    for count in (5, 6):
        recorder.observe(text(*servers(count)), wait=MS)
    assert recorder.actions == []
    recorder.observe(text(*servers(6)))
    (applied,) = recorder.of_type(Apply)
    assert len(applied.fleet.servers) == 6 and applied.number == 1


def test_rapid_changes_are_coalesced_and_read_after_the_patience_time():
    recorder = LifecycleRecorder()
    for number in range(4000):
        recorder.observe(text(*servers(4 + number % 3)), wait=MS)
    assert 1 <= len(recorder.of_type(Apply)) <= 3  # once per patience interval


def test_rejection_is_reported_once_and_the_last_valid_list_stays():
    recorder = LifecycleRecorder()
    recorder.observe(text())
    for _ in range(3):
        recorder.observe(b"broken {")
        recorder.observe(text()[:-5])
        recorder.observe(None)
    assert len(recorder.of_type(Reject)) == 3 and len(recorder.of_type(Apply)) == 1
    assert len(recorder.lifecycle.current.servers) == 6
    recorder.observe(text(*servers(7)))
    assert len(recorder.of_type(Apply)) == 2
    recorder.observe(b"broken {")
    assert len(recorder.of_type(Reject)) == 4  # a valid version in between makes it reportable again


def test_suspicious_list_is_held_back_until_forced():
    recorder = LifecycleRecorder()
    recorder.observe(text())
    small = [s for s in servers() if s.name in ("s0", "s1")]
    recorder.observe(text(*small))
    (held,) = recorder.of_type(HoldBack)
    assert "at once" in held.reason and len(recorder.lifecycle.current.servers) == 6
    recorder.actions += recorder.lifecycle.force()
    assert len(recorder.lifecycle.current.servers) == 2 and recorder.lifecycle.force() == []
    recorder.observe(text())
    recorder.observe(b"force = true\n" + text(*small))  # the operator confirms the change in the file
    assert len(recorder.lifecycle.current.servers) == 2 and len(recorder.of_type(HoldBack)) == 1
    recorder.observe(text())
    recorder.observe(text(*small))
    recorder.observe(text())  # supersedes the version that was held back
    assert recorder.lifecycle.force() == []


def test_restored_list_is_replaced_by_the_file_and_never_replaces_it():
    recorder = LifecycleRecorder()
    fleet = read_set({"l": text(*servers(4))}, GROUPS)
    assert recorder.lifecycle.restore(fleet, 41).number == 41
    recorder.observe(text())
    assert recorder.of_type(Apply)[0].number == 42
    assert recorder.lifecycle.restore(fleet, 99) is None


CONTENT = st.sampled_from(
    [text(*servers(n)) for n in (4, 5, 6, 7)] + [b"broken {", text()[:-4], b"", None, text(*servers(2))]
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(CONTENT, st.integers(0, 60)), max_size=40))
def test_only_complete_valid_versions_are_applied_in_the_order_written(steps):
    recorder, written, applied_at = LifecycleRecorder(), [], []
    for data, wait in steps:
        written.append(data)
        before = len(recorder.of_type(Apply))
        recorder.observe(data, wait=wait * MS)
        for action in recorder.of_type(Apply)[before:]:
            assert text(*action.fleet.servers) == data  # the current content, never an older one
            applied_at.append(len(written))
    assert applied_at == sorted(applied_at)
    numbers = [action.number for action in recorder.of_type(Apply)]
    assert numbers == list(range(1, len(numbers) + 1))
    if written and recorder.lifecycle.due() is None and written[-1] and not written[-1].startswith(b"broken"):
        last = recorder.actions[-1] if recorder.actions else None
        assert recorder.lifecycle.current is not None or isinstance(last, Reject)


def make_watcher(path, **more):
    events = []
    now = lambda: int(time.monotonic() * 1e9)  # noqa: E731

    class Log:
        def __getattr__(self, name):
            return lambda event, **facts: events.append((event, facts))

    watcher = Watcher(path, ServerListLifecycle(GROUPS), events.append, reactor=reactor, now=now, log=Log(), **more)
    return watcher, events


def applied_sizes(events):
    return [len(action.fleet.servers) for action in events if isinstance(action, Apply)]


@pytest.mark.parametrize("notify", [True, False], ids=["notified", "polled"])
def test_every_way_of_replacing_a_file_is_detected(tmp_path, notify):
    ensure_reactor()
    path = tmp_path / "list.hcl"
    path.write_bytes(text(*servers(4)))
    watcher, events = make_watcher(path, notify=notify, every=60.0 if notify else 0.02)
    run(watcher.start)
    try:
        until(lambda: applied_sizes(events) == [4])
        new = tmp_path / "new"
        new.write_bytes(text(*servers(5)))
        os.replace(new, path)  # renamed into place
        until(lambda: applied_sizes(events) == [4, 5])
        path.write_bytes(text(*servers(6)))  # written in place
        until(lambda: applied_sizes(events) == [4, 5, 6])
        path.unlink()
        until(lambda: any(event[0] == "list_unreadable" for event in events if isinstance(event, tuple)))
        (tmp_path / "target").write_bytes(text(*servers(7)))
        os.symlink(tmp_path / "target", tmp_path / "link")
        os.replace(tmp_path / "link", path)  # replaced by a symbolic link
        until(lambda: applied_sizes(events) == [4, 5, 6, 7])
    finally:
        run(watcher.stop)


def test_files_of_a_directory_form_one_set(tmp_path):
    ensure_reactor()
    folder = tmp_path / "list.d"
    folder.mkdir()
    (folder / "servers.hcl").write_bytes(text(*servers(4), set_name="1"))
    (folder / "ignored.txt").write_text("nonsense {")
    watcher, events = make_watcher(folder, every=0.02)
    run(watcher.start)
    try:
        until(lambda: applied_sizes(events) == [4])
        (folder / "weights.hcl").write_text('set = "2"\n\nweights {\n  s1 = 3\n}\n')
        until(lambda: any(isinstance(action, Reject) for action in events))
        (folder / "servers.hcl").write_bytes(text(*servers(5), set_name="2"))
        until(lambda: applied_sizes(events) == [4, 5])
        folder.rename(tmp_path / "away")  # the directory is replaced as a whole
        folder.mkdir()
        (folder / "servers.hcl").write_bytes(text(*servers(6)))
        until(lambda: applied_sizes(events)[-1] == 6)
    finally:
        run(watcher.stop)


def test_unreadable_files_raise_os_error(tmp_path):
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


def test_requests_are_routed_by_complete_valid_versions_while_files_change(tmp_path):
    """A writer process alternates broken and valid files thousands of times while a client sends requests."""
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
        service = place.proxy._fleet
        until(lambda: len(service.membership.current.servers) == 6)
        lists = {f["version"]: f["servers"] for f in place.record.facts if f["kind"] == "gateway_list"}
        taken = [f["list"] for f in place.record.facts if f["kind"] == "gateway_taken"]
        allowed = [{spec.name for spec in kept} for kept in good]
        assert len(taken) >= answers and taken == sorted(taken) and len(lists) > 8
        assert all(set(lists[version]) in allowed for version in taken)
        order = [f["version"] for f in place.record.facts if f["kind"] == "gateway_list"]
        assert order == sorted(set(order))


def test_list_commands_check_diff_apply_and_show(tmp_path):
    from tests.config.test_settings import TEXT

    settings_file, file = tmp_path / "g.hcl", tmp_path / "new.hcl"
    section = TEXT.index('server "norte-1"'), TEXT.index("# Anyone may look")
    body = TEXT[: section[0]] + 'membership {\n  path = "list.hcl"\n}\n' + TEXT[section[1] :]
    settings_file.write_text(body)
    server_specs = [ServerSpec(f"x{n}", "numbers", "z", "127.0.0.1", 1000 + n, n == 0) for n in range(4)]
    file.write_text(render(server_specs))
    invoke = lambda *words: CliRunner().invoke(main, ["list", *map(str, words), "--settings", str(settings_file)])  # noqa: E731
    assert "4 servers" in invoke("check", file).output
    assert invoke("apply", file).exit_code == 0
    assert "no change" in invoke("diff", file).output
    assert "x3" in invoke("show", tmp_path / "list.hcl").output
    file.write_text(render(server_specs[:1]))
    result = invoke("diff", file)
    assert result.exit_code == 3 and "removed: x1, x2, x3" in result.output
    assert invoke("apply", file).exit_code == 3
    assert invoke("apply", file, "--force").exit_code == 0
    assert (tmp_path / "list.hcl").read_text().startswith("force = true")
    file.write_text("server {")
    result = invoke("check", file)
    assert result.exit_code == 2 and "new.hcl:" in result.output


def test_order_of_blocks_does_not_change_the_list():
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


def test_classes_in_a_separate_file_are_validated():
    fleet = read_set({"servers.hcl": text(), "classes.hcl": CLASS.encode()}, GROUPS)
    assert fleet.classes[0].name == "port-commit" and fleet.classes[0].match[0].operation == ("modify",)
    assert "aim: Field required" in faults(text(), CLASS.replace('  aim        = "500ms"\n', "").encode())
    assert "given twice" in faults(text(), (CLASS + CLASS).encode())
    assert "cannot be of a class" in faults(text(), CLASS.replace('["modify"]', '["search"]').encode())


def test_classes_of_the_list_change_how_new_operations_are_classified(tmp_path):
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
        until(lambda: place.proxy._fleet.membership._evaluated_digest != place.proxy._fleet.membership.current.digest)
        assert place.proxy.gateway.list_version == 2


def server_specs(place, *names, **more):
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


def test_unreachable_drained_removed_and_returning_servers(tmp_path):
    from yardbank.testing.audit import judge

    with world(start=False) as place:
        file = tmp_path / "list.hcl"
        place.watched = file
        lifecycle = None

        def write_list(*names, **more):
            (tmp_path / "new").write_text(render(server_specs(place, *names, **more)))
            before = lifecycle.number if lifecycle else 0
            os.replace(tmp_path / "new", file)
            if lifecycle:
                until(lambda: lifecycle.number == before + 1)

        all_names = ("n1", "n2", "n3", "r1", "r2")
        write_list(*all_names, "n9")  # listed, but nothing listens at its address
        run(place.start_gateway)
        until(lambda: place.proxy.gateway.list_version == 1)
        lifecycle, desk = place.proxy._fleet.membership, Desk(place)

        def send_reads(count):
            for _ in range(count):
                assert desk.read("numbers", "bounded", staleness=0.8).code == 0

        send_reads(20)
        write_list(*all_names, "n9", n3={"state": "draining"})
        place.record({"kind": "told", "server": "n3", "state": "draining"})
        send_reads(20)
        write_list("n1", "n2", "r1", "r2", "n9")  # n3 is removed
        send_reads(20)
        after = [f for f in place.record.facts if f["kind"] == "received" and f["server"] == "n3"]
        told = next(f["at"] for f in place.record.facts if f["kind"] == "told")
        assert not [f for f in after if f["at"] > told + 0.5]
        write_list(*all_names, n3={"started": time.time()})  # returns under its old name with a new start time
        place.record({"kind": "told", "server": "n3", "state": "ready"})
        back = place.proxy.gateway._router.servers[place.proxy.gateway._endpoints.server_numbers["n3"]]
        assert (
            back.started > 0
            and place.proxy.gateway._router.table.warmup_fraction(place.proxy.gateway.now(), back) < 1.0
            and not back.draining
        )
        write_list(*all_names, n3={"started": 0.0})  # the same name then moves to another group and zone
        moved = [s for s in server_specs(place, *all_names) if s.name != "n3"]
        (tmp_path / "new").write_text(
            render([*moved, ServerSpec("n3", "requests", "sur", "127.0.0.1", place.servers["n3"].port)])
        )
        os.replace(tmp_path / "new", file)
        until(lambda: place.proxy.gateway._endpoints.specs["n3"].group == "requests")
        group = place.proxy.gateway._endpoints.group_numbers["requests"]
        table = place.proxy.gateway._router.table
        assert table.servers[place.proxy.gateway._endpoints.server_numbers["n3"]].group == group
        assert all(
            s.id != place.proxy.gateway._endpoints.server_numbers["n3"]
            for s in table.groups[place.proxy.gateway._endpoints.group_numbers["numbers"]]
        )
        verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
        assert verdict.held


def test_stopping_gateway_closes_clients_before_the_observer_has_stopped(tmp_path):
    """Guards against clients that stay connected without an answer while the file observer stops.

    On a busy machine the kernel takes seconds to remove a watch.
    """
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
