"""Broken input of every kind the program reads: faults in words with file and line, never an exception of a library."""

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
PIECES = [
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
    """Texts near a valid one: pieces put in, cut out, doubled or swapped, at seeded places."""
    chance = random.Random(seed)
    for _ in range(count):
        changed = text
        for _ in range(chance.randint(1, 3)):
            at, size = chance.randrange(len(changed) + 1), chance.randint(1, 12)
            match chance.randrange(5):
                case 0:
                    changed = changed[:at] + chance.choice(PIECES) + changed[at:]
                case 1:
                    changed = changed[:at] + changed[at + size :]
                case 2:
                    changed = changed[:at] + chance.choice(PIECES) + changed[at + size :]
                case 3:
                    changed = changed[:at] + changed[at : at + size] + changed[at:]
                case 4:  # the value of a line
                    lines = changed.split("\n")
                    row = chance.randrange(len(lines))
                    lines[row] = lines[row].partition("=")[0] + "=" + chance.choice(PIECES)
                    changed = "\n".join(lines)
        yield changed


def located(faults, name):
    assert faults and all(fault.startswith(f"{name}") or fault.startswith("the list") for fault in faults), faults


@pytest.mark.parametrize("value", ['-"v7"', "-true", "-null", "-[1]", "-{}", "--1", "!1", '-""', "-(1)", "-f(1)"])
def test_a_minus_before_what_is_no_number_is_a_fault_with_its_line(value):
    with pytest.raises(HclError) as caught:
        parse(f"a = 1\n\nset ={value}\n")
    assert caught.value.line == 3
    with pytest.raises(ServerListError, match=r"list\.hcl:1: "):
        read_set({"list.hcl": f"set ={value}\n{LIST}".encode()}, {"numbers"})


def test_mutated_settings_end_in_faults_or_in_settings():
    good = bad = 0
    for text in mutations(TEXT, 1, 400):
        try:
            load_text(text, "gateway.hcl")
            good += 1
        except ConfigError as problem:
            located(problem.faults, "gateway.hcl")
            bad += 1
    assert good > 20 and bad > 20


def test_mutated_lists_end_in_faults_or_in_a_list_by_either_reader():
    good = bad = 0
    cache = BlockCache()
    for text in mutations(LIST, 2, 800):
        ends = []
        for blocks in (cache, None):
            try:
                ends.append(read_set({"list.hcl": text.encode()}, {"numbers"}, blocks).servers)
            except ServerListError as problem:
                located(problem.faults, "list.hcl")
                ends.append(problem.faults)
        assert ends[0] == ends[1]
        good, bad = good + isinstance(ends[0], tuple), bad + isinstance(ends[0], list)
    assert good > 20 and bad > 20


def test_mutated_models_end_in_faults_or_in_a_problem():
    good = bad = 0
    for text in mutations(MODEL, 3, 400):
        try:
            read_problem(text, "model.hcl")
            good += 1
        except PlanError as problem:
            located(problem.faults, "model.hcl")
            bad += 1
    assert good > 0 and bad > 20


def test_mutated_state_is_refused_in_words():
    servers = [ServerState("a", "g", "z", "127.0.0.1", 1, marks={"1": [5, "x"]})]
    whole = encode(Snapshot(1.0, 3, "d", True, servers, [GroupState("g", {"1": [9]})]))
    chance, bad = random.Random(4), 0
    for _ in range(2000):
        changed = bytearray(whole)
        for _ in range(chance.randint(1, 4)):
            match chance.randrange(3):
                case 0:
                    changed[chance.randrange(len(changed))] ^= 1 << chance.randrange(8)
                case 1:
                    del changed[chance.randrange(len(changed)) :]
                    changed += b"\x00"
                case 2:
                    changed.insert(chance.randrange(len(changed) + 1), chance.randrange(256))
        try:
            assert decode(bytes(changed)) == decode(whole) and bytes(changed) == whole
        except SnapshotError as problem:
            assert str(problem)
            bad += 1
    assert bad > 1900
