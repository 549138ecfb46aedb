"""Message encoding, report storage, consensus and estimates of the latency map."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.latency_map import measurements
from yardbank.cluster.latency_map import messages as wire
from yardbank.cluster.latency_map.estimates import Estimate, Estimates
from yardbank.cluster.latency_map.measurements import GatewayHealth, Measurements
from yardbank.cluster.latency_map.messages import Entry
from yardbank.cluster.latency_map.options import MAX_ROUND_TRIP, MAX_ZONES, MIN_ROUND_TRIP, SECOND, Options
from yardbank.cluster.latency_map.reports import (
    DETOUR_SLACK,
    MAX_REPORTS_PER_PAIR,
    Consensus,
    LatencyReport,
    ReportStore,
    consensus,
)
from yardbank.cluster.peers.datagram import DroppedError

MS = 1_000_000
OPTIONS = Options()
ZONES = [f"z{number}" for number in range(6)]
ENTRIES = st.builds(
    Entry,
    st.integers(MIN_ROUND_TRIP, MAX_ROUND_TRIP),
    st.integers(0, SECOND),
    st.integers(0, 60 * SECOND),
    st.integers(0, 7),
)
ROWS = st.lists(
    st.tuples(st.sampled_from(ZONES), st.dictionaries(st.sampled_from(ZONES), ENTRIES)), min_size=1, max_size=4
)
KNOWN = {wire.digest(zone): zone for zone in ZONES}


# Messages


@settings(max_examples=150, deadline=None, derandomize=True)
@given(ROWS, st.integers(0, 1 << 60), st.sampled_from([GatewayHealth.WELL, GatewayHealth.DOUBTFUL, GatewayHealth.SLOW]))
def test_message_round_trips_and_no_entry_gets_younger(rows, number, state):
    decoded = wire.decode(wire.encode(number, state, rows), KNOWN)
    assert (decoded.number, decoded.health, decoded.own_zone) == (number, state, rows[0][0])
    for (zone, row), (decoded_zone, decoded_row) in zip(rows, decoded.rows, strict=True):
        assert zone == decoded_zone and row.keys() == decoded_row.keys()
        for other, entry in row.items():
            assert abs(decoded_row[other].value - entry.value) <= entry.value / 500
            assert (
                0 <= decoded_row[other].age - entry.age <= wire.AGE_UNIT
                and decoded_row[other].witnesses == entry.witnesses
            )


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
def test_arbitrary_input_is_decoded_to_valid_values_or_dropped(body):
    try:
        decoded = wire.decode(body, KNOWN)
    except DroppedError as problem:
        assert problem.reason in ("shape", "kind")
    else:
        assert all(
            MIN_ROUND_TRIP <= entry.value <= MAX_ROUND_TRIP and entry.age >= 0
            for _, row in decoded.rows
            for entry in row.values()
        )


def test_messages_with_extra_fields_are_read_and_too_large_ones_dropped():
    body = msgspec.msgpack.decode(wire.encode(1, GatewayHealth.WELL, [("z0", {"z1": Entry(MS, 0, 0, 1)})]))
    assert wire.decode(msgspec.msgpack.encode([*body, "more", 7]), KNOWN).rows[0][0] == "z0"
    with pytest.raises(DroppedError, match="kind"):
        wire.decode(msgspec.msgpack.encode([2, *body[1:]]), KNOWN)
    with pytest.raises(DroppedError, match="shape"):
        wire.decode(
            msgspec.msgpack.encode([1, 1, 0, bytes(4 * (MAX_ZONES + 1)), bytes(1 + 4 * (MAX_ZONES + 1))]), KNOWN
        )
    old = wire.encode(1, GatewayHealth.WELL, [("z0", {"z1": Entry(MS, 0, 200 * SECOND, 1), "z2": Entry(MS, 0, 0, 1)})])
    assert set(wire.decode(old, KNOWN).rows[0][1]) == {"z2"}  # an age beyond the scale counts as unknown
    many = {f"y{number:03}": Entry(MS, 0, 0, 1) for number in range(100)}
    assert len(wire.encode(1, GatewayHealth.WELL, [(zone, many) for zone in list(many)[:3]])) < 600


# Reports and consensus

REPORTS = st.builds(
    LatencyReport,
    st.integers(MIN_ROUND_TRIP, MAX_ROUND_TRIP),
    st.integers(0, SECOND),
    st.integers(50 * SECOND, 99 * SECOND),
    st.integers(0, 7),
    st.booleans(),
    st.tuples(st.integers(1, 3), st.integers(0, 9)),
)
SENT_REPORTS = st.lists(
    st.tuples(st.sampled_from([("z0", "z1"), ("z1", "z2")]), st.sampled_from("abcdef"), REPORTS), max_size=20
)


def stored_reports(sent):
    reports = ReportStore()
    for pair, sender, report in sent:
        reports.add(pair, sender, report)
    return {pair: sorted(reports.for_pair(pair, 0), key=repr) for pair in [("z0", "z1"), ("z1", "z2")]}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(SENT_REPORTS, st.randoms(use_true_random=False))
def test_reports_may_arrive_repeatedly_and_in_any_order(sent, random):
    by = {(pair, sender, report.order, report.measured_at): (pair, sender, report) for pair, sender, report in sent}
    sent = list(by.values())  # each message carries one report per pair
    repeated = sent * 2
    random.shuffle(repeated)
    assert stored_reports(sent) == stored_reports(repeated) == stored_reports(repeated + sent)


def test_reports_are_bounded_and_the_oldest_is_dropped():
    reports = ReportStore()
    for number in range(100):
        reports.add(("a", "b"), f"g{number}", LatencyReport(MS, 0, (number * 37) % 100, 1, True, (1, 1)))
    assert {report.measured_at for report in reports.for_pair(("a", "b"), -1)} == set(
        range(100 - MAX_REPORTS_PER_PAIR, 100)
    )
    assert reports.evicted == 100 - MAX_REPORTS_PER_PAIR


FALSE_VALUES = st.integers(MIN_ROUND_TRIP, MAX_ROUND_TRIP)
HONEST_REPORTS = st.lists(
    st.tuples(st.integers(5 * MS, 50 * MS), st.integers(0, 50 * SECOND), st.booleans()), min_size=2, max_size=9
)


def make_reports(now, honest, false_value=None, first=True):
    reports = [LatencyReport(value, 0, now - age, 1, mine, (1, 1)) for value, age, mine in honest]
    return reports + ([] if false_value is None else [LatencyReport(false_value, 0, now, 7, first, (9, 9))])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(HONEST_REPORTS, FALSE_VALUES, st.booleans(), st.randoms(use_true_random=False))
def test_one_false_report_of_three_stays_within_the_range_of_the_true_ones(honest, false_value, first, random):
    now = 100 * SECOND
    reports = make_reports(now, honest, false_value, first)
    found = consensus(now, None, False, reports, OPTIONS.window, lambda: None)
    random.shuffle(reports)
    assert found == consensus(now, None, False, reports, OPTIONS.window, lambda: None)
    values = [value for value, _, _ in honest]
    assert min(values) <= found.value <= max(values) and found.measured_at <= now


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(5 * MS, 50 * MS), FALSE_VALUES, st.integers(0, 40 * MS), st.integers(0, 40 * MS), st.booleans())
def test_false_report_alone_or_against_one_is_limited_by_detour_bounds(value, false_value, least, more, alone):
    detour_bounds = (least, least + more + MS)
    reports = make_reports(0, [] if alone else [(value, 0, True)], false_value)
    found = consensus(0, None, False, reports, OPTIONS.window, lambda: detour_bounds)
    assert (
        int(detour_bounds[0] / DETOUR_SLACK) <= found.value <= int(detour_bounds[1] * DETOUR_SLACK)
        or found.value == value
    )
    blind = consensus(0, None, False, reports, OPTIONS.window, lambda: None)
    assert blind is None or (not alone and min(false_value, value) * 1.5 + 2 * MS >= blind.value)
    own = measurements.Measurement(value, 0, 0, True)
    assert consensus(0, own, True, reports * 3, OPTIONS.window, lambda: None).value == value


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(MS, 90 * MS)), max_size=30))
def test_estimate_without_measurements_only_ages_until_it_is_unknown(seen):
    own_measurements, estimate, now, ages = Measurements(OPTIONS), Estimate(), SECOND, []
    own_measurements.listed("z0", {})
    for wait, ns in seen:
        now += wait * SECOND
        own_measurements.record(now, "z1", ns)
    for _ in range(70):
        now += SECOND
        own_measurements.on_tick(now, 0, 0)
        figure = own_measurements.row(now).get("z1")
        found = consensus(now, figure, bool(figure and figure.fresh), [], OPTIONS.window, lambda: None)
        if found:
            estimate.update(now, found, OPTIONS.hold)
            ages.append(now - estimate.measured_at)
        else:
            estimate.update_without_reports(None)
    assert ages == sorted(ages) and all(age < OPTIONS.max_age for age in ages) and estimate.basis == 0


def test_differing_value_is_adopted_after_the_hold_time_unless_it_returns():
    estimate, agreed = Estimate(), lambda ms: Consensus(ms * MS, 0, 0, 3)
    assert estimate.update(0, agreed(10), OPTIONS.hold) and estimate.basis == 2
    for second, ms in enumerate([50, 10, 50, 5, 50, 50, 50], 1):
        estimate.update(second * SECOND, agreed(ms), OPTIONS.hold)
        assert estimate.value == (50 if second == 7 else 10) * MS


def test_unmeasured_pair_is_estimated_through_the_nearest_third_zone():
    estimates, now = Estimates(), SECOND
    estimates.set_zones(["far", "far-too", "between", "off"])
    for pair, ms in {
        ("between", "far"): 40,
        ("between", "far-too"): 30,
        ("far", "off"): 60,
        ("far-too", "off"): 70,
    }.items():
        estimates.by_pair[pair].update(
            now, consensus(now, measurements.Measurement(ms * MS, 0, now, True), True, [], 1, lambda: None), 1
        )
    estimates.snapshot_measured()
    assert estimates.detour_bounds(("far", "far-too")) == (10 * MS, 70 * MS)
    assert (
        estimates.by_pair["far", "far-too"].update_without_reports(70 * MS)
        and estimates.round_trip("far-too", "far") == 70 * MS
    )
    assert estimates.by_pair["far", "far-too"].as_change(("far", "far-too")).basis == "estimated"
    assert estimates.round_trip("between", "off") is None and estimates.round_trip("off", "off") == 0
