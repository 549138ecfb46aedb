"""The audit can find a gateway guilty: for each rule, one that breaks it on purpose, and the frames named."""

import pytest
from click.testing import CliRunner

from tests.support.reactor_thread import Desk, run, until, world
from yardbank import interface as api
from yardbank.cli import main
from yardbank.directory.codes import Code
from yardbank.gateway import send_check
from yardbank.ldap import messages as m
from yardbank.policy import Router
from yardbank.policy.requests import PendingRequest
from yardbank.testing.audit import judge
from yardbank.testing.audit.judge import Bounds
from yardbank.testing.audit.summary import by_class
from yardbank.testing.standin.server import Capacity

NUMBERS, REQUESTS = "ou=numbers,dc=porting", "ou=requests,dc=porting"


def guilty(place, name, **bounds):
    verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]), Bounds(**bounds))
    assert not verdict.rules[name].held
    assert [rule for rule in verdict.rules if not verdict.rules[rule].held] == [name]
    return verdict.rules[name].found[0]


class Forgets(Router):
    """Takes reads and never answers them."""

    def handle(self, now, event):
        if isinstance(event, api.Request) and event.class_name == "number-lookup":
            return []
        return super().handle(now, event)


def test_a_request_that_is_never_answered_is_found():
    with world(router=Forgets, extra='limits {\n  stop_grace = "50ms"\n}') as place:
        desk = Desk(place)
        request = m.SearchRequest(f"cn=1,{NUMBERS}", 0, m.Present("cn"))
        run(lambda: [[desk.ask(request, "bounded", staleness=0.8)]])
        assert desk.modify().code == 0
        place.record({"kind": "end", "at": place.record.facts[-1]["at"] + 2.0})
        found = guilty(place, "one_answer")
        assert "never answered" in found and "desk/1" in found


def test_a_second_answer_is_found():
    with world() as place:
        desk = Desk(place)
        desk.modify()

        def repeat():
            (front,) = (c for c in place.proxy._factories[0].clients)
            result = m.Result(m.Tag.MODIFY_RESPONSE, 0)
            from yardbank.ldap import codec

            front.transport.write(codec.encode(m.Message(2, result)))

        run(repeat)
        until(lambda: desk.client.gone)
        assert "nothing it was owed" in guilty(place, "one_answer")


class Resends(Router):
    """Sends a write again whatever became of it."""

    def may_resend(self, pending):
        return pending.attempts < 3


def test_a_write_sent_twice_is_found(monkeypatch):
    monkeypatch.setattr(send_check, "check_repeat", lambda request, now: None)  # the gateway does not ask either
    with world(router=Resends) as place:
        place.servers["n1"].faults.lose_next = 1
        desk = Desk(place)
        desk.modify()
        until(lambda: len([f for f in place.record.facts if f["kind"] == "applied" and f["tag"] == "desk/1"]) == 2)
        until(lambda: any(f["kind"] == "answer" for f in place.record.facts))
        assert "sent again after it may have run" in guilty(place, "no_effect_twice")


def test_a_decision_to_send_a_write_again_is_not_carried_out():
    with world(router=Resends) as place:
        place.servers["n1"].faults.lose_next = 1
        desk = Desk(place)
        assert desk.modify().code not in (Code.SUCCESS, Code.BUSY)
        facts = place.record.facts
        assert len([f for f in facts if f["kind"] == "applied" and f["tag"] == "desk/1"]) == 1
        assert all(rule.held for rule in judge(facts, Bounds()).rules.values())


class Refuses(Router):
    """Says that nothing ran, whatever happened."""

    def _give_up(self, pending, reason):
        pending.ran_at = None
        super()._give_up(pending, reason)


def test_a_refusal_of_what_ran_is_found():
    with world(router=Refuses) as place:
        place.servers["n1"].faults.lose_next = 1
        desk = Desk(place)
        assert desk.modify().code == Code.BUSY
        assert "refused though" in guilty(place, "no_effect_twice")


class IgnoresDrains(Router):
    """Never hears that a server drains."""

    def on_server_list(self, event):
        if not self.servers:
            super().on_server_list(event)


def test_a_send_after_the_grace_is_found():
    with world(router=IgnoresDrains) as place:
        desk = Desk(place)
        desk.read("numbers", "bounded", staleness=0.8)
        run(place.tell, n2="draining", n3="draining")
        for _ in range(20):
            desk.read("numbers", "bounded", staleness=0.8)
        assert "sent after the grace" in guilty(place, "drains_kept", drain_grace=0.0)


class Floods(Router):
    """Takes a cold server for a warm one, and puts no limit on anything."""

    def __init__(self, settings):
        super().__init__(settings)
        self.table.warmup_fraction = lambda now, server: 1.0
        self.selection.has_capacity = lambda now, server, pending: True
        self.selection.cost = lambda now, server, primary: 0.0 if server.started else 1.0


def test_a_cold_server_that_is_flooded_is_found():
    capacity = Capacity(slots=1, queue=10_000, read_s=0.02, cold_s=10.0)
    with world(router=Floods, capacity=capacity, entries=2) as place:
        desk = Desk(place)
        desk.read("numbers", "bounded", staleness=0.8)

        run(place.servers["n2"].crash)

        def again():
            place.servers["n2"].restart()
            place.tell(n2="ready")

        run(again)
        request = m.SearchRequest(f"cn=1,{NUMBERS}", 0, m.Present("cn"))
        run(lambda: [[desk.ask(request, "bounded", staleness=0.8) for _ in range(150)]])
        until(lambda: sum(f["kind"] == "received" and f["server"] == "n2" for f in place.record.facts) > 100)
        verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
        assert not verdict.rules["cold_not_pushed_over"].held


class ReadsAnywhere(Router):
    """Sends reads to replicas first; the test takes out what they must see."""

    def __init__(self, settings):
        super().__init__(settings)
        self.selection.cost = lambda now, server, primary: 1.0 if server is primary else 0.0


@pytest.mark.parametrize(
    ("need", "group", "more"), [("session", "requests", {}), ("bounded", "numbers", {"staleness": 0.0})]
)
def test_a_stale_read_is_found(need, group, more, monkeypatch):
    monkeypatch.setattr(PendingRequest, "required_position", lambda self, sent_at: 0)
    with world(router=ReadsAnywhere) as place:
        for name in ("r2", "r3", "n2", "n3"):
            place.servers[name].member.lag = 1e6
        desk = Desk(place)
        desk.modify(b"new", group)
        assert desk.read(group, need, **more).code == 0
        assert "lacks" in guilty(place, "no_stale_read")


def test_the_command_says_so(tmp_path):
    record = tmp_path / "record.jsonl"
    sent = '{"at":1,"kind":"sent","client":"c","tag":"c/1","deadline":1}\n'
    answer = '{"at":1.1,"kind":"answer","client":"c","tag":"c/1","code":0}\n'
    record.write_text(sent + answer)
    done = CliRunner().invoke(main, ["audit", str(record)])
    assert done.exit_code == 0 and "1 served" in done.output
    record.write_text(sent + answer + answer)
    done = CliRunner().invoke(main, ["audit", "--json", str(record)])
    assert done.exit_code == 1 and "answered twice" in done.output
    record.write_text(sent + '{"at":2,"kind":"answer"}\n' + sent)
    done = CliRunner().invoke(main, ["audit", str(record)])
    assert done.exit_code == 2 and "record.jsonl:2: 'tag' is missing" in done.output
    record.write_text(sent + answer + '{"at":3,"ki')  # its writer was killed
    assert CliRunner().invoke(main, ["audit", str(record)]).exit_code == 0


def test_the_table_by_class_tells_where_reads_went_and_which_were_held():
    facts = [
        {"kind": "sent", "tag": "a", "at": 0.0, "need": {"read": "session", "request_class": "status"}},
        {"kind": "received", "tag": "a", "at": 0.05, "server": "r1"},
        {"kind": "answered", "tag": "a", "at": 0.06, "server": "r1", "role": "primary", "code": 0},
        {"kind": "answer", "tag": "a", "at": 0.07, "code": 0},
        {"kind": "sent", "tag": "b", "at": 1.0, "need": {"read": "session", "request_class": "status"}},
        {"kind": "received", "tag": "b", "at": 1.001, "server": "r2"},
        {"kind": "answered", "tag": "b", "at": 1.002, "server": "r2", "role": "copy", "code": 0},
        {"kind": "answer", "tag": "b", "at": 1.003, "code": 0},
        {"kind": "sent", "tag": "c", "at": 2.0, "need": {"read": "write"}},
        {"kind": "answer", "tag": "c", "at": 2.5, "code": 51},
    ]
    status, write = by_class(facts)
    assert (status.name, status.asked, status.served, status.by_copy, status.by_primary, status.waited) == (
        "status",
        2,
        2,
        1,
        1,
        1,
    )
    assert status.quantile(0.99) == pytest.approx(0.07) and (write.asked, write.served, write.quantile(0.5)) == (
        1,
        0,
        0.0,
    )
