"""The map's deciders one by one: letters, claims, own round trips, going over."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.latency_map import measurements
from yardbank.cluster.latency_map import messages as letter
from yardbank.cluster.latency_map.estimates import Estimate, Estimates
from yardbank.cluster.latency_map.measurements import GatewayHealth, Measurements
from yardbank.cluster.latency_map.messages import Entry
from yardbank.cluster.latency_map.options import LEAST, MAX_ZONES, MOST, SECOND, Options
from yardbank.cluster.latency_map.reports import MAX_VOICES, SLACK, Consensus, LatencyReport, ReportStore, consensus
from yardbank.cluster.peers.datagram import DroppedError

MS = 1_000_000
OPTIONS = Options()
ZONES = [f"z{number}" for number in range(6)]
ENTRIES = st.builds(
    Entry, st.integers(LEAST, MOST), st.integers(0, SECOND), st.integers(0, 60 * SECOND), st.integers(0, 7)
)
ROWS = st.lists(
    st.tuples(st.sampled_from(ZONES), st.dictionaries(st.sampled_from(ZONES), ENTRIES)), min_size=1, max_size=4
)
KNOWN = {letter.digest(zone): zone for zone in ZONES}


# Letters


@settings(max_examples=150, deadline=None, derandomize=True)
@given(ROWS, st.integers(0, 1 << 60), st.sampled_from([GatewayHealth.WELL, GatewayHealth.DOUBTFUL, GatewayHealth.SLOW]))
def test_a_letter_says_what_was_put_in_and_makes_nothing_younger(rows, number, state):
    told = letter.decode(letter.encode(number, state, rows), KNOWN)
    assert (told.number, told.state, told.own) == (number, state, rows[0][0])
    for (zone, row), (zone_told, row_told) in zip(rows, told.rows, strict=True):
        assert zone == zone_told and row.keys() == row_told.keys()
        for other, entry in row.items():
            assert abs(row_told[other].value - entry.value) <= entry.value / 500
            assert 0 <= row_told[other].age - entry.age <= letter.AGE and row_told[other].witnesses == entry.witnesses


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=80)
    | st.builds(
        lambda parts: msgspec.msgpack.encode(parts),
        st.tuples(
            st.integers(0, 2),
            st.integers(-2, 5) | st.floats(),
            st.integers(0, 4) | st.none(),
            st.binary(max_size=24),
            st.binary(max_size=60),
        ),
    )
)
def test_whatever_comes_in_is_taken_whole_or_dropped_and_no_figure_is_odd(body):
    try:
        told = letter.decode(body, KNOWN)
    except DroppedError as problem:
        assert problem.reason in ("shape", "kind")
    else:
        assert all(LEAST <= entry.value <= MOST and entry.age >= 0 for _, row in told.rows for entry in row.values())


def test_a_letter_of_a_later_program_is_read_and_one_too_large_is_not():
    body = msgspec.msgpack.decode(letter.encode(1, GatewayHealth.WELL, [("z0", {"z1": Entry(MS, 0, 0, 1)})]))
    assert letter.decode(msgspec.msgpack.encode([*body, "more", 7]), KNOWN).rows[0][0] == "z0"
    with pytest.raises(DroppedError, match="kind"):
        letter.decode(msgspec.msgpack.encode([2, *body[1:]]), KNOWN)
    with pytest.raises(DroppedError, match="shape"):
        letter.decode(
            msgspec.msgpack.encode([1, 1, 0, bytes(4 * (MAX_ZONES + 1)), bytes(1 + 4 * (MAX_ZONES + 1))]), KNOWN
        )
    old = letter.encode(
        1, GatewayHealth.WELL, [("z0", {"z1": Entry(MS, 0, 200 * SECOND, 1), "z2": Entry(MS, 0, 0, 1)})]
    )
    assert set(letter.decode(old, KNOWN).rows[0][1]) == {"z2"}  # too old to say how old
    many = {f"y{number:03}": Entry(MS, 0, 0, 1) for number in range(100)}
    assert len(letter.encode(1, GatewayHealth.WELL, [(zone, many) for zone in list(many)[:3]])) < 600


# What is believed

CLAIMS = st.builds(
    LatencyReport,
    st.integers(LEAST, MOST),
    st.integers(0, SECOND),
    st.integers(50 * SECOND, 99 * SECOND),
    st.integers(0, 7),
    st.booleans(),
    st.tuples(st.integers(1, 3), st.integers(0, 9)),
)
TOLD = st.lists(
    st.tuples(st.sampled_from([("z0", "z1"), ("z1", "z2")]), st.sampled_from("abcdef"), CLAIMS), max_size=20
)


def table(told):
    reports = ReportStore()
    for pair, sender, report in told:
        reports.take(pair, sender, report)
    return {pair: sorted(reports.about(pair, 0), key=repr) for pair in [("z0", "z1"), ("z1", "z2")]}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(TOLD, st.randoms(use_true_random=False))
def test_claims_may_come_in_any_order_and_again(told, random):
    by = {(pair, sender, report.order, report.seen_at): (pair, sender, report) for pair, sender, report in told}
    told = list(by.values())  # one letter says one thing
    again = told * 2
    random.shuffle(again)
    assert table(told) == table(again) == table(again + told)


def test_claims_are_bounded_and_the_oldest_gives_way():
    reports = ReportStore()
    for number in range(100):
        reports.take(("a", "b"), f"g{number}", LatencyReport(MS, 0, (number * 37) % 100, 1, True, (1, 1)))
    assert {report.seen_at for report in reports.about(("a", "b"), -1)} == set(range(100 - MAX_VOICES, 100))
    assert reports.crowded == 100 - MAX_VOICES


LIES = st.integers(LEAST, MOST)
HONEST = st.lists(
    st.tuples(st.integers(5 * MS, 50 * MS), st.integers(0, 50 * SECOND), st.booleans()), min_size=2, max_size=9
)


def heard(now, honest, lie=None, first=True):
    reports = [LatencyReport(value, 0, now - age, 1, mine, (1, 1)) for value, age, mine in honest]
    return reports + ([] if lie is None else [LatencyReport(lie, 0, now, 7, first, (9, 9))])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(HONEST, LIES, st.booleans(), st.randoms(use_true_random=False))
def test_one_liar_among_three_voices_moves_a_pair_no_further_than_the_honest_reach(honest, lie, first, random):
    now = 100 * SECOND
    reports = heard(now, honest, lie, first)
    found = consensus(now, None, False, reports, OPTIONS.window, lambda: None)
    random.shuffle(reports)
    assert found == consensus(now, None, False, reports, OPTIONS.window, lambda: None)
    values = [value for value, _, _ in honest]
    assert min(values) <= found.value <= max(values) and found.seen_at <= now


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(5 * MS, 50 * MS), LIES, st.integers(0, 40 * MS), st.integers(0, 40 * MS), st.booleans())
def test_a_liar_that_speaks_alone_or_against_one_is_held_to_ways_through_a_third_zone(value, lie, least, more, alone):
    detour_bounds = (least, least + more + MS)
    reports = heard(0, [] if alone else [(value, 0, True)], lie)
    found = consensus(0, None, False, reports, OPTIONS.window, lambda: detour_bounds)
    assert int(detour_bounds[0] / SLACK) <= found.value <= int(detour_bounds[1] * SLACK) or found.value == value
    blind = consensus(0, None, False, reports, OPTIONS.window, lambda: None)
    assert blind is None or (not alone and min(lie, value) * 1.5 + 2 * MS >= blind.value)
    own = measurements.Measurement(value, 0, 0, True)
    assert consensus(0, own, True, reports * 3, OPTIONS.window, lambda: None).value == value


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(MS, 90 * MS)), max_size=30))
def test_what_nobody_sees_any_more_only_ages_until_it_is_unknown(seen):
    hand, estimate, now, ages = Measurements(OPTIONS), Estimate(), SECOND, []
    hand.listed("z0", {})
    for wait, ns in seen:
        now += wait * SECOND
        hand.saw(now, "z1", ns)
    for _ in range(70):
        now += SECOND
        hand.ticked(now, 0, 0)
        figure = hand.row(now).get("z1")
        found = consensus(now, figure, bool(figure and figure.fresh), [], OPTIONS.window, lambda: None)
        if found:
            estimate.take(now, found, OPTIONS.hold)
            ages.append(now - estimate.seen_at)
        else:
            estimate.without(None)
    assert ages == sorted(ages) and all(age < OPTIONS.max_age for age in ages) and estimate.how == 0


def test_a_figure_that_differs_is_believed_after_a_while_and_not_if_it_turns_back():
    estimate, said = Estimate(), lambda ms: Consensus(ms * MS, 0, 0, 3)
    assert estimate.take(0, said(10), OPTIONS.hold) and estimate.how == 2
    for second, ms in enumerate([50, 10, 50, 5, 50, 50, 50], 1):
        estimate.take(second * SECOND, said(ms), OPTIONS.hold)
        assert estimate.value == (50 if second == 7 else 10) * MS


def test_a_way_seen_by_nobody_goes_through_the_nearest_third_zone():
    estimates, now = Estimates(), SECOND
    estimates.listed(["far", "far-too", "between", "off"])
    for pair, ms in {
        ("between", "far"): 40,
        ("between", "far-too"): 30,
        ("far", "off"): 60,
        ("far-too", "off"): 70,
    }.items():
        estimates.by[pair].take(
            now, consensus(now, measurements.Measurement(ms * MS, 0, now, True), True, [], 1, lambda: None), 1
        )
    estimates.settle()
    assert estimates.detour_bounds(("far", "far-too")) == (10 * MS, 70 * MS)
    assert estimates.by["far", "far-too"].without(70 * MS) and estimates.distance("far-too", "far") == 70 * MS
    assert estimates.by["far", "far-too"].change(("far", "far-too")).how == "estimated"
    assert estimates.distance("between", "off") is None and estimates.distance("off", "off") == 0
