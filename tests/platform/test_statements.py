"""Parsing of the platform's statements, one strict form each, and their time limit."""

import tracemalloc
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.support.platform import COMMIT, KINDS, LOOKUP, READ, WRITE
from yardbank.gateway.api import MS
from yardbank.platform.statement import (
    MAX_VALUE_OCTETS,
    StatementError,
    read_statement,
    since_write,
    unreachable_classes,
)


def test_a_read_and_a_write_are_parsed():
    read = read_statement(READ, KINDS)
    assert (read.id, read.request_class, read.group, read.key, read.time_limit, read.write) == (
        "a1",
        LOOKUP,
        "2",
        "7f3a",
        480 * MS,
        False,
    )
    write = read_statement(WRITE, KINDS)
    assert (write.id, write.request_class, write.key, write.write) == ("a2", COMMIT, "7f3a", True)


def test_only_the_time_limit_is_changed_in_the_sent_statement():
    statement = read_statement(READ.replace("id=a1,c", "k=9,id=a1,r=1,c"), KINDS)
    assert statement.text(123 * MS + 7) == READ.replace("id=a1,c", "k=9,id=a1,r=1,c").replace("d=480", "d=123")
    assert "d=1," in statement.text(-5)


def test_the_last_commit_becomes_an_age_that_is_never_zero():
    statement = read_statement(READ.replace("cluster=2", "cluster=2,after=1000"), KINDS)
    assert since_write(statement, 1250 * MS) == 250 * MS
    assert since_write(statement, 1000 * MS) == 1
    assert since_write(statement, 990 * MS) == -10 * MS  # commit times are rounded up
    assert since_write(read_statement(READ, KINDS), 5) is None


@pytest.mark.parametrize(
    "change",
    [
        ("id=a1,", ""),
        ("id=a1", "id="),
        ("c=lookup", "c=none"),
        ("c=lookup", "c=commit"),
        ("d=480", "d=soon"),
        ("d=480", "d=-1"),
        ("d=480", "d=86400001"),
        ("d=480", "d=1e3"),
        ("d=480", "d=" + "9" * 30),
        ("d=480,", ""),
        (",cluster=2", ""),
        ("cluster=2", "cluster=x"),
        ("d=480", "d=480,d=481"),
        ("'7f3a'", "'7f3a"),
        ("'7f3a'", "'7f3a' OR 1=1"),
        ("'7f3a'", "'7f3a'; DROP TABLE kv"),
        ("/* ", ""),
        ("kv", "other"),
        ("cluster=2", "cluster=2,after=now"),
        ("'7f3a'", "'" + "7" * 300 + "'"),
        ("d=480", "d=٤٨٠"),
    ],
)
def test_a_statement_of_another_form_is_an_error(change):
    with pytest.raises(StatementError) as problem:
        read_statement(READ.replace(*change), KINDS)
    assert str(problem.value)


def test_writes_in_a_read_class_and_invalid_values_are_errors():
    for broken in (
        WRITE.replace("c=commit", "c=lookup"),
        WRITE.replace("9f03", "9f0"),
        WRITE.replace("9f03", "00" * (64 << 10) + "00"),
        WRITE.replace("\\x9f03", "9f03"),
    ):
        with pytest.raises(StatementError):
            read_statement(broken, KINDS)
    assert read_statement(WRITE.replace("9f03", "00" * (64 << 10)), KINDS).write


@given(st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=140))
@example("a=b")
@example("a b/c'd\\e*")
@example("*/")
@example("a,d=1")
@example(" a")
@example("a ")
@example("a\0")
@example("x" * 128)
@example("x" * 129)
@settings(derandomize=True, database=None)
def test_every_class_name_is_parsed_or_reported_as_unreachable(name):
    kind = replace(LOOKUP, name=name)
    kinds = {**KINDS, name: kind}
    forms = (
        READ.replace("c=lookup", f"c={name}"),
        READ.replace("c=lookup,", "").replace("cluster=2", f"cluster=2,c={name}"),
    )
    if unreachable_classes([kind]):
        assert any(mark in name for mark in (",", "*/")) or len(name) > 128 or name[-1] == " " or not name.isprintable()
        return
    for form in forms:
        statement = read_statement(form, kinds)
        assert statement.request_class is kind and statement.text(statement.time_limit) == form


def test_a_statement_error_names_the_field_or_the_part():
    for old, new, name in (
        ("id=a1", "id=a 1", "the comment is not"),
        ("cluster=2", "cluster=2,,x=1", "the comment is not"),
        ("cluster=2", "cluster=2" + ",k=1" * 16, "the comment is not"),
        ("FROM kv", "FROM other", "behind the comment"),
        ("'7f3a'", "'7f3a';", "behind the comment"),
        ("id=a1,", "", "the comment lacks id"),
        ("c=lookup", "c=look up", "c: no such class"),
        ("c=lookup", "c=lookup ", "c: no such class"),
        ("c=lookup", "c=commit", "c: the class is not one of reads"),
        ("d=480", "d=86400001", "d: between"),
        ("d=480", "d=-1", "d: not a number"),
        ("d=480", "d=86400001", "d: between"),
        ("cluster=2", "cluster=-2", "cluster: not"),
        ("cluster=2", "cluster=2,after=-1", "after: not a number"),
        ("cluster=2", "cluster=2,id=a2", "names id twice"),
    ):
        with pytest.raises(StatementError, match=f"^(the comment )?{name}"):
            read_statement(READ.replace(old, new), KINDS)


@given(st.text(max_size=200))
def test_any_text_is_parsed_unchanged_or_rejected(noise):
    for candidate in (noise, READ.replace("7f3a", noise), READ.replace("a1", noise)):
        try:
            statement = read_statement(candidate, KINDS)
        except StatementError:
            continue
        assert statement.text(statement.time_limit) == candidate


def test_parsing_the_longest_value_uses_little_extra_memory():
    text = WRITE.replace("9f03", "9f" * MAX_VALUE_OCTETS)
    tracemalloc.start()
    try:
        read_statement(text, KINDS)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 4 * len(text)


@pytest.mark.parametrize("digits", ["9", "9f0", "9g"])
def test_a_value_must_be_pairs_of_hexadecimal_digits(digits):
    with pytest.raises(StatementError, match="neither the read nor the write"):
        read_statement(WRITE.replace("9f03", digits), KINDS)
