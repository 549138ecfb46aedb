"""Request counters by class: bucket bounds hold, and each request is counted once."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.virtual_gateway import READ, WRITE, Place
from yardbank.gateway.api import MS
from yardbank.gateway.request_counters import (
    BUCKET_COUNT,
    FIRST_POWER,
    LIMIT_POWER,
    ClassCounters,
    RequestCounters,
    bucket_index,
    bucket_upper_bound,
)

ANSWERS = st.tuples(
    st.sampled_from([READ, WRITE]), st.sampled_from(["served", "refused", "failed", "left"]), st.integers(0, 1 << 40)
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(1 << FIRST_POWER, (1 << LIMIT_POWER) - 1), st.integers(0, 1 << 50))
def test_bucket_bound_is_at_most_an_eighth_above_latency(ns, other):
    assert ns < bucket_upper_bound(bucket_index(ns)) <= ns * 1.125 + 1
    assert 0 <= bucket_index(other) < BUCKET_COUNT and (bucket_index(ns) <= bucket_index(other)) == (
        bucket_upper_bound(bucket_index(ns)) <= bucket_upper_bound(bucket_index(other))
    )


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(ANSWERS, max_size=40), st.integers(0, 40))
def test_counters_add_up_and_copy_does_not_change(ends, cut):
    counters, earlier = RequestCounters([READ, WRITE]), None
    for number, (request_class, answer, took) in enumerate(ends):
        if number == cut:
            earlier = counters.copy()
        counters.add(request_class, answer, took)
    for request_class in (READ, WRITE):
        class_counters = counters.by_class[request_class.name]
        served = sorted(
            took for ended_class, answer, took in ends if ended_class is request_class and answer == "served"
        )
        assert (class_counters.in_time, class_counters.late) == (
            sum(t <= request_class.latency_objective for t in served),
            sum(t > request_class.latency_objective for t in served),
        )
        assert sum(class_counters.latencies) == len(served) == class_counters.in_time + class_counters.late
        assert class_counters.refused + class_counters.failed + class_counters.left == sum(
            ended_class is request_class and answer != "served" for ended_class, answer, _ in ends
        )
        if served:
            assert class_counters.quantile(1.0) == bucket_upper_bound(
                bucket_index(served[-1])
            ) and class_counters.quantile(0.5) == bucket_upper_bound(bucket_index(served[(len(served) - 1) // 2]))
        if earlier is not None:
            after = class_counters.since(earlier[request_class.name])
            assert sum(after.latencies) == sum(
                ended_class is request_class and answer == "served" for ended_class, answer, _ in ends[cut:]
            )
    assert ClassCounters().quantile(0.99) == 0


def test_each_request_is_counted_once_by_class_and_outcome():
    harness = Place()
    for late in (False, True):
        harness.ask("read")
        harness.pass_time(0.05 if not late else 0.45)
        harness.backend.to(harness.backend.sent[-1][0]).answer()
    harness.ask("write")
    harness.gateway.leave(harness.number)
    harness.ask("write")
    harness.backend.to("p").drop()
    harness.pass_time(3)
    read, write = (harness.gateway.request_counters.by_class[name] for name in ("read", "write"))
    assert (read.in_time, read.late, read.refused, read.failed, read.left) == (1, 1, 0, 0, 0)
    assert (write.in_time, write.late, write.refused, write.failed, write.left) == (0, 0, 0, 1, 1)
    assert 50 * MS < read.quantile(0.5) <= 60 * MS and harness.gateway.request_counters.view()["read"]["p99"] > 400
