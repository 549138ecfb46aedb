"""Process groups of the guardian: a supervised gateway is paused, resumed and killed with its worker."""

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

from tests.support.router_world import wait_for


def states(group):
    """The states of all processes of a group."""
    found = []
    for entry in Path("/proc").iterdir():
        with suppress(OSError, ValueError):
            if entry.name.isdigit() and os.getpgid(int(entry.name)) == group:
                found.append((entry / "stat").read_text().rpartition(")")[2].split()[0])
    return [state for state in found if state != "Z"]


def test_signals_reach_the_whole_process_group_and_no_process_remains(tmp_path):
    command = [sys.executable, "-m", "yardbank.testing.rig.guardian"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as guardian:

        def send_command(do, **more):
            guardian.stdin.write(json.dumps({"do": do, "name": "g1", **more}) + "\n")
            guardian.stdin.flush()

        def start(script):
            send_command(
                "start", command=["/bin/sh", "-c", script], log=str(tmp_path / "log"), env={"WORD": "up"}, group=True
            )
            event = json.loads(guardian.stdout.readline())
            assert json.loads(guardian.stdout.readline())["line"] == "up"
            return event["pid"]

        try:
            group = start("sleep 600 & echo $WORD; wait")
            assert len(states(group)) == 2
            send_command("signal", signal=int(signal.SIGSTOP))
            wait_for(lambda: states(group) == ["T", "T"])
            send_command("signal", signal=int(signal.SIGKILL))
            wait_for(lambda: not states(group))
            assert json.loads(guardian.stdout.readline())["signal"] == signal.SIGKILL
            group = start("sleep 600 >/dev/null 2>&1 & echo $WORD")  # exits by itself and leaves a child process
            assert json.loads(guardian.stdout.readline())["code"] == 0
            wait_for(lambda: not states(group))
            group = start("sleep 600 & echo $WORD; wait")
            guardian.stdin.close()
            wait_for(lambda: not states(group))
        finally:
            guardian.kill()
