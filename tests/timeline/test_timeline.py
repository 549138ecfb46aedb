"""Positions on the gateway's clock: held against a real log whose truth the test knows."""

from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.gateway.api import ProbeResult
from yardbank.gateway.positions import Positions
from yardbank.timeline import References, Timeline, covers

S = 1_000_000_000
STEP = st.tuples(st.sampled_from(["write", "probe", "apply", "late", "elect", "skew"]), st.integers(0, 50))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=60), st.integers(3, 5000))
def test_no_position_is_too_early_and_no_token_is_reached_by_a_copy_that_lacks_the_write(steps, links):
    """Random writes by several gateways, probes whose answers overtake each other, elections, clocks that jump."""
    now, line = 1000 * S, Timeline(links)
    log = []  # (committed at, origin, mark), in the order of the log
    applied = {0: 0, 1: 0, 2: 0}  # commits that each server has
    primary, skew, marks = 0, 0, {0: 0, 1: 0, 2: 0}
    pending = []  # answers on their way: what they say, and when their question went out
    tokens = []

    def vector(server):
        found = {}
        for _, origin, mark in log[: applied[server]]:
            found[origin] = mark
        return found

    def check():
        for server, count in applied.items():
            position = line.position(vector(server))
            if position is None:
                continue
            missing = [at for at, _, _ in log[count:]]
            assert all(at >= position for at in missing), "a commit from before the position is missing"
            for token, index in tokens:
                assert position < token or count > index, "the token is reached without the write"

    for kind, pick in steps:
        now += pick + 1
        if kind == "write":
            marks[primary] = max(marks[primary] + 1, now + skew)
            log.append((now, f"{primary:03}", (marks[primary],)))
            applied[primary] = len(log)
            if pick % 3:  # by this gateway; others' writes are seen through probes alone
                pending.append(("commit", len(log) - 1, now - pick))
        elif kind == "probe":
            pending.append(("observe", vector(primary), now - pick % 3))
        elif kind == "apply":
            server = pick % 3
            if server != primary:
                applied[server] = min(len(log), applied[server] + pick % 5)
        elif kind == "elect":
            best = max((s for s in applied if s != primary), key=lambda s: applied[s])
            applied[best] = len(log)
            primary = best
        elif kind == "skew":
            skew = (pick - 25) * S
        if pending and (kind == "late" or pick % 2):
            what, value, sent = pending.pop(pick % len(pending))
            if what == "commit":
                _, origin, mark = log[value]
                tokens.append((line.commit(origin, mark, min(sent, log[value][0])), value))
            else:
                line.observe(value, sent)
        check()
    assert len(line) <= links


def test_an_idle_log_keeps_its_copies_fresh():
    line = Timeline()
    token = line.commit("001", (5,), 10 * S)
    assert token == 10 * S
    assert line.position({"001": (4,)}) is None
    line.observe({"001": (5,)}, 90 * S)  # nothing has been committed since
    assert line.position({"001": (5,)}) == 90 * S
    assert line.commit("001", (6,), 89 * S) == 90 * S + 1  # its answer came late; the token still outranks
    assert line.position({"001": (5,)}) == 90 * S


def test_a_primary_with_a_clock_behind_is_ordered_by_the_log():
    line = Timeline()
    line.commit("001", (1000,), 10 * S)
    token = line.commit("002", (3,), 20 * S)  # the new primary's clock is far behind
    assert line.position({"001": (1000,)}) == 10 * S
    assert line.position({"001": (1000,), "002": (3,)}) == 20 * S == token


def test_histories_that_parted_say_nothing():
    line = Timeline()
    line.commit("001", (1,), 1 * S)
    line.commit("001", (9,), 5 * S)  # lost with its primary
    line.observe({"001": (1,), "002": (2,)}, 8 * S)
    assert line.position({"001": (1,), "002": (2,)}) in (1 * S, 5 * S - 1)
    assert not covers({"001": (1,)}, {"001": (2,)})


def test_the_chain_is_bounded():
    line = Timeline(8)
    for number in range(100):
        line.commit("001", (number,), number * S)
    assert len(line) <= 8 and line.head() == 99 * S
    assert line.commit("001", (0,), 0) > 0  # older than all that is kept: a later token, never an earlier one
    assert line.position({"001": (1,)}) is None


def test_whom_to_ask_for_the_head():
    who = References()
    assert who.reference() is None
    who.on_role(1, True, 0)
    who.on_role(2, True, 5)
    assert who.reference() == 2
    who.on_role(2, False, 6)
    who.on_role(2, True, 4)  # older word
    assert who.reference() == 1
    who.forget(1)
    assert who.reference() is None


def test_reports():
    known = Positions()
    known.listed(1, 0, True, 0)
    known.listed(2, 0, False, 0)
    assert known.reference(1) is None and known.reference(2) == 1
    head = ProbeResult({"001": (3,)}, True)
    known.observed(1, head, 7 * S)
    assert known.report(1, head, 7 * S).position == 7 * S
    copy = ProbeResult({"001": (3,)}, False)
    assert (known.report(2, copy, 8 * S).position, known.report(2, copy, 8 * S).primary) == (7 * S, False)
    known.dropped(1)
    assert known.reference(2) is None
    assert known.committed(1, ("001", (4,)), 9 * S) == 9 * S  # the late answer of a server off the list
