"""The adapter process: only replies on standard output, and error messages that name the field for malformed input."""

import json
import re
import subprocess
import sys
import tomllib

from tests.support.paths import ROOT

ENV = {
    "ceilings": {
        "cancel": True,
        "probes": True,
        "max_attempts": 4,
        "retry_after": True,
        "max_retry_after": 10**9,
    },
    "domain": {
        "checks": "bounce",
        "class_read": ["causal", "mutate"],
        "lag_allowed": [0, 0],
        "position_zero": 0,
        "session_marks": "brought",
        "tells_position": False,
    },
    "fleet_size": 1,
    "period": 5000000,
    "reporting": {"via": "pull"},
    "unknown": {"skip": 1},
    "zone": "z",
    "rules": {"cold": 10**10, "fall": 10**9, "start_capacity": 0.3, "tip_multiple": 2.5},
    "services": [
        {
            "aim": 5 * 10**8,
            "credit": 1,
            "effect": "pure",
            "hard_limit": 10**9,
            "late_worth": 0,
            "name": "look",
        },
        {
            "aim": 5 * 10**8,
            "credit": 3,
            "effect": "side_effect",
            "hard_limit": 10**9,
            "late_worth": 0.5,
            "name": "commit",
        },
    ],
}
MEMBERS = [
    {
        "server": 11,
        "zone": "z",
        "type": "k",
        "shard": 0,
        "head": 1,
        "mode": "live",
        "weight": 1,
        "up_since": None,
    },
    {
        "server": 12,
        "zone": "z",
        "type": "k",
        "shard": 0,
        "head": 0,
        "mode": "live",
        "weight": 1,
        "up_since": None,
    },
]
SETUP = [
    {"kind": "hello", "gateway": 3, "init_seed": 5, "env": ENV},
    {"kind": "snapshot_rows", "table": 0, "members": MEMBERS},
    {"kind": "topology", "gateway": 3, "scope": "SAVED", "stamp": 1, "table": 0},
]
REQUEST = {
    "kind": "call",
    "gateway": 3,
    "rid": "r",
    "work": None,
    "mutates": False,
    "customer": None,
    "is_retry": False,
    "since_write_ms": 0,
    "expires": 2 * 10**9,
    "priority": "look",
    "session": "aa",
    "partition_no": 0,
    "extra": 1,
}


def run_adapter(*lines):
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    process = subprocess.run(
        [sys.executable, "-m", "yardbank.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert process.returncode == 0 and "Traceback" not in process.stderr
    return [json.loads(line)["steps"] for line in process.stdout.splitlines()], process.stderr


def test_request_is_forwarded_and_answered():
    ok = {
        "kind": "settled",
        "gateway": 3,
        "rid": "r",
        "trial": 0,
        "server": 12,
        "verdict": "Ok",
        "took": 10**7,
        "finished": True,
        "mark": 2,
        "gauge": None,
    }
    replies, errors = run_adapter(
        {"now": 0, "items": []},
        {"now": 10**9, "items": SETUP},
        {"now": 10**9, "items": [REQUEST]},
        {"now": 10**9 + 10**7, "items": [ok, {"kind": "cancelled_by_client", "gateway": 3, "rid": "r"}]},
        {"now": 10**9 + 10**7, "items": [{"kind": "destroy", "gateway": 3}, *SETUP]},
    )
    assert errors == "" and replies[0] == []
    sends = [step for step in replies[2] if step["kind"] == "forward"]
    assert sends == [{"kind": "forward", "gateway": 3, "rid": "r", "server": 12, "not_past": 2 * 10**9}]
    assert replies[4] == []


def test_malformed_lines_are_reported_with_the_field_name():
    replies, errors = run_adapter(
        "not json",
        {"now": "soon", "items": []},
        {"now": 10**9, "items": SETUP},
        {"now": 10**9, "items": [{**REQUEST, "expires": None}]},
        {"now": 10**9, "items": [{**REQUEST, "expires": "later"}]},
        {"now": 10**9, "items": [{"kind": "riddle", "gateway": 3}]},
        {"now": 10**9, "items": [{**REQUEST, "priority": "unheard-of"}]},
        {"now": 10**9, "items": [7]},
        {"now": 10**9, "items": [REQUEST]},
    )
    assert replies[0] == replies[1] == replies[7] == []
    for reply, name in zip(replies[3:7], ["expires", "expires", "kind", "class_name"], strict=True):
        assert [step["kind"] for step in reply] == ["die"] and name in reply[0]["msg"]
    assert "'now'" in errors and "forward" in [step["kind"] for step in replies[8]]


def test_error_for_invalid_settings_names_the_field():
    start = [{**SETUP[0], "env": {**ENV, "zone": 4}}]
    replies, errors = run_adapter({"now": 1, "items": start})
    assert [step["kind"] for step in replies[0]] == ["die"] and "zone" in errors


def test_readme_example_runs():
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)[-1]
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert process.stdout.split("\n")[:2] == ["1", "[1]"]


def test_policy_package_stays_within_its_size_limit():
    files = sorted((ROOT / "yardbank" / "policy").glob("*.py"))
    lines = [line for file in files for line in file.read_text().splitlines()]
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(listed) == [str(file.relative_to(ROOT)) for file in files]  # the benchmark needs each file listed
    assert len(files) > 1 and sum(1 for line in lines if line.strip()) <= 1_200  # above this the benchmark warns
    assert max(map(len, lines)) <= 120  # the formatter's line length


def test_error_for_wrong_types_in_hello_names_the_field():
    for change, name in (
        ({"domain": None}, "domain"),
        ({"domain": 7}, "domain"),
        ({"domain": {**ENV["domain"], "lag_allowed": ["soon", 0]}}, "lag_allowed"),
        ({"domain": {**ENV["domain"], "class_read": [1, 2]}}, "class_read"),
        ({"domain": {**ENV["domain"], "patience": -1}}, "patience"),
        ({"fleet_size": 0}, "gateways"),
        ({"period": 0}, "period"),
        ({"services": []}, "classes"),
    ):
        replies, errors = run_adapter({"now": 1, "items": [{**SETUP[0], "env": {**ENV, **change}}]})
        assert [step["kind"] for step in replies[0]] == ["die"], change
        assert name in errors and "Traceback" not in errors
