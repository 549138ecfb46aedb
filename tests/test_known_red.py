"""The format of KNOWN-RED.txt, and its effect on a run of the test suite."""

import subprocess
import sys

import pytest

from tests.support import known_red
from tests.support.known_red import Fails, KnownRed, KnownRedError, entry_for, missing, read


def listed(test, fails=Fails.ALWAYS):
    return KnownRed(test, "make test", fails, "it is late", "38")


def test_an_empty_file_has_no_entries_and_lines_have_five_fields():
    assert read("") == read("\n\n") == []
    line = "tests/test_a.py::test_b[c] | make test | always | it is late | 38\n"
    assert read(line) == [listed("tests/test_a.py::test_b[c]")]
    assert read(line.replace("always", "sometimes")) == [listed("tests/test_a.py::test_b[c]", Fails.SOMETIMES)]
    invalid_lines = ["tests/test_a.py::test_b", "a | b", "a | b | c", "a | b | always | d", "a | b | always |  | c"]
    for invalid in (
        *invalid_lines,
        "a | b | always | c | d | e",
        "a | b | now and then | c | d",
        "a | b | Always | c | d",
    ):
        with pytest.raises(KnownRedError, match=r"KNOWN-RED\.txt:2: "):
            read("\n" + invalid)


def test_the_number_of_entries_is_not_limited():
    line = "tests/test_a.py::test_b | make test | always | cause | 38\n"
    assert len(read(40 * line)) == 40


def test_only_the_third_field_decides_whether_a_test_always_fails():
    (entry,) = read("tests/test_a.py::test_b | make test | always | now and then: late | 38\n")
    assert entry.always_fails


def test_entries_for_tests_that_do_not_exist_are_found():
    this_file = "tests/test_known_red.py::"
    name = "test_the_number_of_entries_is_not_limited"
    existing = [listed(this_file + name), listed(this_file + name + "[x]")]
    absent = [listed(this_file + "test_none"), listed("tests/none.py::test_a"), listed("tests")]
    assert missing(existing + absent, known_red.ROOT) == [entry.test for entry in absent]


def test_an_entry_without_parameters_covers_all_cases():
    known = [listed("t.py::test_a"), listed("t.py::test_b[x]")]
    assert entry_for("t.py::test_a[y]", known) == entry_for("t.py::test_a", known) == known[0]
    assert entry_for("t.py::test_b[x]", known) == known[1] and entry_for("t.py::test_b[y]", known) is None


SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("test", "fails", "code", "expected_output"),
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
def test_only_listed_tests_may_fail(tmp_path, test, fails, code, expected_output):
    """Runs a separate suite with this conftest: a test listed as always failing must fail, and no unlisted one may."""
    result = run_suite(tmp_path, SUITE, [(test, fails)] if test else [])
    assert result.returncode == code and expected_output in result.stdout + result.stderr


def test_a_test_that_fails_sometimes_may_pass(tmp_path):
    result = run_suite(tmp_path, "def test_green():\n    pass\n", [("test_green", "sometimes")])
    assert result.returncode == 0 and "KNOWN RED: tests/test_x.py::test_green" in result.stdout


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
