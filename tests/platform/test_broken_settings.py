"""Invalid configurations: one line and exit code 2 at the start, one log line at a reload, the last valid one stays."""

import copy
import json
import os
import signal
import socket
import subprocess
import sys

import orjson
import pytest

from tests.support.platform import CONFIG, ENTRY, START, Log, Reactor, listening, query
from tests.support.platform_process import accept_watch, read_until_listening, start_program
from yardbank.gateway.api import SECOND
from yardbank.platform.client import EMPTY_QUERY_ANSWER
from yardbank.platform.config import PlatformError, read_config
from yardbank.platform.service import Service

SERVICES = [
    {
        "name": "look",
        "aim": SECOND,
        "hard_limit": 2 * SECOND,
        "credit": 1.0,
        "late_worth": 0.0,
        "effect": "pure",
        "key_scope": "all",
        "window": 0,
    },
    {"name": "book", "aim": SECOND, "hard_limit": 2 * SECOND, "effect": "token", "key_scope": "cell", "window": SECOND},
]
FULL = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "5",
    "limits": {"memory_mb": 64, "sockets": 256},
    "settings": {
        "zone": "a",
        "fleet_size": 3,
        "period": 1_000_000,
        "registry_mode": "automatic",
        "services": SERVICES,
        "domain": {
            "checks": "bounce",
            "class_read": ["lag_bound", "mutate"],
            "lag_allowed": [800_000_000, 0],
            "patience": 0,
            "session_marks": "brought",
            "tells_position": False,
        },
        "ceilings": {
            "idle_close": 10 * SECOND,
            "max_attempts": 3,
            "cancel": True,
            "probes": True,
            "connect_timeout": 10**8,
            "retry_after": True,
            "max_retry_after": SECOND,
        },
        "rules": {"cold": SECOND, "start_capacity": 0.3, "dropped_stay_open": False},
        "reporting": {"via": "pull", "names": ["x0"]},
    },
    "known": {"generation": 1, "reset": True, "instances": [ENTRY]},
}
ODD = (
    b"null",
    b"-1",
    b"0",
    b"1.5",
    b"true",
    b'"x"',
    b'""',
    b"[]",
    b"{}",
    b"NaN",
    b"Infinity",
    b"1e999",
    b"1e300",
    b"-1e300",
    b"1" + b"0" * 30,
    b"9" * 400,
    b"[1]",
    b"[null]",
    b'{"a":1}',
)


def paths(value, where=()):
    if where:
        yield where
    for name, held in value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ():
        yield from paths(held, (*where, name))


def with_octets(where, octets, template=FULL):
    """The document with other octets in one place."""
    document = copy.deepcopy(template)
    place = document
    for name in where[:-1]:
        place = place[name]
    place[where[-1]] = "@@"
    return orjson.dumps(document).replace(b'"@@"', octets)


@pytest.mark.parametrize("where", list(paths(FULL)), ids=lambda where: ".".join(map(str, where)))
def test_any_value_in_any_field_is_accepted_or_rejected_in_one_line_naming_the_field(where):
    named = {str(name) for name in where} | {
        "JSON",
        *{
            "credit": ("worth",),
            "hard_limit": ("deadline",),
            "fleet_size": ("gateways",),
            "key_scope": ("scope",),
            "start_capacity": ("cold_share",),
            "lag_allowed": ("staleness_bound",),
            "services": ("classes",),
        }.get(str(where[-1]), ()),
        *(("staleness_bound",) if "lag_allowed" in where else ()),
    }
    for octets in ODD:
        try:
            config = read_config(with_octets(where, octets))
        except PlatformError as problem:
            assert "\n" not in str(problem) and any(name in str(problem) for name in named), (octets, str(problem))
            continue
        made = Service(config, Reactor(), Log(), listening)  # a service can start with whatever is accepted
        made.start()


BAD = {
    "no JSON": (b"{", "not JSON"),
    "NaN": (with_octets(("settings", "services", 0, "credit"), b"NaN"), "not JSON"),
    "no object": (b"[1]", "object"),
    "settings no object": (with_octets(("settings",), b"[1]"), "settings"),
    "wrong type": (with_octets(("settings", "services", 1, "aim"), b'"soon"'), "aim"),
    "negative aim": (with_octets(("settings", "services", 1, "aim"), b"-1"), "classes[book].aim"),
    "negative window": (with_octets(("settings", "services", 1, "window"), b"-1"), "classes[book].window"),
    "no classes": (with_octets(("settings", "services"), b"[]"), "classes"),
    "a class twice": (with_octets(("settings", "services", 1, "name"), b'"look"'), "distinct names"),
    "a class without a name": (with_octets(("settings", "services", 1, "name"), b'""'), "names"),
    "unknown effect": (with_octets(("settings", "services", 1, "effect"), b'"fatal"'), "effect"),
    "unknown registry mode": (with_octets(("settings", "registry_mode"), b'"push"'), "registry_mode"),
    "unknown read": (with_octets(("settings", "domain", "class_read", 0), b'"eager"'), "class_read"),
    "no time to connect": (with_octets(("settings", "ceilings", "connect_timeout"), b"0"), "connect_timeout"),
    "negative idle time": (with_octets(("settings", "ceilings", "idle_close"), b"-1"), "idle_close"),
    "retry-after no yes or no": (with_octets(("settings", "ceilings", "retry_after"), b'"no"'), "retry_after"),
    "a time beyond all": (with_octets(("settings", "services", 0, "aim"), b"9" * 400), "classes[look].aim"),
    "too few sockets": (with_octets(("limits", "sockets"), b"8"), "limits.sockets"),
    "memory no number": (with_octets(("limits", "memory_mb"), b'"much"'), "limits.memory_mb"),
    "a known list": (with_octets(("known", "instances", 0, "hostPort"), b'"h"'), "known: instances[0].hostPort"),
}


@pytest.mark.parametrize("bad", BAD)
def test_an_invalid_configuration_ends_the_start_with_exit_code_2_and_one_line(tmp_path, bad):
    octets, name = BAD[bad]
    file = tmp_path / "config.json"
    file.write_bytes(octets)
    ended = subprocess.run(
        [sys.executable, "-m", "yardbank.platform"],
        env={**os.environ, "NODE_CONFIG": str(file)},
        capture_output=True,
        timeout=60,
        check=False,
    )
    (line,) = ended.stderr.decode().splitlines()
    assert ended.returncode == 2 and line.startswith(f"yardbank: {file}: ") and name in line


def test_an_invalid_configuration_at_reload_is_logged_and_the_last_valid_one_stays(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as discovery, socket.create_server(("127.0.0.1", 0)) as other:
        discovery.settimeout(30)
        other.settimeout(30)
        process, port, file = start_program(tmp_path, discovery)
        try:
            watch, _ = accept_watch(discovery)
            read_until_listening(process)
            for octets, name in BAD.values():
                file.write_bytes(octets)
                process.send_signal(signal.SIGHUP)
                entry = json.loads(next(line for line in process.stderr if b'"reload' in line))
                assert (
                    entry["event"] == "reload_rejected" and name in entry["problem"] and str(file) in entry["problem"]
                )
                with socket.create_connection(("127.0.0.1", port), 30) as client:
                    client.sendall(START + query(""))
                    got = b""
                    while not got.endswith(EMPTY_QUERY_ANSWER):
                        got += client.recv(1000)
            moved = {**CONFIG, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{other.getsockname()[1]}"}
            file.write_bytes(orjson.dumps(moved))
            process.send_signal(signal.SIGHUP)
            other.accept()[0].close()  # the next valid one is applied
            watch.close()
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()
            process.stderr.close()
