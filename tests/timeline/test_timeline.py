"""Positions on the gateway's clock, compared with a simulated log whose true state the test knows."""

from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.gateway.api import ProbeResult
from yardbank.gateway.positions import Positions
from yardbank.timeline import References, Timeline, covers

SECOND = 1_000_000_000
STEP = st.tuples(st.sampled_from(["write", "probe", "apply", "late", "elect", "skew"]), st.integers(0, 50))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=60), st.integers(3, 5000))
def test_positions_are_never_too_late_and_tokens_are_reached_only_with_the_write(steps, max_points):
    """Random writes by several gateways, probes answered out of order, elections, and clocks that jump."""
    now, timeline = 1000 * SECOND, Timeline(max_points)
    log = []  # (commit time, origin, log position), in the order of the log
    applied = {0: 0, 1: 0, 2: 0}  # number of commits that each server has applied
    primary, skew, last_positions = 0, 0, {0: 0, 1: 0, 2: 0}
    pending = []  # answers in transit: kind, content, and when the request was sent
    tokens = []

    def vector(server):
        found = {}
        for _, origin, log_position in log[: applied[server]]:
            found[origin] = log_position
        return found

    def check():
        for server, count in applied.items():
            position = timeline.position(vector(server))
            if position is None:
                continue
            missing = [at for at, _, _ in log[count:]]
            assert all(at >= position for at in missing), "a commit from before the position is missing"
            for token, index in tokens:
                assert position < token or count > index, "the token is reached without the write"

    for kind, pick in steps:
        now += pick + 1
        if kind == "write":
            last_positions[primary] = max(last_positions[primary] + 1, now + skew)
            log.append((now, f"{primary:03}", (last_positions[primary],)))
            applied[primary] = len(log)
            if pick % 3:  # by this gateway; other gateways' writes are seen only through probes
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
            skew = (pick - 25) * SECOND
        if pending and (kind == "late" or pick % 2):
            kind_of_answer, value, sent_at = pending.pop(pick % len(pending))
            if kind_of_answer == "commit":
                _, origin, log_position = log[value]
                tokens.append((timeline.commit(origin, log_position, min(sent_at, log[value][0])), value))
            else:
                timeline.observe(value, sent_at)
        check()
    assert len(timeline) <= max_points


def test_replica_position_advances_while_the_log_is_idle():
    timeline = Timeline()
    token = timeline.commit("001", (5,), 10 * SECOND)
    assert token == 10 * SECOND
    assert timeline.position({"001": (4,)}) is None
    timeline.observe({"001": (5,)}, 90 * SECOND)  # nothing has been committed since
    assert timeline.position({"001": (5,)}) == 90 * SECOND
    assert (
        timeline.commit("001", (6,), 89 * SECOND) == 90 * SECOND + 1
    )  # its answer came late; the token is still later
    assert timeline.position({"001": (5,)}) == 90 * SECOND


def test_new_primary_with_a_slow_clock_is_ordered_by_the_log():
    timeline = Timeline()
    timeline.commit("001", (1000,), 10 * SECOND)
    token = timeline.commit("002", (3,), 20 * SECOND)  # the new primary's clock is far behind
    assert timeline.position({"001": (1000,)}) == 10 * SECOND
    assert timeline.position({"001": (1000,), "002": (3,)}) == 20 * SECOND == token


def test_diverged_history_gets_no_position_beyond_the_common_part():
    timeline = Timeline()
    timeline.commit("001", (1,), 1 * SECOND)
    timeline.commit("001", (9,), 5 * SECOND)  # lost with its primary
    timeline.observe({"001": (1,), "002": (2,)}, 8 * SECOND)
    assert timeline.position({"001": (1,), "002": (2,)}) in (1 * SECOND, 5 * SECOND - 1)
    assert not covers({"001": (1,)}, {"001": (2,)})


def test_number_of_points_is_bounded():
    timeline = Timeline(8)
    for number in range(100):
        timeline.commit("001", (number,), number * SECOND)
    assert len(timeline) <= 8 and timeline.head() == 99 * SECOND
    assert timeline.commit("001", (0,), 0) > 0  # older than all points kept: the token is later, never earlier
    assert timeline.position({"001": (1,)}) is None


def test_reference_is_the_server_last_reported_as_primary():
    references = References()
    assert references.reference() is None
    references.on_role(1, True, 0)
    references.on_role(2, True, 5)
    assert references.reference() == 2
    references.on_role(2, False, 6)
    references.on_role(2, True, 4)  # an older report
    assert references.reference() == 1
    references.forget(1)
    assert references.reference() is None


def test_reports_translate_log_positions_to_times():
    positions = Positions()
    positions.listed(1, 0, True, 0)
    positions.listed(2, 0, False, 0)
    assert positions.reference(1) is None and positions.reference(2) == 1
    head = ProbeResult({"001": (3,)}, True)
    positions.observed(1, head, 7 * SECOND)
    assert positions.report(1, head, 7 * SECOND).position == 7 * SECOND
    replica = ProbeResult({"001": (3,)}, False)
    assert (positions.report(2, replica, 8 * SECOND).position, positions.report(2, replica, 8 * SECOND).primary) == (
        7 * SECOND,
        False,
    )
    positions.dropped(1)
    assert positions.reference(2) is None
    assert positions.committed(1, ("001", (4,)), 9 * SECOND) == 9 * SECOND  # late answer from a server off the list
