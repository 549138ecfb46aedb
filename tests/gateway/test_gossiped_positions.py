"""Marks that others passed on: what they prove here, how a false word is found, and what is never taken."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.virtual_gateway import SERVERS, Place
from yardbank.gateway import Reply, ServerSpec
from yardbank.gateway.api import ProbeResult
from yardbank.gateway.gossiped_positions import AGREED, FALSE, PROBE_INTERVAL, TRANSITIONS, TRUST_PERIOD, UNSEEN, GossipedPositions
from yardbank.interface import PositionGossiped, Role

SEEDS = pytest.mark.parametrize("seed", [1, 2])
START = 50_000


def place_with(seed=1, applied=5, **more):
    """A primary at mark 5 that is known to be there, a copy that has applied some, and what the module was told."""
    place = Place(seed=seed, **more)
    place.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "a", "h", 2, started=START / 1000)])
    place.ask("write")
    place.backend.to("p").answer(Reply("ok", "done", Role.PRIMARY, ("", (5,))))
    place.applied = applied
    place.backend.position = lambda server: (
        ProbeResult({"": (5,)}, True) if server.primary else ProbeResult({"": (place.applied,)}, False)
    )
    place.told = []
    handle = place.gateway._router.handle
    place.gateway._router.handle = lambda now, event: place.told.append(event) or handle(now, event)
    return place


def word(place, mark=5, start=START, server="c"):
    return place.gateway.apply_gossiped_position(server, start, {"": (mark,)})


def marked(place):
    return [event for event in place.told if isinstance(event, PositionGossiped)]


@SEEDS
def test_a_word_is_taken_once_this_gateway_has_looked_itself_and_opens_the_copy_to_its_session(seed):
    place = place_with(seed)
    assert not word(place) and not marked(place)  # hearsay alone
    assert word(place)  # it was asked meanwhile, and has that
    assert [event.server for event in marked(place)] == [place.gateway._endpoints.server_numbers["c"]]
    assert not word(place)  # nothing that was not known
    place.ask("read")
    assert place.backend.sent[-1][0] == "c"


@SEEDS
def test_a_word_that_its_bringer_has_checked_is_taken_without_a_look(seed):
    place, looks = place_with(seed), []
    place.gateway._prober.ask = lambda server, then: looks.append(server)
    for nonsense in ({"": [5]}, {}):
        assert not place.gateway.apply_gossiped_position("c", START, nonsense, checked=True)
    assert place.gateway.apply_gossiped_position("c", START, {"": (5,)}, checked=True) and len(marked(place)) == 1
    assert not place.gateway.apply_gossiped_position("c", START + 1, {"": (5,)}, checked=True)  # another start's
    assert looks == []
    assert not word(place) and looks == ["c"]


@SEEDS
def test_marks_prove_no_more_than_ones_own_links_and_are_no_observation_of_the_head(seed):
    place = place_with(seed, applied=9)
    number, head = place.gateway._endpoints.group_numbers["g"], place.gateway._positions.head(0)
    word(place, 9)
    assert word(place, 9)
    position = marked(place)[0].report.position
    assert position == place.gateway._positions._timelines[number].head() and position <= place.gateway.now()
    assert place.gateway._positions.head(0) == head == {"": (5,)}  # mark 9 is nowhere on the timeline
    assert not word(place, 4) and len(marked(place)) == 1


@SEEDS
def test_a_false_word_is_found_by_the_next_look_and_nothing_is_taken_until_a_new_start(seed):
    place = place_with(seed, applied=3)
    assert not word(place, 3) and not word(place, 3)  # no link of its own is covered: nothing is proved
    assert word(place, 5)  # a lie
    number = place.gateway._endpoints.server_numbers["c"]
    for _ in range(11):
        place.pass_time(1, 0.5)
        word(place, 5)
    assert place.gateway._prober.gossiped.state(number) == FALSE and place.gateway.view()["passed"]["false"] == 1
    place.applied, seen = 9, len(marked(place))
    assert not word(place, 9) and len(marked(place)) == seen
    place.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "a", "h", 2, started=START / 1000 + 1)])
    assert not word(place, 9) and not word(place, 9)  # the old start
    assert not word(place, 9, START + 1000) and place.gateway._prober.gossiped.state(number) == AGREED


def test_words_on_strangers_other_starts_primaries_and_nonsense_are_nobodys():
    place = place_with()
    assert not word(place, server="x") and not word(place, start=START + 1) and not word(place, 5, 0, "p")
    assert place.gateway._prober.gossiped._gossip == {}
    word(place), word(place, 4)
    for marks in (
        {},
        {"": ()},
        {"": [5]},
        {"": (5.0,)},
        {"": (True,)},
        {1: (5,)},
        [("", (5,))],
        None,
        {"": ("five",)},
        {"": (1 << 70, "x" * 99)},
        {str(n): (1,) for n in range(99)},
    ):
        assert place.gateway.apply_gossiped_position("c", START, marks) is False
    assert not marked(place)


def test_looks_go_by_the_one_question_and_come_seldom():
    place = place_with()
    place.backend.position = None  # answers wait
    for _ in range(5):
        word(place)
    copy = place.backend.to("c")
    assert len(copy.probes) == 1
    got = []
    for _ in range(70):
        place.gateway.ask("c", lambda *told: got.append(told))
    assert len(copy.probes) == 1 and [told[2] for told in got] == ["full"] * 7 and place.gateway.asks_left_out == 7
    copy.probes.pop()(ProbeResult({"": (5,)}, False))
    assert len(got) == 70 and {told[2] for told in got[7:]} == {"ok"} and word(place)
    for _ in range(40):
        place.pass_time(0.1, 0.1)
        word(place)
    assert not copy.probes  # seconds later


def test_asking_tells_of_a_server_that_is_not_there_has_moved_or_says_nothing():
    place = place_with()
    got = []
    place.gateway.ask("x", lambda *told: got.append(told[2]))
    place.backend.position = None
    place.gateway.ask("c", lambda *told: 1 / 0)
    place.gateway.ask("c", lambda *told: got.append(told[2]))
    copy = place.backend.to("c")
    place.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "a", "elsewhere", 2)])
    copy.probes.pop()(ProbeResult({"": (99,)}, True))
    place.gateway.ask("c", lambda *told: got.append(told[2]))
    place.pass_time(1)
    assert got == ["moot", "moot", "timeout"] and place.gateway._positions.head(0) == {"": (5,)}
    place.gateway.stop()
    place.gateway.ask("c", lambda *told: got.append(told[2]))
    assert got[3:] == ["moot"] and not word(place, start=0)


STEP = st.tuples(st.sampled_from(["word", "look", "answer", "lose"]), st.integers(0, 6), st.integers(0, 8 * 10**9))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60), st.integers(0, 3))
def test_a_word_is_taken_only_lately_after_a_look_and_a_true_one_is_never_called_false(steps, seed):
    passed, now, has, out, agreed_at, lied = GossipedPositions(Random(seed), 0), 1, 0, None, None, False
    for what, much, wait in steps:
        now += wait
        before = passed.state(1)
        if what == "word":
            claimed = min(much, has) if not lied else much
            lied = lied or much == 6 > has  # from now on words may claim too much
            taken = passed.record_claim(now, 1, 7, {"": (max(claimed, 1) if not lied else much + 1,)})
            assert not taken or (agreed_at is not None and now - agreed_at < TRUST_PERIOD)
        elif what == "look" and out is None and passed.probe_due(now, 1):
            out = now
        elif what == "lose":
            out = None
        elif what == "answer" and out is not None:
            has = max(has, much, 1) if not lied else max(has, 1)
            if not passed.record_answer(now, 1, {"": (has,)}, out):
                assert lied
            agreed_at = now if passed.state(1) == AGREED else agreed_at
            out = None
        after = passed.state(1)
        assert before == after or ((before, after) in {(a, b) for a, _, b in TRANSITIONS} and before != FALSE)
    assert passed.state(1) in (UNSEEN, AGREED, FALSE)


def agreed(now=10**9):
    passed = GossipedPositions(Random(1), 0)
    assert not passed.record_claim(now, 1, 7, {"": (1,)}) and passed.probe_due(now, 1) and passed.record_answer(now, 1, {"": (1,)}, now)
    return passed


def test_only_an_answer_to_a_question_asked_after_the_word_says_that_it_is_false_or_holds():
    passed, now = agreed(), 10**9
    assert passed.record_claim(now + 1, 1, 7, {"": (5,)})
    assert passed.record_answer(now + 2, 1, {"": (1,)}, now)  # the module's own, asked before: it says nothing
    later = now + TRUST_PERIOD
    assert passed.record_answer(later, 1, {"": (9,)}, later - 1)  # nor does one that this did not ask for extend the trust
    assert not passed.record_claim(later, 1, 7, {"": (5,)}) and passed.state(1) == UNSEEN
    assert passed.probe_due(later, 1) and passed.record_answer(later + 1, 1, {"": (1,)}, later - 1)  # begun before: asked in vain
    assert passed.state(1) == UNSEEN and not passed.probe_due(later + 1, 1)
    assert not passed.record_answer(later + 2, 1, {"": (4,)}, later)


def test_trust_ends_where_a_server_leaves_looks_unanswered():
    passed, now = agreed(), 10**9
    assert passed.record_claim(now + TRUST_PERIOD - 1, 1, 7, {"": (1,)}) and not passed.record_claim(now + TRUST_PERIOD, 1, 7, {"": (1,)})
    passed.forget(1)
    assert passed.state(1) == UNSEEN


def test_first_looks_of_hundreds_spread_and_unanswered_ones_come_seldom():
    at = []
    for seed in range(200):
        passed, now = GossipedPositions(Random(seed), 200 * 10**6), 10**9
        while not passed.record_claim(now, 1, 7, {"": (1,)}) and not passed.probe_due(now, 1):
            now += 10**6
        at.append(now - 10**9)
    assert max(at) <= 201 * 10**6 and max(at.count(each) for each in at) < 10
    looks = 0
    for now in range(2 * 10**9, 62 * 10**9, 10**8):
        passed.record_claim(now, 1, 7, {"": (1,)})
        looks += passed.probe_due(now, 1)
    assert 8 <= looks <= 16 and PROBE_INTERVAL < TRUST_PERIOD
