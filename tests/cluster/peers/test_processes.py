"""Gateway processes that gossip: invalid settings, keys and lists, and the view for operators."""

import json
import signal
import socket
import subprocess
import sys

import pytest
from click.testing import CliRunner

from tests.support.router_world import wait_for
from yardbank.cli import main
from yardbank.cluster.peers.peer_list import Accept, PeerList, Reject, next_boot_epoch, parse_stored_epoch
from yardbank.testing.rig.gateway_folder import peers_text, settings_text
from yardbank.testing.rig.scenario import SHAPE, check_text

SCENARIO = check_text(
    'title = "t"\nfleet {\n  gateways = 3\n  peers = true\n}\ngroup "a" {\n  suffix = "dc=a"\n}\n'
    'claim "r" {\n  kind = "rules"\n}\n',
    "s",
    SHAPE,
)
SERVER = 'count = 1\nserver "a-1" {\n  group = "a"\n  address = "127.0.0.1"\n  port = 9\n  primary = true\n}\n'
KEY = "ab" * 16


class Process:
    def __init__(self, folder, name="g1"):
        self.folder, self.log = folder, folder / "log"
        folder.mkdir(exist_ok=True)
        self.file = folder / "gateway.hcl"
        self.file.write_text(settings_text(SCENARIO, name, 1))
        (folder / "list.hcl").write_text(SERVER)
        (folder / "peers.key").write_text(KEY)
        (folder / "peers.hcl").write_text(peers_text({"g1": 1, "g2": 2}))
        self.process = None

    def start(self):
        with self.log.open("ab") as out:
            command = [sys.executable, "-m", "yardbank", "serve", str(self.file)]
            self.process = subprocess.Popen(command, stderr=out)
        return self

    def events(self, name):
        lines = [json.loads(line) for line in self.log.read_text().splitlines() if line.startswith("{")]
        return [line for line in lines if line["event"] == name]

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@pytest.fixture
def gateways(tmp_path):
    made = [Process(tmp_path / name, name) for name in ("g1", "g2")]
    yield made
    for gateway in made:
        gateway.kill()


def exchange_addresses(gateways):
    """Write the ports that both listen on into both lists."""
    for gateway in gateways:
        wait_for(lambda gateway=gateway: gateway.events("listening"))
    ports = {name: gateway.events("peers_listening")[-1]["port"] for name, gateway in zip(("g1", "g2"), gateways)}
    for gateway in gateways:
        (gateway.folder / "peers.hcl").write_text(peers_text(ports))
    return ports


def states(gateway):
    return {line["peer"]: line["state"] for line in gateway.events("peer")}


def test_two_gateways_find_each_other_show_it_and_notice_a_kill(gateways):
    for gateway in gateways:
        gateway.start()
    exchange_addresses(gateways)
    wait_for(lambda: states(gateways[0]).get("g2") == "alive" and states(gateways[1]).get("g1") == "alive")
    view = gateways[0].folder / "peers-view.json"
    wait_for(lambda: view.exists() and "g2" in view.read_text())
    wait_for(lambda: json.loads(view.read_text())["peers"]["g2"]["state"] == "alive")
    shown = CliRunner().invoke(main, ["peers", "show", str(gateways[0].file)])
    assert shown.exit_code == 0 and "g2" in shown.output and "alive" in shown.output
    gateways[1].kill()
    wait_for(lambda: states(gateways[0])["g2"] == "gone")
    boot_epoch = gateways[1].events("peers_listening")[-1]["life"]
    gateways[1].start()
    wait_for(lambda: len(gateways[1].events("peers_listening")) == 2)
    assert gateways[1].events("peers_listening")[-1]["life"] > boot_epoch
    exchange_addresses(gateways)
    wait_for(lambda: states(gateways[0])["g2"] == "alive")


def test_of_two_of_one_name_the_listed_one_is_heard_and_harms_nobody_where_lists_differ(gateways, tmp_path):
    """Two gateways are configured with the same name; some lists have the address of one, some of the other.

    A gateway whose address is in no list receives nothing, and what it sends is dropped as received before or as from
    an earlier start.
    """
    others = [Process(tmp_path / folder, name) for folder, name in (("g1-again", "g1"), ("g3", "g3"))]
    duplicate, g3 = others
    try:
        for gateway in (*gateways, *others):
            gateway.start()
        for gateway in (*gateways, *others):
            wait_for(lambda gateway=gateway: gateway.events("listening"))
        port = {id(gateway): gateway.events("peers_listening")[-1]["port"] for gateway in (*gateways, *others)}

        def tell(gateway, first):
            places = {"g1": port[id(first)], "g2": port[id(gateways[1])], "g3": port[id(g3)]}
            (gateway.folder / "peers.hcl").write_text(peers_text(places))

        for gateway in (gateways[0], duplicate, gateways[1], g3):
            tell(gateway, gateways[0])
        wait_for(lambda: all(states(gateway).get("g1") == "alive" for gateway in (gateways[1], g3)))
        wait_for(lambda: any("old" in line for line in gateways[1].events("peers_dropped")))
        tell(g3, duplicate)
        wait_for(lambda: states(duplicate).get("g3") == "alive")
        assert states(gateways[1])["g1"] == "alive" and states(g3)["g1"] == "alive"
        assert all(gateway.process.poll() is None for gateway in (*gateways, *others))
    finally:
        for gateway in others:
            gateway.kill()


def test_keys_can_be_replaced_without_restart(gateways):
    other = "cd" * 32
    for gateway in gateways:
        gateway.start()
    exchange_addresses(gateways)
    wait_for(lambda: states(gateways[0]).get("g2") == "alive")
    for text, count in ((f"{KEY}\n{other}", 2), (f"{other}\n{KEY}", 2), (other, 1)):
        for gateway in gateways:
            (gateway.folder / "peers.key").write_text(text)
            before = len(gateway.events("peer_keys_loaded"))
            gateway.process.send_signal(signal.SIGHUP)
            wait_for(lambda gateway=gateway, before=before: len(gateway.events("peer_keys_loaded")) > before)
            assert gateway.events("peer_keys_loaded")[-1]["count"] == count
    (gateways[0].folder / "peers.key").write_text("nonsense")
    gateways[0].process.send_signal(signal.SIGHUP)
    wait_for(lambda: gateways[0].events("peer_keys_rejected"))
    assert gateways[0].events("peer_keys_rejected")[0]["fault"].endswith("peers.key:1: not hexadecimal")
    heard = json.loads((gateways[0].folder / "peers-view.json").read_text())["written"]
    wait_for(lambda: json.loads((gateways[0].folder / "peers-view.json").read_text())["written"] > heard)
    assert json.loads((gateways[0].folder / "peers-view.json").read_text())["peers"]["g2"]["state"] != "gone"


def test_invalid_list_is_rejected_and_the_last_valid_one_stays_in_force(gateways):
    for gateway in gateways:
        gateway.start()
    exchange_addresses(gateways)
    wait_for(lambda: states(gateways[0]).get("g2") == "alive")
    listed = len(gateways[0].events("peers_listed"))
    (gateways[0].folder / "peers.hcl").write_text('peer "g2" {\n  address = "127.0.0.1"\n  port = 0\n}\n')
    wait_for(lambda: gateways[0].events("peer_list_rejected"))
    assert 'peers.hcl:3: peer "g2": port' in gateways[0].events("peer_list_rejected")[0]["fault"]
    assert len(gateways[0].events("peers_listed")) == listed
    gateways[1].kill()
    wait_for(lambda: states(gateways[0])["g2"] == "gone")  # still monitored under the previous list


FAULTY = [
    ("peers.key", "xyz", "peers.key:1: not hexadecimal"),
    ("peers.key", "ab", "peers.key:1: a key must have 16 to 64 octets, this one has 1"),
]


@pytest.mark.parametrize(("name", "text", "fault"), FAULTY)
def test_invalid_or_missing_key_file_gives_one_line_and_exit_status_2(name, text, fault, tmp_path):
    made = Process(tmp_path / "g1")
    (made.folder / name).write_text(text)
    command = [sys.executable, "-m", "yardbank", "serve", str(made.file)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and fault in done.stderr and "Traceback" not in done.stderr
    (made.folder / name).unlink()
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and "peers.key: No such file" in done.stderr


def test_invalid_peers_settings_and_several_workers_are_refused(tmp_path):
    made = Process(tmp_path / "g1")
    good = made.file.read_text()
    for change, fault in (
        (('fleet = "rig"', 'fleet = "r g"'), "peers: fleet"),
        (('timeout = "50ms"', 'timeout = "150ms"'), "half of period"),
        (('fleet = "rig"', "color = 3"), "peers: color: unknown key"),
    ):
        made.file.write_text(good.replace(*change))
        found = CliRunner().invoke(main, ["check", str(made.file)])
        assert found.exit_code == 2 and f"{made.file}:" in found.output and fault.split(": ")[-1] in found.output
    made.file.write_text(good)
    done = CliRunner().invoke(main, ["serve", str(made.file), "--workers", "2"])
    assert done.exit_code == 2 and "use one worker" in done.output


def test_port_in_use_is_reported_without_a_traceback(tmp_path):
    made = Process(tmp_path / "g1")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        text = made.file.read_text().replace(
            'fleet = "rig"\n  port = 0', f'fleet = "rig"\n  port = {taken.getsockname()[1]}'
        )
        made.file.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "yardbank", "serve", str(made.file)], capture_output=True, text=True, check=False
        )
    assert done.returncode == 2 and "cannot listen" in done.stderr and "Traceback" not in done.stderr


def test_peers_show_without_a_view_or_a_peers_block_says_so(tmp_path):
    made = Process(tmp_path / "g1")
    done = CliRunner().invoke(main, ["peers", "show", str(made.file)])
    assert done.exit_code == 2 and "has the gateway run?" in done.output
    text = made.file.read_text()
    start = text.index("peers {")
    made.file.write_text(text[:start] + text[text.index("}", start) + 1 :])
    done = CliRunner().invoke(main, ["peers", "show", str(made.file)])
    assert done.exit_code == 2 and "no peers block" in done.output


def test_peer_list_is_applied_whole_or_rejected_after_patience():
    watch, good = PeerList(patience=100), peers_text({"g1": 1, "g2": 2}).encode()
    assert watch.seen(0, {"p": good}) == [
        Accept({"g1": ("127.0.0.1", 1), "g2": ("127.0.0.1", 2)}, {"g1": "", "g2": ""})
    ]
    assert watch.seen(10, {"p": good}) == [] and watch.due() is None
    cut = good[: good.rindex(b"peer")]
    assert watch.seen(20, {"p": cut}) == [] and watch.due() == 120  # the file may still be being written
    assert watch.seen(119, {"p": cut}) == []
    (rejected,) = watch.seen(120, {"p": cut})
    assert rejected == Reject(("p:1: count: 2 peers expected, 1 found",))
    assert watch.seen(500, {"p": cut}) == [] and watch.due() is None and len(watch.places) == 2
    for text, fault in (
        (b"\xff", "p:1: not UTF-8"),
        (b" \n", "p:1: is empty"),
        (b"peer {", "p:"),
        (good + good, "is given twice"),
        (good.replace(b"port = 2", b"port = 1"), 'has the address of peer "g1"'),
    ):
        watch.seen(1000, {"p": text})
        (rejected,) = watch.seen(2000, {"p": text})
        assert any(fault in line for line in rejected.faults)
    assert watch.seen(3000, {"p": good}) == [] and watch.due() is None


def test_boot_epoch_is_above_the_stored_one_whatever_the_clock_says():
    assert (
        next_boot_epoch(None, 1000.7) == 1000
        and next_boot_epoch(5000, 1000.0) == 5001
        and next_boot_epoch(5, 1000.0) == 1000
    )
    assert next_boot_epoch(None, -5.0) == 1
    assert parse_stored_epoch("1234\n") == 1234
    assert [parse_stored_epoch(text) for text in ("", "x", "-5", "0", "\u0663", "9" * 20)] == [None] * 6
