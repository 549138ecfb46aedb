"""Fault periods and claims, checked on handmade facts."""

from yardbank.testing.audit import judge
from yardbank.testing.audit.claims import alive, served, serves_again
from yardbank.testing.audit.excuses import FaultPeriods


def process(at, what, name="g1", **more):
    return {"at": at, "kind": "process", "name": name, "what": what, **more}


def sent(at, tag="c1/1", gateway="g1", **more):
    need = {"read": "bounded", "request_class": "lookup", "staleness": 1.0}
    return {
        "at": at,
        "kind": "sent",
        "client": "c1",
        "tag": tag,
        "gateway": gateway,
        "deadline": 1.0,
        "need": need,
        "suffix": "dc=a",
        "want": 1,
        **more,
    }


def lost(at):
    return {"at": at, "kind": "lost", "client": "c1"}


def found(facts):
    verdict = judge(sorted(facts, key=lambda fact: fact["at"]))
    return [name for name, rule in verdict.rules.items() if not rule.held]


def test_a_missing_answer_is_allowed_only_while_its_own_gateway_or_link_was_down():
    gave_up = {"at": 4.0, "kind": "gave_up", "client": "c1", "tag": "c1/1"}
    assert found([sent(2.0), gave_up]) == ["one_answer"]
    assert found([process(1.0, "pause"), sent(2.0), process(3.0, "resume"), gave_up]) == []
    assert found([process(1.0, "pause", "g2"), sent(2.0), gave_up]) == ["one_answer"]
    assert found([process(0.5, "pause"), process(1.0, "resume"), sent(2.0), gave_up]) == ["one_answer"]
    cut = {"at": 1.0, "kind": "link", "from": "clients", "to": "g1", "sound": False}
    assert found([cut, sent(2.0), gave_up]) == []
    assert found([{**cut, "from": "g1", "to": "a-1"}, sent(2.0), gave_up]) == ["one_answer"]


def test_a_lost_connection_is_allowed_after_a_kill_and_not_after_a_crash():
    assert found([sent(2.0), process(2.5, "kill"), lost(2.6)]) == []
    assert found([sent(2.0), process(2.5, "ended", meant=False), lost(2.6)]) == ["one_answer"]


def test_a_stopping_gateway_must_answer_requests_it_had_accepted():
    stop = process(2.0, "terminate")
    taken = {"at": 1.4, "kind": "received", "server": "a-1", "tag": "c1/1", "op": "search"}
    assert found([sent(1.3), stop, lost(2.1)]) == ["one_answer"]
    assert found([sent(2.1), stop, lost(2.2)]) == []
    assert found([sent(1.98), stop, lost(2.2)]) == []  # still in transit when the gateway stopped
    assert found([sent(1.98), {**taken, "at": 1.99}, stop, lost(2.2)]) == ["one_answer"]
    assert found([stop, process(3.0, "ready"), sent(4.0), lost(4.1)]) == ["one_answer"]  # it stopped in an earlier run


def test_a_second_answer_is_a_violation_even_during_a_fault():
    answer = {"at": 2.1, "kind": "answer", "client": "c1", "tag": "c1/1", "code": 0}
    assert found([process(1.0, "pause"), sent(2.0), answer, {**answer, "at": 2.2}]) == ["one_answer"]


def test_each_gateway_must_respect_the_drains_it_was_told_of():
    told = {"at": 1.0, "kind": "told", "gateway": "g1", "server": "a-1", "state": "draining"}
    received = {"at": 2.1, "kind": "received", "server": "a-1", "tag": "c1/1", "op": "search"}
    answer = {"at": 2.2, "kind": "answer", "client": "c1", "tag": "c1/1", "code": 0}
    assert found([told, sent(2.0), received, answer]) == ["drains_kept"]
    assert found([told, sent(2.0, gateway="g2"), received, answer]) == []
    assert found([told, process(0.9, "pause"), process(1.9, "resume"), sent(2.0), received, answer]) == []
    held_back = {"at": 1.5, "kind": "link", "from": "g1", "to": "a-1", "sound": False}
    assert found([told, held_back, sent(2.0), received, answer]) == []


def test_fault_periods_end_with_their_fault():
    fault_periods = FaultPeriods([process(1, "pause"), process(2, "resume"), process(5, "kill")])
    assert [fault_periods.gateway_down("g1", at, at) for at in (0.5, 1.5, 3, 6)] == [False, True, False, True]
    assert fault_periods.notified_from("g1", 1.5) == 2 and fault_periods.notified_from("g1", 3) == 3
    assert not fault_periods.explains_no_answer("", 0, 99)


def wanted(at, number, end):
    return [
        {"at": at, "kind": "wanted", "want": number, "request_class": "lookup"},
        {"at": at + 0.1, "kind": "done", "want": number, "end": end},
    ]


def test_served_share_claims_fail_with_the_outcomes_and_a_fact():
    facts = [
        {"at": 1.0, "kind": "step", "name": "x", "phase": "begin"},
        {"at": 3.0, "kind": "step", "name": "x", "phase": "end"},
    ]
    for number in range(20):
        facts += wanted(number * 0.25, number, "refused" if 1 <= number * 0.25 < 3 else "served")
    facts.sort(key=lambda fact: fact["at"])
    assert served(facts, 1.0, "x", "", "lookup").held and served(facts, 1.0, "", "x", "").seen.startswith("0.800 of 5")
    whole = served(facts, 0.7, "", "", "")
    assert not whole.held and "8 refused" in whole.seen and whole.fact["end"] == "refused"
    assert not served(facts, 0.1, "y", "", "").held and not served(facts, 0.1, "x", "", "commit").held


def test_gateway_claims_fail_and_name_the_gateways():
    facts = [process(0, "ready"), process(0, "ready", "g2"), {"at": 1.0, "kind": "step", "name": "x", "phase": "begin"}]
    for number, kind in enumerate(("lookup", "status", "commit")):
        need = {"read": "bounded", "request_class": kind}
        facts += [
            {**sent(2.0 + number, f"c1/{number}"), "need": need},
            {"at": 2.1 + number, "kind": "answer", "client": "c1", "tag": f"c1/{number}", "code": 0},
        ]
    assert serves_again(facts, "x", ["g1"]).held
    both = serves_again(facts, "x", ["g1", "g2"])
    assert not both.held and "g2 lookup, g2 status, g2 commit" in both.seen
    assert not serves_again(facts, "never", ["g1"]).held
    assert serves_again([*facts, process(5, "kill", "g2")], "x", ["g1", "g2"]).held
    ends = [
        process(6, "ended", meant=True, code=0, signal=None),
        process(7, "ended", "g2", meant=False, code=3, signal=0),
    ]
    assert alive(ends, ["g1"]).held and not alive(ends, ["g1", "g2"]).held and not alive([], ["g1"]).held
    assert alive(ends, ["g1", "g2"]).fact is ends[1]
