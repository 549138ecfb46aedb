"""Searches that span groups, over real sockets: clients, the gateway and stand-in servers, checked by the audit."""

import ldap3
import pytest
from twisted.internet.defer import gatherResults

from tests.support.reactor_thread import Desk, run, until, world
from yardbank.directory.codes import Code, Scope
from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.testing.audit import judge
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD, NUMBERS, REQUESTS

BASE = "dc=porting"
PARTS = ({"suffix": NUMBERS, "read": "bounded", "staleness": 0.8}, {"suffix": REQUESTS, "read": "session"})
both = pytest.mark.parametrize("daemon", [False, True], ids=["library", "daemon"])


def world_of_groups(count, members=1, **more):
    """A test setup with several groups, whose reads may be at most 800 ms stale."""
    groups = {f"g{i}": f"ou=g{i},{BASE}" for i in range(count)}
    servers = {name: [(f"{name}-{i}", "norte") for i in range(members)] for name in groups}
    classes = (
        'class "lookup" {\n effect = "safe"\n read = "bounded"\n staleness = "800ms"\n aim = "500ms"\n'
        ' deadline = "1500ms"\n match {\n operation = ["search", "compare"]\n }\n}\n'
    )
    return world(groups=groups, members=servers, classes=classes, **more)


def read_requirements(place):
    return [{"suffix": suffix, "read": "bounded", "staleness": 0.8} for suffix in place.groups.values()]


def facts(place, kind, **more):
    return [f for f in place.record.facts if f["kind"] == kind and more.items() <= f.items()]


def assert_audit_holds(place):
    verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
    assert verdict.held, [rule.found for rule in verdict.rules.values()]
    return verdict


def entry_names(answer):
    return sorted(entry.name for entry in answer.entries)


@both
def test_every_scope_is_answered_as_by_a_single_server(daemon):
    with world(daemon, entries=3) as place:
        server = ldap3.Server(f"ldap://127.0.0.1:{place.port}", get_info=ldap3.NONE)
        desk = ldap3.Connection(server, DESK_DN, DESK_PASSWORD, receive_timeout=10, auto_bind=True)

        def found(base, scope, what="(objectClass=*)"):
            desk.search(base, what, scope, attributes=["*"])
            return sorted(entry.entry_dn for entry in desk.entries), desk.result["result"]

        leaves = sorted(f"cn={i},{suffix}" for i in range(3) for suffix in (NUMBERS, REQUESTS))
        everything = sorted([BASE, NUMBERS, REQUESTS, *leaves])
        assert found(BASE, "SUBTREE") == (everything, 0)
        assert found("DC=Porting", "SUBTREE") == (everything, 0)
        assert found("", "SUBTREE") == (everything, 0)
        assert found(BASE, "LEVEL") == ([NUMBERS, REQUESTS], 0) and found("", "LEVEL") == ([BASE], 0)
        assert found(BASE, "BASE") == ([BASE], 0)
        assert desk.entries[0].dc.value == "porting" and "domain" in desk.entries[0].objectClass.values
        assert found(BASE, "BASE", "(dc=other)") == ([], 0)
        assert found(BASE, "SUBTREE", "(cn=1)") == ([f"cn=1,{NUMBERS}", f"cn=1,{REQUESTS}"], 0)
        assert found("dc=none", "SUBTREE") == ([], Code.NO_SUCH_OBJECT)
        assert found(f"ou=none,{BASE}", "BASE") == ([], Code.NO_SUCH_OBJECT) and desk.result["dn"] == BASE
        assert desk.compare(BASE, "dc", "porting") and not desk.compare(BASE, "dc", "x")
        assert not desk.delete(BASE) and desk.result["result"] == Code.NOT_ALLOWED_ON_NON_LEAF
        assert not desk.add(BASE, "domain") and desk.result["result"] == Code.ENTRY_EXISTS
        assert not desk.modify_dn(f"cn=1,{NUMBERS}", "cn=1", new_superior=REQUESTS)
        assert desk.result["result"] == Code.AFFECTS_MULTIPLE_DSAS
        assert not desk.modify(BASE, {"description": [(ldap3.MODIFY_REPLACE, ["x"])]})
        assert desk.result["result"] == Code.UNWILLING
        assert not desk.search(BASE, "(cn=1)", controls=[(m.Oid.SORT, True, b"")])
        assert desk.result["result"] == Code.UNWILLING
        desk.search("", "(objectClass=*)", "BASE", attributes=["namingContexts"])
        assert sorted(desk.entries[0].namingContexts.values) == [NUMBERS, REQUESTS]
        pages = desk.extend.standard.paged_search(BASE, "(objectClass=*)", "SUBTREE", paged_size=2)
        assert sorted(page["dn"] for page in pages) == everything


def test_subordinate_scope_excludes_the_base():
    with world(entries=1) as place:
        answer = run(Desk(place).spread, scope=Scope.SUBORDINATE, parts=PARTS)
        assert entry_names(answer) == sorted([NUMBERS, REQUESTS, f"cn=0,{NUMBERS}", f"cn=0,{REQUESTS}"])
        assert_audit_holds(place)


@both
def test_cross_group_search_sees_the_writes_of_its_session(daemon):
    with world(daemon, entries=2) as place:
        for name in ("r2", "r3"):
            place.servers[name].member.lag = 1e6  # the replicas receive the log but never apply it
        desk = Desk(place)
        for value in (b"a", b"b", b"c"):
            assert desk.modify(value, "requests").code == 0
            answer = run(desk.spread, filter=m.Match("=", "cn", b"0"), parts=PARTS)
            mine = next(e for e in answer.entries if e.name == f"cn=0,{REQUESTS}")
            assert answer.code == 0 and dict(mine.attributes)["description"] == (value,)
        assert assert_audit_holds(place).rules["no_stale_read"].judged >= 6


def test_crashed_group_fails_the_search_and_is_named_in_the_diagnostic():
    with world_of_groups(4) as place:
        desk = Desk(place)
        assert run(desk.spread, parts=read_requirements(place)).code == 0
        run(place.servers["g2-0"].crash)
        answer = run(desk.spread, parts=read_requirements(place))
        assert answer.code in (Code.UNAVAILABLE, Code.BUSY) and f"ou=g2,{BASE}" in answer.diagnostic
        # the entries of the other groups arrived
        assert "ou=g1," not in answer.diagnostic and len(answer.entries) == 1 + 3 * 6
        assert_audit_holds(place)


def test_slow_group_does_not_delay_entries_of_other_groups():
    with world_of_groups(3) as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        run(place.servers["g0-0"].hang)
        asked = desk.spread
        waiting = []
        run(lambda: waiting.append(asked(parts=read_requirements(place))) or None)
        until(lambda: len(next(iter(desk.client._asked.values())).answer.entries) == 1 + 2 * 6)
        assert not waiting[0].called  # entries were passed on while one part is in flight
        answer = run(lambda: waiting[0])
        assert answer.code in (Code.UNAVAILABLE, Code.BUSY) and f"ou=g0,{BASE}" in answer.diagnostic
        assert_audit_holds(place)


def test_different_failures_of_parts_give_one_code_and_name_both_suffixes():
    with world_of_groups(3) as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        run(place.servers["g0-0"].hang)
        place.servers["g1-0"].faults.full = True
        answer = run(desk.spread, parts=read_requirements(place))
        assert answer.code in (Code.UNAVAILABLE, Code.BUSY)
        assert f"ou=g0,{BASE}" in answer.diagnostic and f"ou=g1,{BASE}" in answer.diagnostic
        assert_audit_holds(place)


def test_group_is_drained_and_removed_from_the_list_during_a_search():
    with world_of_groups(3, members=2) as place:
        desk = Desk(place)
        run(place.tell, **{"g1-1": "draining"})
        assert run(desk.spread, parts=read_requirements(place)).code == 0
        place.servers["g1-0"].faults.slow = 50.0
        waiting = []
        run(lambda: waiting.append(desk.spread(parts=read_requirements(place))) or None)
        until(lambda: len(facts(place, "received", server="g1-0", op="search")) > 0)
        run(place.tell, **{"g1-0": "gone", "g1-1": "gone"})
        answer = run(lambda: waiting[0])
        assert answer.code == 0 or f"ou=g1,{BASE}" in answer.diagnostic  # either is correct
        after = run(desk.spread, parts=read_requirements(place))
        assert after.code in (Code.UNAVAILABLE, Code.BUSY) and f"ou=g1,{BASE}" in after.diagnostic
        assert_audit_holds(place)


def test_size_limit_applies_to_all_parts_together():
    with world_of_groups(6) as place:
        desk = Desk(place)
        answer = run(desk.spread, parts=read_requirements(place), size_limit=8)
        assert answer.code == Code.SIZE_LIMIT and len(answer.entries) == 8
        # exactly all entries: one glue entry and 6 per group
        assert run(desk.spread, parts=read_requirements(place), size_limit=37).code == 0
        assert_audit_holds(place)


def test_client_time_limit_applies_to_all_parts_together():
    with world_of_groups(3) as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        run(place.servers["g1-0"].hang)
        answer = run(desk.spread, parts=read_requirements(place), time_limit=1)
        assert answer.code in (Code.TIME_LIMIT, Code.UNAVAILABLE, Code.BUSY)
        assert f"ou=g1,{BASE}" in answer.diagnostic
        assert_audit_holds(place)


@pytest.mark.parametrize("how", ["abandon", "cancel", "leave", "bind"])
def test_abandoning_a_search_abandons_every_part(how):
    with world_of_groups(3) as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        before = len(facts(place, "received", op="search"))
        for server in place.servers.values():
            server.faults.hang = True
        run(lambda: [[desk.spread(parts=read_requirements(place))]])
        until(lambda: len(facts(place, "received", op="search")) == before + 3)
        number = next(iter(desk.client._asked))

        def give_up():
            if how == "abandon":
                desk.client.transport.write(codec.encode(m.Message(99, m.AbandonRequest(number))))
            elif how == "cancel":
                value = codec.tlv(codec.SEQUENCE, codec.integer(number))
                desk.client.request(m.ExtendedRequest(m.Oid.CANCEL, value))
            elif how == "leave":
                desk.client.leave()
            else:
                desk.client.bind(DESK_DN, DESK_PASSWORD)

        run(give_up)
        until(lambda: len(facts(place, "abandoned")) == 3)
        assert run(lambda: place.proxy.gateway.unanswered) == 0


def test_search_over_two_hundred_groups_limits_the_parts_in_flight():
    with world_of_groups(200, entries=1, listener="  parts = 8\n") as place:
        desk = Desk(place)
        answer = run(desk.spread, parts=read_requirements(place))
        assert answer.code == 0 and len(entry_names(answer)) == len(set(entry_names(answer))) == 1 + 200 * 2
        sends = sorted(
            (f for f in place.record.facts if f["kind"] in ("gateway_send", "gateway_attempt_end")),
            key=lambda f: f["at"],
        )
        in_flight = max_in_flight = 0
        for fact in sends:
            in_flight += 1 if fact["kind"] == "gateway_send" else -1
            max_in_flight = max(max_in_flight, in_flight)
        assert max_in_flight <= 8
        assert_audit_holds(place)


def test_concurrent_searches_of_one_client_all_complete():
    with world_of_groups(12, entries=1, listener="  parts = 2\n") as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        answers = run(
            lambda: gatherResults([desk.spread(parts=read_requirements(place), deadline=3.0) for _ in range(4)])
        )
        assert [answer.code for answer in answers] == [0] * 4
        assert all(len(answer.entries) == 1 + 12 * 2 for answer in answers)
        assert_audit_holds(place)


def test_part_retried_after_a_reset_repeats_no_entries():
    with world_of_groups(2, members=2, entries=300, listener="  parts = 16\n  parts_memory = 65536\n") as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        for name in ("g0-0", "g0-1"):
            place.servers[name].faults.reset_next = 1
        answer = run(desk.spread, parts=read_requirements(place))
        assert len(entry_names(answer)) == len(set(entry_names(answer)))
        assert len(facts(place, "reset_mid_answer")) >= 1
        if answer.code == 0:
            assert len(entry_names(answer)) == 1 + 2 * 301
        else:
            assert f"ou=g0,{BASE}" in answer.diagnostic
        assert_audit_holds(place)


def test_continuation_references_are_passed_on_once_and_not_for_covered_bases():
    with world_of_groups(2, entries=1) as place:

        def ref(group, name, uri):
            suffix = f"ou={group},{BASE}"
            attributes = (("objectClass", (b"referral",)), ("ref", (uri,)))
            place.clusters[group].load([m.AddRequest(f"cn={name},{suffix}", attributes)])

        run(ref, "g0", "away", b"ldap://elsewhere/ou=away")
        run(ref, "g1", "away", b"ldap://elsewhere/ou=away")
        run(ref, "g0", "here", f"ldap://other/ou=g1,{BASE}??sub".encode())
        answer = run(Desk(place).spread, parts=read_requirements(place))
        assert answer.code == 0 and answer.references == [("ldap://elsewhere/ou=away",)]


def test_paged_search_returns_each_entry_once_and_rejects_another_searchs_cookie():
    with world_of_groups(5, entries=3) as place:
        desk = Desk(place)
        run(desk.spread, parts=read_requirements(place))
        cookie, seen, pages = b"", [], 0
        while pages == 0 or cookie:
            paged = m.Control(m.Oid.PAGED_RESULTS, True, control_codec.paged_value(4, cookie))
            answer = run(desk.spread, controls=(paged,), attributes=("cn",))
            assert answer.code == 0 and len(answer.entries) <= 4
            paged_control = next(c for c in answer.controls if c.oid == m.Oid.PAGED_RESULTS)
            cookie, pages = control_codec.read_paged_value(paged_control.value)[1], pages + 1
            seen += entry_names(answer)
            if pages == 2:
                saved_cookie = cookie
        assert len(seen) == len(set(seen)) == 1 + 5 * 4 and pages == 6
        paged = m.Control(m.Oid.PAGED_RESULTS, True, control_codec.paged_value(4, saved_cookie))
        assert run(desk.spread, controls=(paged,), attributes=("sn",)).code == Code.UNWILLING
        broken = m.Control(m.Oid.PAGED_RESULTS, True, b"nonsense")
        assert run(desk.spread, controls=(broken,)).code == Code.PROTOCOL_ERROR
        assert run(desk.spread).code == 0 and run(lambda: place.proxy.gateway.unanswered) == 0


def test_audit_detects_a_success_that_omits_a_part():
    with world_of_groups(2) as place:
        desk = Desk(place)
        more = [*read_requirements(place), {"suffix": f"ou=forgotten,{BASE}", "read": "bounded", "staleness": 0.8}]
        assert run(desk.spread, parts=more).code == 0
        verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
        assert "ou=forgotten" in verdict.rules["no_stale_read"].found[0]
