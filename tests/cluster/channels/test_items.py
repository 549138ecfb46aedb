"""Properties of streams, listener queues, placement, trees and interest exchange, over generated inputs."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.channels import placement, tree
from yardbank.cluster.channels.api import MS, SECOND, Delivered, Gap
from yardbank.cluster.channels.items import MAX_OUT_OF_ORDER, REORDER_WAIT, ListenerQueue, RecentItems, Stream
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.messages import InterestDigest, InterestQuery, InterestSet, Item
from yardbank.cluster.channels.placement import Placement, assign, load_bound, successors

EPOCH_LENGTHS = [(1, 5), (2, 3), (5, 4)]  # (epoch, number of items)


def item(epoch: int, sequence: int, after: tuple[int, int] | None = None) -> Item:
    return Item("c", epoch, sequence, b"%d/%d" % (epoch, sequence), "g", 1, after)


@st.composite
def arrivals(draw):
    """Items of three owners, each possibly lost or duplicated, reordered nearby, with or without known epoch ends."""
    ends_known = draw(st.booleans())
    ends = dict(EPOCH_LENGTHS)
    after = {2: (1, ends[1]), 5: (2, ends[2])} if ends_known else {}
    items = [
        item(epoch, sequence, after.get(epoch)) for epoch, count in EPOCH_LENGTHS for sequence in range(1, count + 1)
    ]
    kept = [one for one in items for _ in range(draw(st.integers(0, 2)))]
    order = draw(st.lists(st.integers(0, 6), min_size=len(kept), max_size=len(kept)))
    ranked = sorted(range(len(kept)), key=lambda number: number + order[number])
    return (
        ends_known,
        items,
        [kept[number] for number in ranked],
        draw(st.lists(st.integers(0, 300), min_size=len(kept), max_size=len(kept))),
    )


@given(arrivals())
@settings(max_examples=300, deadline=None)
def test_items_are_delivered_once_in_order_and_missing_ones_reported(drawn) -> None:
    ends_known, items, arrived, pauses = drawn
    stream, now = Stream("c"), SECOND
    stream.note_newest(now, 1, 0, None)
    for one, pause in zip(arrived, pauses):
        now += pause * MS
        stream.tick(now)
        stream.take(now, one)
    for _ in range(20):
        now += REORDER_WAIT
        stream.tick(now)
    assert not stream.is_waiting() and not stream._out_of_order
    places = [(one.epoch, one.sequence) for one in stream.out if isinstance(one, Item)]
    assert places == sorted(set(places))
    if not arrived:
        return
    all_positions = [(one.epoch, one.sequence) for one in items]
    gaps = [one for one in stream.out if isinstance(one, Gap)]
    last = max((one.epoch, one.sequence) for one in arrived)
    missing_positions = [one for one in all_positions if one <= last and one not in places]
    assert not missing_positions or gaps  # whatever is missing before the last arrived item is reported
    if ends_known and all(gap.missing is not None for gap in gaps):
        assert sum(gap.missing for gap in gaps) >= len(missing_positions)
    if ends_known and not missing_positions:
        assert sum(gap.missing or 0 for gap in gaps) == 0


def test_planned_owner_change_shows_no_gap_and_unplanned_one_an_unknown_gap() -> None:
    for after, gaps in (((1, 2), []), (None, [Gap("c", 4, None)])):
        stream = Stream("c")
        for one in (item(1, 1), item(1, 2), item(4, 1, after)):
            stream.take(SECOND, one)
        assert [one for one in stream.out if isinstance(one, Gap)] == gaps
        assert not stream.take(SECOND, item(1, 3)) and not stream.take(SECOND, item(3, 1))  # of former owners


def test_late_items_of_the_previous_epoch_are_awaited_when_its_end_is_known() -> None:
    stream = Stream("c")
    stream.take(0, item(1, 1))
    stream.take(MS, item(2, 1, (1, 3)))
    assert stream.missing(2 * MS) is None  # it may only be reordered
    assert stream.missing(20 * MS).first == 2 and stream.missing(30 * MS) is None  # requested once per interval
    stream.take(40 * MS, item(1, 3, None))
    stream.take(50 * MS, item(1, 2, None))
    assert [(one.epoch, one.sequence) for one in stream.out] == [(1, 1), (1, 2), (1, 3), (2, 1)]


def test_out_of_order_items_are_bounded_by_count() -> None:
    stream = Stream("c")
    stream.take(0, item(1, 1))
    for sequence in range(3, MAX_OUT_OF_ORDER + 10):
        stream.take(1, item(1, sequence))
    assert Gap("c", 1, 1) in stream.out and len(stream.out) > MAX_OUT_OF_ORDER


def test_latest_stream_does_not_wait_for_missing_items() -> None:
    stream = Stream("c", latest=True)
    for one in (item(1, 1), item(1, 5), item(1, 3), item(2, 9), item(1, 6)):
        stream.take(0, one)
    stream.note_newest(0, 2, 10, None)
    stream.take(0, item(2, 10))  # a heartbeat has announced it already; it still counts as new
    assert [(one.epoch, one.sequence) for one in stream.out] == [(1, 1), (1, 5), (2, 9), (2, 10)]


def test_recent_items_are_bounded_and_in_order() -> None:
    recent = RecentItems()
    for sequence in range(1, 1000):
        recent.add(Item("c", 1, sequence, bytes(400), "g", 1))
    kept = recent.newer_than((0, 0), 10_000)
    assert sum(len(one.data) for one in kept) <= 64 * 1024 and kept[-1].sequence == 999
    assert [one.sequence for one in recent.between(1, 990, 1 << 60)] == list(range(990, 1000))


@given(st.integers(2, 20), st.lists(st.booleans(), max_size=60))
def test_full_listener_queue_drops_the_oldest_and_reports_how_many(most: int, puts: list[bool]) -> None:
    queue, taken, lost, number = ListenerQueue(most), [], 0, 0
    for put in puts:
        if put:
            number += 1
            queue.put(Delivered("c", 1, number, b""))
        elif (one := queue.take()) is not None:
            taken.append(one)
        assert len(queue) <= most
    while (one := queue.take()) is not None:
        taken.append(one)
    lost = sum(one.missing for one in taken if isinstance(one, Gap))
    assert lost + sum(isinstance(one, Delivered) for one in taken) == number


# Placement


@given(st.integers(1, 40), st.integers(0, 120), st.integers(0, 10**6))
@settings(max_examples=50, deadline=None)
def test_assigned_loads_are_bounded_and_independent_of_input_order(gateways: int, channels: int, salt: int) -> None:
    names = frozenset(f"{salt}-{number}" for number in range(gateways))
    one, two = Placement(lambda a, b: None), Placement(lambda a, b: None)
    one.listed(dict.fromkeys(sorted(names), ""))
    two.listed(dict.fromkeys(sorted(names, reverse=True), ""))
    orders = {f"c{number}": one.order(f"c{number}", names) for number in range(channels)}
    assert orders == {channel: two.order(channel, names) for channel in reversed(orders)}
    most = load_bound(channels, gateways)
    queues = assign(orders, {}, most)
    assert all(sorted(queue) == sorted(names) for queue in queues.values())
    assert max(Counter(queue[0] for queue in queues.values()).values(), default=0) <= most


def test_removing_a_gateway_moves_only_its_own_channels() -> None:
    names = frozenset(f"g{number}" for number in range(10))
    found = Placement(lambda a, b: None)
    found.listed(dict.fromkeys(names, ""))
    for channel in (f"c{number}" for number in range(50)):
        order = found.order(channel, names)
        assert found.order(channel, names - {"g3"}) == [name for name in order if name != "g3"]


def test_order_prefers_lowest_worst_latency_unless_a_latency_is_unknown() -> None:
    latencies = {frozenset("ab"): 20, frozenset("bc"): 20, frozenset("ac"): 90}
    zones = {f"g{number}": "abc"[number % 3] for number in range(9)}
    for known in ("abc", "ab"):
        found = Placement(
            lambda a, b, known=known: latencies[frozenset((a, b))] * MS if a in known and b in known else None
        )
        found.listed(zones)
        order = found.order("x", frozenset(zones), frozenset(zones))
        assert ({zones[name] for name in order[:3]} == {"b"}) is (known == "abc")


def test_preferred_successors_come_first_up_to_twice_the_bound() -> None:
    order = ["a", "b", "c", "d"]
    assert successors(order, {}, 2, None) == order
    assert successors(order, {"a": 2}, 2, None) == ["b", "c", "d", "a"]
    assert successors(order, {"d": 3}, 2, lambda names: ["d", "c"])[:2] == ["d", "c"]
    assert successors(order, {"d": 4}, 2, lambda names: ["d", "c"])[0] == "c"


# Trees


@given(st.integers(1, 300), st.integers(2, 16), st.integers(0, 299))
@settings(max_examples=60, deadline=None)
def test_parent_comes_earlier_in_the_order_and_depth_and_fan_out_are_bounded(
    gateways: int, fan_out: int, owner: int
) -> None:
    names = tree.order(3, [f"g{number}" for number in range(gateways)])
    root = names[owner % gateways]
    child_counts = Counter()
    for at, name in enumerate(names):
        ancestors = tree.ancestors(names, at, fan_out, root)
        assert name not in ancestors
        if name != root:
            parent = ancestors[0]
            child_counts[parent] += 1
            assert parent == root or names.index(parent) < at
            assert len(ancestors) <= tree.depth(gateways, fan_out)
    assert all(count <= fan_out for name, count in child_counts.items() if name != root)
    assert child_counts[root] <= 2 * fan_out


# Interests


def test_peers_exchange_interests_and_reject_sets_that_do_not_match_the_hash() -> None:
    one, two = Members("one"), Members("two")
    one.set_present(["two"])
    two.set_present(["one"])
    one.set_own_interests([f"own-{number}" for number in range(200)], ["x"])
    assert [type(found) for found in two.on_interest_digest("one", 1, one.digest_for("two"))] == [
        InterestQuery,
        InterestDigest,
    ]
    parts = one.on_interest_query(InterestQuery(one.hash))
    assert len(parts) > 1
    two.on_interest_set(InterestSet(one.hash, 0, 1, ("forged",), ()))
    assert not two.knows_interests("one")
    for part in [*reversed(parts), *parts]:
        two.on_interest_set(part)
    assert two.candidates("own-7") == {"one"} and two.followers("x") == {"one"} and len(two.channels()) == 200
    # An earlier version is ignored.
    assert two.on_interest_digest("one", 1, InterestDigest(1, 5, 0)) == [] and two.knows_interests("one")
    two.set_present([])
    assert not two.candidates("own-7")
    assert placement.candidacy_order(["a", "b"], {"a": 1}, 1) == ["b", "a"]
