"""Broken input of every format that is read gives faults naming file and line, never an exception of a library."""

import random

import pytest

from tests.config.test_settings import TEXT
from yardbank.config import ConfigError, load_text
from yardbank.config.hcl import HclError, parse
from yardbank.gateway.api import ServerSpec
from yardbank.plan.document import PlanError, read_problem
from yardbank.server_list.block_cache import BlockCache
from yardbank.server_list.document import ServerListError, read_set, render
from yardbank.state.snapshot import GroupState, ServerState, Snapshot, SnapshotError, decode, encode

LIST = render([ServerSpec(f"s{i}", "numbers", "norte", "127.0.0.1", 1000 + i, i == 0) for i in range(3)], "v7")
MODEL = """
server "a" {
  group    = "g"
  zone     = "z"
  capacity = 10.5
}
demand "lookup" {
  group = "g"
  zone  = "z"
  rate  = 4
}
limits {
  most_used = 0.9
}
spill {
  z = 0.5
}
"""
FRAGMENTS = [
    "-",
    "--",
    '"',
    "'",
    "{",
    "}",
    "[",
    "]",
    "=",
    "==",
    "!",
    "!true",
    "?",
    ":",
    "1 + 1",
    "(",
    ")",
    "null",
    "true",
    '-"v"',
    "-null",
    "-[1]",
    "-{}",
    "1e999",
    "-1e999",
    "9" * 400,
    "0x1",
    "${",
    "%{",
    "<<EOT\n",
    "EOT\n",
    "/*",
    "*/",
    "//",
    "#",
    "\n",
    "\t",
    "\x00",
    "é",
    "\\",
    "\\u12",
    "for",
    "...",
    ".",
    ",",
    "a.b",
    "a[0]",
    "f()",
    "*",
    "{ a = 1 }",
    "[for x in y : x]",
]


def mutations(text, seed, count):
    """Variants of a valid text with fragments inserted, removed, duplicated or replaced at seeded positions."""
    rng = random.Random(seed)
    for _ in range(count):
        changed = text
        for _ in range(rng.randint(1, 3)):
            at, size = rng.randrange(len(changed) + 1), rng.randint(1, 12)
            match rng.randrange(5):
                case 0:
                    changed = changed[:at] + rng.choice(FRAGMENTS) + changed[at:]
                case 1:
                    changed = changed[:at] + changed[at + size :]
                case 2:
                    changed = changed[:at] + rng.choice(FRAGMENTS) + changed[at + size :]
                case 3:
                    changed = changed[:at] + changed[at : at + size] + changed[at:]
                case 4:  # replace the value of a line
                    lines = changed.split("\n")
                    row = rng.randrange(len(lines))
                    lines[row] = lines[row].partition("=")[0] + "=" + rng.choice(FRAGMENTS)
                    changed = "\n".join(lines)
        yield changed


def assert_located(faults, name):
    assert faults and all(fault.startswith(f"{name}") or fault.startswith("the list") for fault in faults), faults


@pytest.mark.parametrize("value", ['-"v7"', "-true", "-null", "-[1]", "-{}", "--1", "!1", '-""', "-(1)", "-f(1)"])
def test_minus_before_a_non_number_is_a_fault_with_its_line(value):
    with pytest.raises(HclError) as caught:
        parse(f"a = 1\n\nset ={value}\n")
    assert caught.value.line == 3
    with pytest.raises(ServerListError, match=r"list\.hcl:1: "):
        read_set({"list.hcl": f"set ={value}\n{LIST}".encode()}, {"numbers"})


def test_mutated_settings_give_faults_or_settings():
    valid = invalid = 0
    for text in mutations(TEXT, 1, 400):
        try:
            load_text(text, "gateway.hcl")
            valid += 1
        except ConfigError as problem:
            assert_located(problem.faults, "gateway.hcl")
            invalid += 1
    assert valid > 20 and invalid > 20


def test_mutated_lists_give_the_same_faults_or_list_from_both_readers():
    valid = invalid = 0
    cache = BlockCache()
    for text in mutations(LIST, 2, 800):
        results = []
        for blocks in (cache, None):
            try:
                results.append(read_set({"list.hcl": text.encode()}, {"numbers"}, blocks).servers)
            except ServerListError as problem:
                assert_located(problem.faults, "list.hcl")
                results.append(problem.faults)
        assert results[0] == results[1]
        valid, invalid = valid + isinstance(results[0], tuple), invalid + isinstance(results[0], list)
    assert valid > 20 and invalid > 20


def test_mutated_models_give_faults_or_a_problem():
    valid = invalid = 0
    for text in mutations(MODEL, 3, 400):
        try:
            read_problem(text, "model.hcl")
            valid += 1
        except PlanError as problem:
            assert_located(problem.faults, "model.hcl")
            invalid += 1
    assert valid > 0 and invalid > 20


def test_mutated_state_is_rejected_with_a_message():
    servers = [ServerState("a", "g", "z", "127.0.0.1", 1, marks={"1": [5, "x"]})]
    whole = encode(Snapshot(1.0, 3, "d", True, servers, [GroupState("g", {"1": [9]})]))
    rng, invalid = random.Random(4), 0
    for _ in range(2000):
        changed = bytearray(whole)
        for _ in range(rng.randint(1, 4)):
            match rng.randrange(3):
                case 0:
                    changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
                case 1:
                    del changed[rng.randrange(len(changed)) :]
                    changed += b"\x00"
                case 2:
                    changed.insert(rng.randrange(len(changed) + 1), rng.randrange(256))
        try:
            assert decode(bytes(changed)) == decode(whole) and bytes(changed) == whole
        except SnapshotError as problem:
            assert str(problem)
            invalid += 1
    assert invalid > 1900
