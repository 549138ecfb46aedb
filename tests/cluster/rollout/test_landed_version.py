"""Compatibility with the program from before rollout messages: real processes of both, datagrams both ways."""

import io
import json
import os
import subprocess
import sys
import tarfile

import pytest

from tests.support.paths import ROOT
from tests.support.reactor_thread import ensure_reactor
from tests.support.router_world import wait_for
from yardbank.testing.ports import free_port

LANDED = "9d7b4df"  # the last commit without messages of parts

LANDED_GATEWAY = """
import sys, time
from pathlib import Path
from twisted.internet import reactor
from yardbank.config.schema import PeersBlock
from yardbank.peers.shell import Peers

class Alone:
    def figures(self): return {"figure": 1}
    def first_hand(self, now): return {}
    def listed(self): return []
    def believe(self, belief): pass

class Log:
    def __getattr__(self, level): return lambda event, **fields: None

folder, name, port = Path(sys.argv[1]), sys.argv[2], int(sys.argv[3])
block = PeersBlock(name=name, port=port, list="peers.hcl", key="key", view=name + ".json", period="200ms", timeout="50ms")
peers = Peers(block, folder, folder / (name + "-state"), reactor=reactor, now=time.monotonic_ns, wall=time.time, seed=1,
              log=Log(), sharing=Alone())
peers.start()
reactor.run()
"""


def landed(folder):
    """Extracts the landed program's files from the git history."""
    packed = subprocess.run(["git", "archive", LANDED, "yardbank"], cwd=ROOT, capture_output=True, check=False)
    if packed.returncode:
        pytest.skip(f"this clone has no commit {LANDED}: the landed program is not here to be run")
    with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder


def test_gateways_of_the_landed_and_the_current_program_see_each_other_alive(tmp_path):
    old_program = landed(tmp_path / "landed")
    names = {"g0": old_program, "g1": old_program, "g2": ROOT, "g3": ROOT, "g4": ROOT}
    ensure_reactor()
    ports = {name: free_port() for name in names}
    (tmp_path / "key").write_text("ab" * 32 + "\n")
    (tmp_path / "peers.hcl").write_text(
        "".join(f'peer "{name}" {{\n address = "127.0.0.1"\n port = {port}\n}}\n' for name, port in ports.items())
    )
    (tmp_path / "gateway.py").write_text(LANDED_GATEWAY)

    def start(name, program):
        script = ["-m", "tests.support.rollout_member"] if program == ROOT else [str(tmp_path / "gateway.py")]
        command = [sys.executable, *script, str(tmp_path), name, str(ports[name])]
        return subprocess.Popen(command, env={**os.environ, "PYTHONPATH": str(program)}, cwd=tmp_path)

    def view(name):
        try:
            return json.loads((tmp_path / f"{name}.json").read_text())
        except (OSError, ValueError):
            return {}

    def sees_all(name):
        states = {one["state"] for one in view(name).get("peers", {}).values()}
        return states == {"alive"} and view(name)["totals"].get("figure", {}).get("parts") == 5

    running = {name: start(name, program) for name, program in names.items()}
    try:
        wait_for(lambda: all(sees_all(name) for name in names), 40)

        def gateways_with_records(
            name,
        ):  # records of the current program's gateways reach each other; the landed ones ignore them
            shown = view(name).get("parts", {}).get("rollout", {})
            return sorted(one for found in (shown.get("places") or {}).values() for one in found)

        wait_for(lambda: all(gateways_with_records(name) == ["g2", "g3", "g4"] for name in ("g2", "g3", "g4")), 40)
        assert view("g0")["dropped"].get("version", 0) > 0  # messages arrived there and were ignored
        assert all(sees_all(name) for name in names)
        # A gateway is upgraded in place with its stored state, and downgraded again
        running["g1"].kill()
        running["g1"].wait()
        running["g1"] = start("g1", ROOT)
        wait_for(lambda: gateways_with_records("g2") == ["g1", "g2", "g3", "g4"], 40)
        running["g1"].kill()
        running["g1"].wait()
        before = view("g1")["life"]
        running["g1"] = start("g1", old_program)
        wait_for(lambda: view("g1").get("life", 0) > before and all(sees_all(name) for name in names), 40)
    finally:
        for process in running.values():
            process.kill()
            process.wait()
