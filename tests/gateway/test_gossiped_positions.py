"""Log positions reported by other gateways: what they prove, how false claims are detected, what is never used."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.virtual_gateway import SERVERS, Place
from yardbank.gateway import Reply, ServerSpec
from yardbank.gateway.api import ProbeResult
from yardbank.gateway.gossiped_positions import (
    AGREED,
    FALSE,
    PROBE_INTERVAL,
    TRANSITIONS,
    TRUST_PERIOD,
    UNSEEN,
    GossipedPositions,
)
from yardbank.interface import PositionGossiped, Role

FOR_EACH_SEED = pytest.mark.parametrize("seed", [1, 2])
START = 50_000


def gossip_harness(seed=1, applied=5, **more):
    """A primary known to be at position 5, a replica with a given position, and a record of events to the router."""
    harness = Place(seed=seed, **more)
    harness.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "a", "h", 2, started=START / 1000)])
    harness.ask("write")
    harness.backend.to("p").answer(Reply("ok", "done", Role.PRIMARY, ("", (5,))))
    harness.applied = applied
    harness.backend.position = lambda server: (
        ProbeResult({"": (5,)}, True) if server.primary else ProbeResult({"": (harness.applied,)}, False)
    )
    harness.events = []
    handle = harness.gateway._router.handle
    harness.gateway._router.handle = lambda now, event: harness.events.append(event) or handle(now, event)
    return harness


def claim(harness, mark=5, start=START, server="c"):
    return harness.gateway.apply_gossiped_position(server, start, {"": (mark,)})


def gossip_events(harness):
    return [event for event in harness.events if isinstance(event, PositionGossiped)]


@FOR_EACH_SEED
def test_claim_is_used_after_own_probe_and_makes_replica_eligible_for_session(seed):
    harness = gossip_harness(seed)
    assert not claim(harness) and not gossip_events(harness)  # a claim alone is not trusted
    assert claim(harness)  # the server has been probed meanwhile and confirmed the claim
    assert [event.server for event in gossip_events(harness)] == [harness.gateway._endpoints.server_numbers["c"]]
    assert not claim(harness)  # the claim proves nothing new
    harness.ask("read")
    assert harness.backend.sent[-1][0] == "c"


@FOR_EACH_SEED
def test_claim_checked_by_caller_is_used_without_probe(seed):
    harness, probes = gossip_harness(seed), []
    harness.gateway._prober.ask = lambda server, then: probes.append(server)
    for malformed in ({"": [5]}, {}):
        assert not harness.gateway.apply_gossiped_position("c", START, malformed, checked=True)
    assert (
        harness.gateway.apply_gossiped_position("c", START, {"": (5,)}, checked=True)
        and len(gossip_events(harness)) == 1
    )
    # a claim for another start of the server
    assert not harness.gateway.apply_gossiped_position("c", START + 1, {"": (5,)}, checked=True)
    assert probes == []
    assert not claim(harness) and probes == ["c"]


@FOR_EACH_SEED
def test_claim_proves_no_more_than_own_timeline_and_does_not_move_head(seed):
    harness = gossip_harness(seed, applied=9)
    number, head = harness.gateway._endpoints.group_numbers["g"], harness.gateway._positions.head(0)
    claim(harness, 9)
    assert claim(harness, 9)
    position = gossip_events(harness)[0].report.position
    assert position == harness.gateway._positions._timelines[number].head() and position <= harness.gateway.now()
    assert harness.gateway._positions.head(0) == head == {"": (5,)}  # position 9 is not on the timeline
    assert not claim(harness, 4) and len(gossip_events(harness)) == 1


@FOR_EACH_SEED
def test_false_claim_is_detected_by_next_probe_and_gossip_is_ignored_until_restart(seed):
    harness = gossip_harness(seed, applied=3)
    # the gateway's timeline has no entry covered by this position: nothing is proved
    assert not claim(harness, 3) and not claim(harness, 3)
    assert claim(harness, 5)  # a false claim
    number = harness.gateway._endpoints.server_numbers["c"]
    for _ in range(11):
        harness.pass_time(1, 0.5)
        claim(harness, 5)
    assert harness.gateway._prober.gossiped.state(number) == FALSE and harness.gateway.view()["passed"]["false"] == 1
    harness.applied, seen = 9, len(gossip_events(harness))
    assert not claim(harness, 9) and len(gossip_events(harness)) == seen
    harness.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "a", "h", 2, started=START / 1000 + 1)])
    assert not claim(harness, 9) and not claim(harness, 9)  # claims for the old start
    assert not claim(harness, 9, START + 1000) and harness.gateway._prober.gossiped.state(number) == AGREED


def test_claims_on_unknown_servers_other_starts_primaries_and_malformed_ones_are_ignored():
    harness = gossip_harness()
    assert not claim(harness, server="x") and not claim(harness, start=START + 1) and not claim(harness, 5, 0, "p")
    assert harness.gateway._prober.gossiped._gossip == {}
    claim(harness), claim(harness, 4)
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
        assert harness.gateway.apply_gossiped_position("c", START, marks) is False
    assert not gossip_events(harness)


def test_claims_and_callers_share_one_probe_and_probes_are_rare():
    harness = gossip_harness()
    harness.backend.position = None  # probes stay unanswered
    for _ in range(5):
        claim(harness)
    replica = harness.backend.to("c")
    assert len(replica.probes) == 1
    answers = []
    for _ in range(70):
        harness.gateway.ask("c", lambda *answer: answers.append(answer))
    assert (
        len(replica.probes) == 1
        and [answer[2] for answer in answers] == ["full"] * 7
        and harness.gateway.asks_left_out == 7
    )
    replica.probes.pop()(ProbeResult({"": (5,)}, False))
    assert len(answers) == 70 and {answer[2] for answer in answers[7:]} == {"ok"} and claim(harness)
    for _ in range(40):
        harness.pass_time(0.1, 0.1)
        claim(harness)
    assert not replica.probes  # no further probe for several seconds


def test_ask_reports_unknown_moved_and_silent_servers():
    harness = gossip_harness()
    answers = []
    harness.gateway.ask("x", lambda *answer: answers.append(answer[2]))
    harness.backend.position = None
    harness.gateway.ask("c", lambda *answer: 1 / 0)
    harness.gateway.ask("c", lambda *answer: answers.append(answer[2]))
    replica = harness.backend.to("c")
    harness.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "a", "elsewhere", 2)])
    replica.probes.pop()(ProbeResult({"": (99,)}, True))
    harness.gateway.ask("c", lambda *answer: answers.append(answer[2]))
    harness.pass_time(1)
    assert answers == ["moot", "moot", "timeout"] and harness.gateway._positions.head(0) == {"": (5,)}
    harness.gateway.stop()
    harness.gateway.ask("c", lambda *answer: answers.append(answer[2]))
    assert answers[3:] == ["moot"] and not claim(harness, start=0)


STEP = st.tuples(st.sampled_from(["word", "look", "answer", "lose"]), st.integers(0, 6), st.integers(0, 8 * 10**9))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60), st.integers(0, 3))
def test_claim_is_used_only_soon_after_probe_and_true_claim_is_never_false(steps, seed):
    gossip, now, position, probe_sent_at, agreed_at, false_claims = (
        GossipedPositions(Random(seed), 0),
        1,
        0,
        None,
        None,
        False,
    )
    for step, value, wait in steps:
        now += wait
        before = gossip.state(1)
        if step == "word":
            claimed = min(value, position) if not false_claims else value
            false_claims = false_claims or value == 6 > position  # from now on claims may exceed the server's position
            usable = gossip.record_claim(now, 1, 7, {"": (max(claimed, 1) if not false_claims else value + 1,)})
            assert not usable or (agreed_at is not None and now - agreed_at < TRUST_PERIOD)
        elif step == "look" and probe_sent_at is None and gossip.probe_due(now, 1):
            probe_sent_at = now
        elif step == "lose":
            probe_sent_at = None
        elif step == "answer" and probe_sent_at is not None:
            position = max(position, value, 1) if not false_claims else max(position, 1)
            if not gossip.record_answer(now, 1, {"": (position,)}, probe_sent_at):
                assert false_claims
            agreed_at = now if gossip.state(1) == AGREED else agreed_at
            probe_sent_at = None
        after = gossip.state(1)
        assert before == after or ((before, after) in {(a, b) for a, _, b in TRANSITIONS} and before != FALSE)
    assert gossip.state(1) in (UNSEEN, AGREED, FALSE)


def agreed_gossip(now=10**9):
    gossip = GossipedPositions(Random(1), 0)
    assert (
        not gossip.record_claim(now, 1, 7, {"": (1,)})
        and gossip.probe_due(now, 1)
        and gossip.record_answer(now, 1, {"": (1,)}, now)
    )
    return gossip


def test_only_answer_to_probe_sent_after_claim_confirms_or_refutes_it():
    gossip, now = agreed_gossip(), 10**9
    assert gossip.record_claim(now + 1, 1, 7, {"": (5,)})
    # an answer to a probe of the router, sent before the claim: it says nothing
    assert gossip.record_answer(now + 2, 1, {"": (1,)}, now)
    later = now + TRUST_PERIOD
    # an answer to a probe that gossip did not start does not extend the trust
    assert gossip.record_answer(later, 1, {"": (9,)}, later - 1)
    assert not gossip.record_claim(later, 1, 7, {"": (5,)}) and gossip.state(1) == UNSEEN
    # sent before the probe was due: does not count as its answer
    assert gossip.probe_due(later, 1) and gossip.record_answer(later + 1, 1, {"": (1,)}, later - 1)
    assert gossip.state(1) == UNSEEN and not gossip.probe_due(later + 1, 1)
    assert not gossip.record_answer(later + 2, 1, {"": (4,)}, later)


def test_trust_ends_when_probes_stay_unanswered():
    gossip, now = agreed_gossip(), 10**9
    assert gossip.record_claim(now + TRUST_PERIOD - 1, 1, 7, {"": (1,)}) and not gossip.record_claim(
        now + TRUST_PERIOD, 1, 7, {"": (1,)}
    )
    gossip.forget(1)
    assert gossip.state(1) == UNSEEN


def test_first_probes_are_spread_and_unanswered_ones_back_off():
    at = []
    for seed in range(200):
        gossip, now = GossipedPositions(Random(seed), 200 * 10**6), 10**9
        while not gossip.record_claim(now, 1, 7, {"": (1,)}) and not gossip.probe_due(now, 1):
            now += 10**6
        at.append(now - 10**9)
    assert max(at) <= 201 * 10**6 and max(at.count(each) for each in at) < 10
    probes = 0
    for now in range(2 * 10**9, 62 * 10**9, 10**8):
        gossip.record_claim(now, 1, 7, {"": (1,)})
        probes += gossip.probe_due(now, 1)
    assert 8 <= probes <= 16 and PROBE_INTERVAL < TRUST_PERIOD
