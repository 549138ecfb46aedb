"""Shared by tests of the platform's program as a process: starts it, and plays the first watch of discovery."""

import os
import socket
import subprocess
import sys

import orjson

from tests.support.platform import CONFIG, HEAD, chunk
from yardbank.testing.ports import free_port

UNCHANGED = orjson.dumps({"generation": 41, "reset": False, "instances": []}) + b"\n"


def discovery_listener():
    """A listening socket that stands for discovery."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(60)
    return listener


def accept_watch(listener, list_line=UNCHANGED):
    """Accepts a watch and answers it with one list; returns its connection and the request."""
    watch, _ = listener.accept()
    watch.settimeout(60)
    request = watch.recv(1000)
    watch.sendall(HEAD + chunk(list_line))
    return watch, request


def read_until_listening(process):
    """Reads the program's log up to the line that says that it listens; returns the lines."""
    lines = []
    for line in process.stderr:
        lines.append(line)
        if b'"listening"' in line:
            break
    return lines


def start_program(tmp_path, listener, *flags, **change):
    """Starts the program on a free port, with discovery at ``listener``; returns its process, the port and its file.

    ``change``: fields of its file that differ from ``CONFIG``.
    """
    port = free_port()
    file = tmp_path / "config.json"
    here = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{listener.getsockname()[1]}"}
    file.write_bytes(orjson.dumps({**CONFIG, **here, **change}))
    process = subprocess.Popen(
        [sys.executable, *flags, "-m", "yardbank.platform"],
        env={**os.environ, "NODE_CONFIG": str(file)},
        stderr=subprocess.PIPE,
    )
    return process, port, file


def serving(tmp_path, *flags, **change):
    """Starts the program and waits until it listens; discovery has nothing new for it.

    Returns its process, the port, the lines written so far and its watch, to be kept open.
    """
    with discovery_listener() as listener:
        process, port, _ = start_program(tmp_path, listener, *flags, **change)
        watch, _ = accept_watch(listener)
    return process, port, read_until_listening(process), watch
