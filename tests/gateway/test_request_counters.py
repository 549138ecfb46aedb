"""Figures by class: buckets hold what they say, and nothing is counted twice."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.virtual_gateway import READ, WRITE, Place
from yardbank.gateway.api import MS
from yardbank.gateway.request_counters import BUCKET_COUNT, FIRST_POWER, LIMIT_POWER, ClassCounters, RequestCounters, beyond, bucket_index

ANSWERS = st.tuples(
    st.sampled_from([READ, WRITE]), st.sampled_from(["served", "refused", "failed", "left"]), st.integers(0, 1 << 40)
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(1 << FIRST_POWER, (1 << LIMIT_POWER) - 1), st.integers(0, 1 << 50))
def test_a_bucket_holds_what_is_at_most_an_eighth_below_its_end(ns, other):
    assert ns < beyond(bucket_index(ns)) <= ns * 1.125 + 1
    assert 0 <= bucket_index(other) < BUCKET_COUNT and (bucket_index(ns) <= bucket_index(other)) == (
        beyond(bucket_index(ns)) <= beyond(bucket_index(other))
    )


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(ANSWERS, max_size=40), st.integers(0, 40))
def test_figures_add_up_and_a_copy_stays(ends, cut):
    tallies, earlier = RequestCounters([READ, WRITE]), None
    for number, (kind, answer, took) in enumerate(ends):
        if number == cut:
            earlier = tallies.copy()
        tallies.add(kind, answer, took)
    for kind in (READ, WRITE):
        tally = tallies.by_class[kind.name]
        served = sorted(took for one, answer, took in ends if one is kind and answer == "served")
        assert (tally.in_time, tally.late) == (
            sum(t <= kind.latency_objective for t in served),
            sum(t > kind.latency_objective for t in served),
        )
        assert sum(tally.latencies) == len(served) == tally.in_time + tally.late
        assert tally.refused + tally.failed + tally.left == sum(
            one is kind and answer != "served" for one, answer, _ in ends
        )
        if served:
            assert tally.quantile(1.0) == beyond(bucket_index(served[-1])) and tally.quantile(0.5) == beyond(
                bucket_index(served[(len(served) - 1) // 2])
            )
        if earlier is not None:
            after = tally.since(earlier[kind.name])
            assert sum(after.latencies) == sum(one is kind and answer == "served" for one, answer, _ in ends[cut:])
    assert ClassCounters().quantile(0.99) == 0


def test_each_request_of_a_gateway_counts_once_by_its_class_and_end():
    place = Place()
    for late in (False, True):
        place.ask("read")
        place.pass_time(0.05 if not late else 0.45)
        place.backend.to(place.backend.sent[-1][0]).answer()
    place.ask("write")
    place.gateway.leave(place.number)
    place.ask("write")
    place.backend.to("p").drop()
    place.pass_time(3)
    read, write = (place.gateway.request_counters.by_class[name] for name in ("read", "write"))
    assert (read.in_time, read.late, read.refused, read.failed, read.left) == (1, 1, 0, 0, 0)
    assert (write.in_time, write.late, write.refused, write.failed, write.left) == (0, 0, 0, 1, 1)
    assert 50 * MS < read.quantile(0.5) <= 60 * MS and place.gateway.request_counters.view()["read"]["p99"] > 400
