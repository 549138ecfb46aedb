"""Server lists by length: octets, and processor time to read them."""

from __future__ import annotations

import time

import msgspec

from benchmarks.scale.decisions import DATABASES, MEMBERS, specs
from benchmarks.scale.line import COUNTED, Line, Quantity, Values
from benchmarks.scale.memory import grown_kib
from yardbank.gateway import ServerSpec
from yardbank.platform.listing import parse_listing
from yardbank.server_list import Apply, ServerListLifecycle
from yardbank.server_list.document import render


def files_by_databases(databases: int, seed: int) -> Values:
    """Measure the operator's list files: octets, first read, and read with one changed entry."""
    lifecycle = ServerListLifecycle({f"group-{n:05}" for n in range(databases // MEMBERS + 1)}, settle=0)
    listed = specs(databases)
    text = render(listed).encode()
    began = time.process_time()
    (action,), memory = grown_kib(lambda: lifecycle.seen(1, {"list": text}))  # type: ignore[misc]
    first = (time.process_time() - began) * 1e3
    assert isinstance(action, Apply)
    times = []
    for turn in range(5):
        index = 1 + (seed + turn) * 7 % (databases - 1)
        old = listed[index]
        listed[index] = ServerSpec(old.name, old.group, old.zone, "10.0.0.2", 6000 + turn, old.primary)
        changed = render(listed).encode()
        began = time.process_time()
        (action,) = lifecycle.seen(2 + turn, {"list": changed})
        times.append((time.process_time() - began) * 1e3)
        assert isinstance(action, Apply)
    return {
        "whole": len(text) / 1024,
        "one entry": len(render(listed[:1])),
        "memory": memory,
        "first read": first,
        "changed entry": sorted(times)[2],
    }


def _discovery_message(databases: int, reset: bool) -> bytes:
    entries = [
        {
            "instanceId": f"s-{n:08x}",
            "hostPort": f"10.1.{n % 250}.{n % 200}:6432",
            "zone": f"z{n % 11}",
            "machineType": "m2",
            "cell": n // MEMBERS,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 1767225600123,
        }
        for n in range(databases)
    ]
    return msgspec.json.encode({"generation": 41, "reset": reset, "instances": entries})


def discovery_by_databases(databases: int, seed: int) -> Values:
    """Measure the lists of the platform's discovery service: octets and time to read."""
    whole, one = _discovery_message(databases, True), _discovery_message(1, False)
    began = time.process_time()
    parse_listing(whole)
    first = (time.process_time() - began) * 1e3
    began = time.process_time()
    for _ in range(200):
        parse_listing(one)
    return {
        "whole": len(whole) / 1024,
        "one entry": len(one),
        "whole read": first,
        "one entry read": (time.process_time() - began) / 200 * 1e3,
    }


LINES = (
    Line(
        "list-files",
        "List files by databases",
        "databases",
        DATABASES,
        3900,
        (
            Quantity("whole", "KiB", COUNTED),
            Quantity("one entry", "octets", COUNTED),
            Quantity("memory", "KiB"),
            Quantity("first read", "ms"),
            Quantity("changed entry", "ms"),
        ),
        files_by_databases,
        "The operator's list as `yardbank list` writes it, read and checked; then with one entry moved, written whole.",
        small=(100,),
    ),
    Line(
        "list-discovery",
        "Discovery's lists by databases",
        "databases",
        DATABASES,
        3900,
        (
            Quantity("whole", "KiB", COUNTED),
            Quantity("one entry", "octets", COUNTED),
            Quantity("whole read", "ms"),
            Quantity("one entry read", "ms"),
        ),
        discovery_by_databases,
        "Messages of the operators' platform: a whole list, and a change of one entry as its watch brings it.",
        small=(100,),
    ),
)
