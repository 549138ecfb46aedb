"""The audit finds violations: for each rule a gateway that breaks it on purpose, and the facts that prove it."""

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


def only_violation(place, name, **bounds):
    verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]), Bounds(**bounds))
    assert not verdict.rules[name].held
    assert [rule for rule in verdict.rules if not verdict.rules[rule].held] == [name]
    return verdict.rules[name].found[0]


class NeverAnswers(Router):
    """Accepts reads and never answers them."""

    def handle(self, now, event):
        if isinstance(event, api.Request) and event.class_name == "number-lookup":
            return []
        return super().handle(now, event)


def test_an_unanswered_request_is_found():
    with world(router=NeverAnswers, extra='limits {\n  stop_grace = "50ms"\n}') as place:
        desk = Desk(place)
        request = m.SearchRequest(f"cn=1,{NUMBERS}", 0, m.Present("cn"))
        run(lambda: [[desk.ask(request, "bounded", staleness=0.8)]])
        assert desk.modify().code == 0
        place.record({"kind": "end", "at": place.record.facts[-1]["at"] + 2.0})
        found = only_violation(place, "one_answer")
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
        assert "nothing it was owed" in only_violation(place, "one_answer")


class Resends(Router):
    """Resends a write even if it may have run."""

    def may_resend(self, pending):
        return pending.attempts < 3


def test_a_write_sent_twice_is_found(monkeypatch):
    monkeypatch.setattr(send_check, "check_repeat", lambda request, now: None)  # disables the gateway's own check
    with world(router=Resends) as place:
        place.servers["n1"].faults.lose_next = 1
        desk = Desk(place)
        desk.modify()
        until(lambda: len([f for f in place.record.facts if f["kind"] == "applied" and f["tag"] == "desk/1"]) == 2)
        until(lambda: any(f["kind"] == "answer" for f in place.record.facts))
        assert "sent again after it may have run" in only_violation(place, "no_effect_twice")


def test_the_gateway_refuses_to_resend_a_write_that_may_have_run():
    with world(router=Resends) as place:
        place.servers["n1"].faults.lose_next = 1
        desk = Desk(place)
        assert desk.modify().code not in (Code.SUCCESS, Code.BUSY)
        facts = place.record.facts
        assert len([f for f in facts if f["kind"] == "applied" and f["tag"] == "desk/1"]) == 1
        assert all(rule.held for rule in judge(facts, Bounds()).rules.values())


class Refuses(Router):
    """Refuses requests as not run even if they may have run."""

    def _give_up(self, pending, reason):
        pending.ran_at = None
        super()._give_up(pending, reason)


def test_refusing_a_write_that_ran_is_found():
    with world(router=Refuses) as place:
        place.servers["n1"].faults.lose_next = 1
        desk = Desk(place)
        assert desk.modify().code == Code.BUSY
        assert "refused though" in only_violation(place, "no_effect_twice")


class IgnoresDrains(Router):
    """Ignores notifications that a server drains."""

    def on_server_list(self, event):
        if not self.servers:
            super().on_server_list(event)


def test_a_request_sent_after_the_drain_grace_is_found():
    with world(router=IgnoresDrains) as place:
        desk = Desk(place)
        desk.read("numbers", "bounded", staleness=0.8)
        run(place.tell, n2="draining", n3="draining")
        for _ in range(20):
            desk.read("numbers", "bounded", staleness=0.8)
        assert "sent after the grace" in only_violation(place, "drains_kept", drain_grace=0.0)


class IgnoresWarmup(Router):
    """Treats a cold server as warm and applies no capacity limit."""

    def __init__(self, settings):
        super().__init__(settings)
        self.table.warmup_fraction = lambda now, server: 1.0
        self.selection.has_capacity = lambda now, server, pending: True
        self.selection.cost = lambda now, server, primary: 0.0 if server.started else 1.0


def test_overloading_a_cold_server_is_found():
    capacity = Capacity(slots=1, queue=10_000, read_s=0.02, cold_s=10.0)
    with world(router=IgnoresWarmup, capacity=capacity, entries=2) as place:
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
    """Prefers replicas for reads; the test removes the position that they must have reached."""

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
        assert "lacks" in only_violation(place, "no_stale_read")


def test_the_audit_command_reports_violations_and_faulty_records(tmp_path):
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
    record.write_text(sent + answer + '{"at":3,"ki')  # truncated because its writer was killed
    assert CliRunner().invoke(main, ["audit", str(record)]).exit_code == 0


def test_the_summary_by_class_counts_reads_by_role_and_requests_that_were_held():
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
    assert (status.name, status.requests, status.served, status.by_copy, status.by_primary, status.waited) == (
        "status",
        2,
        2,
        1,
        1,
        1,
    )
    assert status.quantile(0.99) == pytest.approx(0.07) and (write.requests, write.served, write.quantile(0.5)) == (
        1,
        0,
        0.0,
    )
