"""KNOWN-RED.txt: what it may say, and that the suite holds to it."""

import subprocess
import sys

import pytest

from tests.support import known_red
from tests.support.known_red import Fails, KnownRed, KnownRedError, entry_for, missing, read


def listed(test, fails=Fails.ALWAYS):
    return KnownRed(test, "make test", fails, "it is late", "38")


def test_an_absent_or_empty_file_lists_none_and_lines_have_five_parts():
    assert read("") == read("\n\n") == []
    line = "tests/test_a.py::test_b[c] | make test | always | it is late | 38\n"
    assert read(line) == [listed("tests/test_a.py::test_b[c]")]
    assert read(line.replace("always", "sometimes")) == [listed("tests/test_a.py::test_b[c]", Fails.SOMETIMES)]
    wrong = ["tests/test_a.py::test_b", "a | b", "a | b | c", "a | b | always | d", "a | b | always |  | c"]
    for each in (*wrong, "a | b | always | c | d | e", "a | b | now and then | c | d", "a | b | Always | c | d"):
        with pytest.raises(KnownRedError, match=r"KNOWN-RED\.txt:2: "):
            read("\n" + each)


def test_no_fault_is_left_out_for_its_number():
    line = "tests/test_a.py::test_b | make test | always | cause | 38\n"
    assert len(read(40 * line)) == 40


def test_only_the_field_says_when_a_test_fails():
    (entry,) = read("tests/test_a.py::test_b | make test | always | now and then: late | 38\n")
    assert entry.always_fails


def test_a_line_that_names_no_test_is_found():
    here = "tests/test_known_red.py::"
    name = "test_no_fault_is_left_out_for_its_number"
    there = [listed(here + name), listed(here + name + "[x]")]
    absent = [listed(here + "test_none"), listed("tests/none.py::test_a"), listed("tests")]
    assert missing(there + absent, known_red.ROOT) == [entry.test for entry in absent]


def test_a_line_without_a_case_lists_all_cases():
    known = [listed("t.py::test_a"), listed("t.py::test_b[x]")]
    assert entry_for("t.py::test_a[y]", known) == entry_for("t.py::test_a", known) == known[0]
    assert entry_for("t.py::test_b[x]", known) == known[1] and entry_for("t.py::test_b[y]", known) is None


SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("test", "fails", "code", "said"),
    [
        ("test_red", "always", 0, "KNOWN RED: tests/test_x.py::test_red: fails always: a cause (make test; issue 38)"),
        ("test_green", "always", 1, "XPASS(strict)"),
        ("test_red", "sometimes", 0, "KNOWN RED: tests/test_x.py::test_red: fails sometimes: a cause"),
        ("test_red", "sometimes", 0, "KNOWN RED failed: tests/test_x.py::test_red"),
        ("test_none", "always", 4, "names no test: tests/test_x.py::test_none"),
        ("test_red", "often", 4, "KNOWN-RED.txt:1: 'always or sometimes' is expected, not 'often'"),
        (None, "", 1, "assert False"),
    ],
)
def test_the_suite_passes_over_just_what_is_listed(tmp_path, test, fails, code, said):
    """A suite of its own, with this one's conftest: a listed test must fail, and nothing else may."""
    ran = run_suite(tmp_path, SUITE, [(test, fails)] if test else [])
    assert ran.returncode == code and said in ran.stdout + ran.stderr


def test_what_fails_sometimes_may_pass_and_decides_nothing(tmp_path):
    ran = run_suite(tmp_path, "def test_green():\n    pass\n", [("test_green", "sometimes")])
    assert ran.returncode == 0 and "KNOWN RED: tests/test_x.py::test_green" in ran.stdout


def run_suite(folder, suite, entries):
    tests = folder / "tests"
    (tests / "support").mkdir(parents=True)
    for name in ("__init__.py", "conftest.py", "support/__init__.py", "support/known_red.py", "support/paths.py"):
        (tests / name).write_bytes((known_red.ROOT / "tests" / name).read_bytes())
    (tests / "test_x.py").write_text(suite)
    lines = [f"tests/test_x.py::{test} | make test | {fails} | a cause | 38\n" for test, fails in entries]
    if lines:
        (folder / "KNOWN-RED.txt").write_text("".join(lines))
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )
