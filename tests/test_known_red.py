"""KNOWN-RED.txt: what it may say, and that the suite holds to it."""

import subprocess
import sys

import pytest

from tests.support import known_red
from tests.support.known_red import KnownRed, KnownRedError, entry_for, missing, read


def listed(test):
    return KnownRed(test, "make test", "it is late", "38")


def test_an_absent_or_empty_file_lists_none_and_lines_have_four_parts():
    assert read("") == read("\n\n") == []
    line = "tests/test_a.py::test_b[c] | make test | it is late | 38\n"
    assert read(line) == [listed("tests/test_a.py::test_b[c]")]
    for wrong in ("tests/test_a.py::test_b", "a | b", "a | b | c", "a | b |  | c", "a | b | c | d | e"):
        with pytest.raises(KnownRedError, match=r"KNOWN-RED\.txt:2: "):
            read("\n" + wrong)


def test_three_at_most():
    line = "tests/test_a.py::test_b | make test | cause | 38\n"
    assert len(read(3 * line)) == 3
    with pytest.raises(KnownRedError, match="4 tests, 3 at most"):
        read(4 * line)


def test_a_line_that_names_no_test_is_found():
    here = "tests/test_known_red.py::"
    there = [listed(here + "test_three_at_most"), listed(here + "test_three_at_most[x]")]
    absent = [listed(here + "test_none"), listed("tests/none.py::test_a"), listed("tests")]
    assert missing(there + absent, known_red.ROOT) == [entry.test for entry in absent]


def test_a_line_without_a_case_lists_all_cases():
    known = [listed("t.py::test_a"), listed("t.py::test_b[x]")]
    assert entry_for("t.py::test_a[y]", known) == entry_for("t.py::test_a", known) == known[0]
    assert entry_for("t.py::test_b[x]", known) == known[1] and entry_for("t.py::test_b[y]", known) is None


SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
NOW_AND_THEN = "now and then: a cause"


@pytest.mark.parametrize(
    ("test", "seen", "code", "said"),
    [
        ("test_red", "a cause", 0, "KNOWN RED: tests/test_x.py::test_red: a cause (make test; issue 38)"),
        ("test_green", "a cause", 1, "XPASS(strict)"),
        ("test_red", NOW_AND_THEN, 0, "KNOWN RED: tests/test_x.py::test_red: now and then: a cause"),
        ("test_red", NOW_AND_THEN, 0, "KNOWN RED failed: tests/test_x.py::test_red"),
        ("test_none", "a cause", 4, "names no test: tests/test_x.py::test_none"),
        (None, "", 1, "assert False"),
    ],
)
def test_the_suite_passes_over_just_what_is_listed(tmp_path, test, seen, code, said):
    """A suite of its own, with this one's conftest: a listed test must fail, and nothing else may."""
    ran = run_suite(tmp_path, SUITE, [(test, seen)] if test else [])
    assert ran.returncode == code and said in ran.stdout + ran.stderr


def test_what_fails_now_and_then_may_pass_and_decides_nothing(tmp_path):
    ran = run_suite(tmp_path, "def test_green():\n    pass\n", [("test_green", NOW_AND_THEN)])
    assert ran.returncode == 0 and "KNOWN RED: tests/test_x.py::test_green" in ran.stdout


def run_suite(folder, suite, entries):
    tests = folder / "tests"
    (tests / "support").mkdir(parents=True)
    for name in ("__init__.py", "conftest.py", "support/__init__.py", "support/known_red.py", "support/paths.py"):
        (tests / name).write_bytes((known_red.ROOT / "tests" / name).read_bytes())
    (tests / "test_x.py").write_text(suite)
    lines = [f"tests/test_x.py::{test} | make test | {seen} | 38\n" for test, seen in entries]
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
