"""A rollout over real processes: supervised gateways change by a restart, and roll back after two stop commands."""

import json
import signal
import subprocess
import sys

from tests.support.reactor_thread import world
from tests.support.router_world import wait_for
from yardbank.cluster.rollout import active_version as active_version_file
from yardbank.testing.ports import free_port

NAMES = ["g0", "g1", "g2", "g3"]
ROLLOUT = """
rollout "r1" {
  settings = "new.hcl"
  stages   = [0.5, 1]
  hold     = "1s"
  settle   = "1s"
  outage   = "8s"
}
"""


def test_supervised_gateways_change_by_restart_and_roll_back_after_two_stops(tmp_path):
    with world(start=False) as place:
        ports = {name: free_port() for name in NAMES}
        peers = "".join(
            f'peer "{name}" {{\n address = "127.0.0.1"\n port = {port}\n}}\n' for name, port in ports.items()
        )
        running = {}

        def put(name, file, text):
            (tmp_path / name / file).write_text(text)

        for name in NAMES:
            place.port = free_port()
            (tmp_path / name).mkdir()
            put(name, "key", "ab" * 32 + "\n")
            put(name, "peers.hcl", peers)
            text = place.settings().replace('level = "warning"', 'level = "info"') + (
                f'peers {{\n name = "{name}"\n port = {ports[name]}\n list = "peers.hcl"\n key = "key"\n period = "400ms"\n'
                ' timeout = "150ms"\n}\nstate {\n path = "state"\n}\nrollout {\n young = "2s"\n}\n'
            )
            put(name, "g.hcl", text)
            put(
                name,
                "new.hcl",
                text.replace("limits {", "limits {\n  max_open = 9999", 1)
                if "limits {" in text
                else text + "limits {\n  max_open = 9999\n}\n",
            )

        def events(name, event):
            lines = (tmp_path / name / "log").read_text().splitlines()
            found = [json.loads(line) for line in lines if line.startswith("{")]
            return [line for line in found if line["event"] == event]

        def whats(name):
            return [line["what"] for line in events(name, "rollout")]

        def on_new():
            return [name for name in NAMES if active_version_file.read(tmp_path / name).now.rollout == "r1"]

        try:
            for name in NAMES:
                with (tmp_path / name / "log").open("wb") as out:
                    command = [
                        sys.executable,
                        "-m",
                        "yardbank",
                        "serve",
                        str(tmp_path / name / "g.hcl"),
                        "--supervised",
                    ]
                    running[name] = subprocess.Popen(command, stderr=out)
            for name in NAMES:
                put(name, "rollout.hcl", ROLLOUT)
            wait_for(lambda: any("new" in whats(name) for name in NAMES), 90)
            (first, *_) = [name for name in NAMES if "new" in whats(name)]
            assert first in on_new() and len(events(first, "worker_restarted")) == 1
            assert events(first, "worker_started")[-1]["rollout"] == "r1"
            for name in NAMES[:2]:
                done = subprocess.run(
                    [sys.executable, "-m", "yardbank", "rollout", "stop", str(tmp_path / name / "g.hcl"), "r1"],
                    check=False,
                    capture_output=True,
                )
                assert done.returncode == 0, done.stderr
            wait_for(lambda: all("stopped" in whats(name) for name in NAMES), 60)
            wait_for(lambda: not on_new() and "old" in whats(first), 120)
            assert {line["rollout"] for line in events(first, "worker_started")} == {"", "r1"}
            for process in running.values():
                process.send_signal(signal.SIGTERM)
            assert [process.wait(30) for process in running.values()] == [0] * 4
        finally:
            for process in running.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGTERM)
                    try:
                        process.wait(20)
                    except subprocess.TimeoutExpired:
                        process.kill()
