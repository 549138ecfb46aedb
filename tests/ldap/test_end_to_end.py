"""The whole LDAP path from client to stand-in server and back; each test runs with the library and the daemon."""

import subprocess
import sys

import ldap3
import pytest
from twisted.internet.defer import gatherResults

from tests.support.reactor_thread import Desk, run, shown, until, world
from yardbank.directory.codes import Code
from yardbank.ldap import filter_codec
from yardbank.ldap import messages as m
from yardbank.ldap.ber import integer, tlv
from yardbank.testing.audit import judge
from yardbank.testing.demo.world import CLASSES, DESK_DN, DESK_PASSWORD, NUMBERS, REQUESTS

pytestmark = pytest.mark.parametrize("daemon", [False, True], ids=["library", "daemon"])


def facts(place, kind, **more):
    return [f for f in place.record.facts if f["kind"] == kind and more.items() <= f.items()]


def assert_audit_holds(place):
    verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
    assert verdict.held, [rule.found for rule in verdict.rules.values()]


def ldap3_connection(place, **more):
    server = ldap3.Server(f"ldap://127.0.0.1:{place.port}", get_info=ldap3.NONE)
    more = {"user": DESK_DN, "password": DESK_PASSWORD, "receive_timeout": 10} | more
    return ldap3.Connection(server, **more)


def test_third_party_client_performs_every_operation(daemon):
    with world(daemon, entries=20) as place:
        desk = ldap3_connection(place)
        assert desk.bind()
        assert desk.search(REQUESTS, "(cn=3)", ldap3.LEVEL, attributes=["cn", "description"])
        assert desk.entries[0].description.value == "new"
        assert desk.search(f"cn=4,{REQUESTS}", "(objectClass=*)", ldap3.BASE)
        assert desk.search(REQUESTS, "(|(cn=1)(&(cn=1*)(!(cn=15))))", ldap3.SUBTREE)
        assert len(desk.entries) == 10
        assert not desk.search(f"cn=none,{REQUESTS}", "(objectClass=*)", ldap3.BASE)
        assert desk.result["result"] == Code.NO_SUCH_OBJECT
        entry = f"cn=new,{REQUESTS}"
        assert desk.add(entry, "device", {"description": "made", "serialNumber": "7"})
        assert not desk.add(entry, "device") and desk.result["result"] == Code.ENTRY_EXISTS
        assert desk.compare(entry, "description", "made") and not desk.compare(entry, "description", "other")
        changes = {"description": [(ldap3.MODIFY_REPLACE, ["a"])], "serialNumber": [(ldap3.MODIFY_DELETE, ["7"])]}
        assert desk.modify(entry, changes)
        # the gateway added the post-read control itself, so the client must not see it
        assert "controls" not in desk.result or not desk.result["controls"]
        assert desk.modify_dn(entry, "cn=moved")
        assert desk.search(f"cn=moved,{REQUESTS}", "(objectClass=*)", ldap3.BASE, attributes=["*"])
        assert desk.entries[0].description.value == "a"
        assert desk.delete(f"cn=moved,{REQUESTS}")
        assert not desk.search(f"cn=moved,{REQUESTS}", "(objectClass=*)", ldap3.BASE)
        pages = desk.extend.standard.paged_search(REQUESTS, "(objectClass=device)", ldap3.LEVEL, paged_size=7)
        assert len({page["dn"] for page in pages}) == 20
        assert desk.extend.standard.who_am_i() == f"dn:{DESK_DN}"
        desk.unbind()


def test_bind_credentials_are_checked(daemon):
    with world(daemon) as place:
        assert not ldap3_connection(place, password="wrong").bind()
        assert not ldap3_connection(place, user="cn=nobody,dc=porting").bind()
        assert not ldap3_connection(place, user=None, password=None, authentication=ldap3.ANONYMOUS).bind()
        desk = Desk(place, bind=False)
        assert desk.read().code == Code.INSUFFICIENT_ACCESS
        assert run(desk.client.bind, DESK_DN, "").code == Code.UNWILLING
        assert run(desk.client.request, m.BindRequest("", None, "EXTERNAL")).code == Code.AUTH_METHOD_NOT_SUPPORTED
        assert run(desk.client.request, m.BindRequest(DESK_DN, b"x", version=2)).code == Code.PROTOCOL_ERROR


ASYNC_CLIENT = """
import sys, ldap3
port, user, password, base = sys.argv[1:]
server = ldap3.Server(f"ldap://127.0.0.1:{port}", get_info=ldap3.NONE)
desk = ldap3.Connection(server, user, password, client_strategy=ldap3.ASYNC, auto_bind=True)
numbers = {}
for number in range(100):
    entry = f"cn={number},{base}"
    if number % 3 == 0:
        numbers[number] = desk.modify(entry, {"description": [(ldap3.MODIFY_REPLACE, [f"v{number}"])]})
    else:
        numbers[number] = desk.search(entry, "(objectClass=*)", ldap3.BASE, attributes=["cn"])
for number, message in numbers.items():
    response, result = desk.get_response(message, timeout=20)
    assert result["result"] == 0, (number, result)
    if number % 3:
        assert [found["dn"] for found in response] == [f"cn={number},{base}"], response
desk.unbind()
"""


def test_100_operations_interleaved_on_one_connection(daemon):
    with world(daemon, entries=100) as place:  # in its own process: this client's thread keeps a core busy
        command = [sys.executable, "-c", ASYNC_CLIENT, str(place.port), DESK_DN, DESK_PASSWORD, NUMBERS]
        subprocess.run(command, check=True, timeout=60)
        assert len(facts(place, "applied")) == 200 + 34


def test_session_never_reads_from_a_replica_that_lacks_its_write(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        for name in ("r2", "r3"):
            place.servers[name].member.lag = 1e6  # these replicas apply nothing more
        for number in range(20):
            assert desk.modify(b"v%d" % number, "requests").code == 0
            assert shown(desk.read()) == (b"v%d" % number,)
        for name in ("r2", "r3"):
            assert place.clusters["requests"].behind(name) == 20
        assert_audit_holds(place)


def test_session_reads_from_replicas_once_they_have_its_write(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        desk.modify(b"v", "requests")
        until(lambda: not any(place.clusters["requests"].behind(name) for name in ("r2", "r3")))
        for _ in range(20):
            assert shown(desk.read()) == (b"v",)
        copies = [f for f in facts(place, "answered", op="search") if f["server"] in ("r2", "r3")]
        assert len(copies) >= 15
        assert_audit_holds(place)


def test_modify_with_a_lost_response_is_not_applied_twice(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        assert desk.modify(b"before").code == 0
        place.servers["n1"].faults.lose_next = 1
        answer = desk.modify(b"once")
        assert answer.code == Code.OTHER and "may have run" in answer.diagnostic
        assert len(facts(place, "applied", tag="desk/2")) == 1
        assert len(facts(place, "received", tag="desk/2")) == 1
        assert_audit_holds(place)


def test_read_is_retried_elsewhere_after_a_connection_reset(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        desk.read("numbers", "bounded", staleness=0.8)
        place.servers["n2"].faults.reset_next = place.servers["n3"].faults.reset_next = 1
        for _ in range(6):
            assert desk.read("numbers", "bounded", staleness=0.8).code == 0
        assert facts(place, "reset_mid_answer")
        assert_audit_holds(place)


def test_malformed_server_response_affects_only_one_connection(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        place.servers["n2"].faults.garbage_next = place.servers["n3"].faults.garbage_next = 1
        for _ in range(10):
            assert desk.read("numbers", "bounded", staleness=0.8).code == 0
        assert facts(place, "garbage")
        assert_audit_holds(place)


def test_writes_to_a_hung_primary_fail_and_later_ones_use_the_new_primary(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        assert desk.modify().code == 0
        run(place.servers["n1"].hang)
        answers = run(
            lambda: gatherResults(
                [desk.ask(m.ModifyRequest(f"cn=1,{NUMBERS}", ((2, "description", (b"x",)),))) for _ in range(3)]
            )
        )
        assert {answer.code for answer in answers} <= {Code.OTHER, Code.BUSY}
        until(lambda: place.clusters["numbers"].primary not in (None, "n1"))
        run(place.tell_primaries)
        codes = [desk.modify().code for _ in range(3)]
        assert codes[-1] == 0
        run(place.servers["n1"].unhang)
        assert desk.modify().code == 0
        assert_audit_holds(place)


def test_draining_replica_gets_no_new_requests(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        for _ in range(10):
            desk.read("numbers", "bounded", staleness=0.8)
        run(place.tell, n2="draining", n3="draining")
        desk.world.record({"kind": "mark"})
        answers = [desk.read("numbers", "bounded", staleness=0.8).code for _ in range(30)]
        assert answers == [0] * 30
        last = [f["server"] for f in facts(place, "answered", op="search")][-20:]
        assert set(last) == {"n1"}
        assert_audit_holds(place)


def test_client_gets_busy_when_all_servers_are_full(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        assert desk.modify().code == 0
        for name in ("n1", "n2", "n3"):
            place.servers[name].faults.full = True
        assert desk.modify().code == Code.BUSY
        assert "try again" in desk.read("numbers", "bounded", staleness=0.8).diagnostic
        assert_audit_holds(place)


def test_abandon_and_cancel_end_a_request(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        desk.modify()
        for server in place.servers.values():
            server.faults.hang = True

        def cancel():
            first = desk.client.request(m.SearchRequest(f"cn=0,{REQUESTS}", 0, m.Present("cn")))
            target = desk.client._end._last_id
            value = tlv(0x30, integer(target))
            return gatherResults([first, desk.client.request(m.ExtendedRequest(m.Oid.CANCEL, value))])

        canceled, done = run(cancel)
        assert (canceled.code, done.code) == (Code.CANCELED, 0)
        again = run(lambda: desk.client.request(m.ExtendedRequest(m.Oid.CANCEL, tlv(0x30, integer(9999)))))
        assert again.code == Code.NO_SUCH_OPERATION

        def abandon():
            desk.client.request(m.SearchRequest(f"cn=0,{REQUESTS}", 0, m.Present("cn")))
            desk.client.transport.write(desk.client._end.abandon(desk.client._end._last_id))
            return desk.client.request(m.ExtendedRequest(m.Oid.WHO_AM_I))

        assert run(abandon).result.value == f"dn:{DESK_DN}".encode()
        for server in place.servers.values():
            server.faults.hang = False


def test_extended_operations_controls_and_root_dse(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        tls = run(desk.client.request, m.ExtendedRequest(m.Oid.START_TLS))
        assert tls.code == Code.PROTOCOL_ERROR and tls.result.oid == m.Oid.START_TLS
        assert run(desk.client.request, m.ExtendedRequest("1.2.3")).code == Code.PROTOCOL_ERROR
        search = m.SearchRequest(f"cn=0,{NUMBERS}", 0, m.Present("cn"))
        critical = run(desk.client.request, search, (m.Control("1.2.3", True),))
        assert critical.code == Code.UNAVAILABLE_CRITICAL_EXTENSION
        assert run(desk.client.request, search, (m.Control("1.2.3", False),)).code == 0
        proxied = m.Control(m.Oid.PROXIED_AUTHORIZATION, False, b"dn:cn=admin")
        assert run(desk.client.request, search, (proxied,)).code == Code.INSUFFICIENT_ACCESS
        root = run(desk.client.request, m.SearchRequest("", 0, m.Present("objectClass")))
        assert shown(root, "namingContexts") == (NUMBERS.encode(), REQUESTS.encode())
        outside = run(desk.client.request, m.SearchRequest("dc=elsewhere", 0, m.Present("cn")))
        assert outside.code == Code.NO_SUCH_OBJECT


def test_clients_own_post_read_control_returns_only_its_attributes(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        value = tlv(0x30, tlv(4, b"description"))
        answer = desk.get(
            m.ModifyRequest(f"cn=0,{NUMBERS}", ((2, "description", (b"seen",)),)),
            controls=(m.Control(m.Oid.POST_READ, True, value),),
        )
        (control,) = answer.controls
        assert b"seen" in control.value and b"entryCSN" not in control.value


def test_message_id_in_use_ends_the_connection_with_a_notice(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        desk.modify()
        for server in place.servers.values():
            server.faults.hang = True

        def twice():
            desk.client.request(m.SearchRequest(f"cn=0,{REQUESTS}", 0, m.Present("cn")))
            desk.client._end._last_id -= 1
            desk.client._end._outstanding_tags.clear()
            desk.client.request(m.SearchRequest(f"cn=0,{REQUESTS}", 0, m.Present("cn")))

        run(twice)
        until(lambda: desk.client.gone)
        assert "in use" in desk.client.reason
        for server in place.servers.values():
            server.faults.hang = False


def test_disconnecting_client_does_not_affect_others(daemon):
    with world(daemon) as place:
        leaving, staying = Desk(place, "leaving"), Desk(place, "staying")

        def leave():
            leaving.ask(m.ModifyRequest(f"cn=1,{NUMBERS}", ((2, "description", (b"x",)),)))
            leaving.client.leave()

        run(leave)
        assert staying.modify().code == 0
        assert_audit_holds(place)


def test_stop_answers_all_accepted_requests(daemon):
    with world(daemon, extra='limits {\n  stop_grace = "300ms"\n}') as place:
        desk = Desk(place)
        assert desk.modify().code == 0
        for server in place.servers.values():
            server.faults.hang = True
        waiting = run(
            lambda: [
                [
                    desk.ask(m.ModifyRequest(f"cn=1,{NUMBERS}", ((2, "description", (b"x",)),))),
                    desk.ask(m.SearchRequest(f"cn=1,{NUMBERS}", 0, m.Present("cn")), "bounded", staleness=0.8),
                ]
            ]
        )[0]
        until(lambda: facts(place, "received", tag="desk/2"))
        run(place.stop_gateway)
        codes = [run(lambda one=one: one).code for one in waiting]
        assert codes == [Code.OTHER, Code.BUSY]  # the write may have run; the read can be retried
        until(lambda: desk.client.gone)
        assert_audit_holds(place)


def test_assertion_false_on_a_lagging_replica_is_retried_on_a_newer_server(daemon):
    with world(daemon, classes=CLASSES.replace('"800ms"', '"60s"')) as place:
        for name in ("n2", "n3"):
            place.servers[name].member.lag = 1e6
        desk = Desk(place)
        for _ in range(200):  # until both replicas are known to be recent enough
            desk.read("numbers", "bounded", staleness=60.0)
            if {f["server"] for f in facts(place, "answered", op="search", role="copy")} >= {"n2", "n3"}:
                break
        assert desk.modify(b"mine").code == 0
        for value, code in ((b"mine", Code.SUCCESS), (b"never", Code.ASSERTION_FAILED)):
            wanted = filter_codec.encode_filter(m.Match("=", "description", value))
            control = m.Control(m.Oid.ASSERTION, True, wanted)
            for _ in range(5):  # bounded reads are sent to replicas first
                assert desk.read("numbers", "bounded", controls=(control,), staleness=60.0).code == code
            false_at = {f["server"] for f in facts(place, "answered", code=122)}
            assert false_at & {"n2", "n3"} and ("n1" in false_at) == (value == b"never")
        assert_audit_holds(place)


def test_assertion_is_answered_by_replicas_while_the_primary_hangs(daemon):
    with world(daemon, classes=CLASSES.replace('"800ms"', '"60s"')) as place:
        desk = Desk(place)
        for _ in range(200):
            desk.read("numbers", "bounded", staleness=60.0)
            if facts(place, "answered", op="search", role="copy"):
                break
        run(place.servers["n1"].hang)
        control = m.Control(m.Oid.ASSERTION, True, filter_codec.encode_filter(m.Match("=", "description", b"never")))
        answer = desk.read("numbers", "bounded", controls=(control,), staleness=60.0)
        assert answer.code == Code.ASSERTION_FAILED


def test_search_time_limit_returns_time_limit_exceeded_and_abandons_the_attempt(daemon):
    with world(daemon) as place:
        desk = Desk(place)
        assert desk.read().code == 0
        for name in ("r1", "r2", "r3"):
            run(place.servers[name].hang)
        request = m.SearchRequest(f"cn=0,{REQUESTS}", 0, m.Present("objectClass"), time_limit=1)
        answer = desk.get(request, "session", "requests")
        assert answer.code == Code.TIME_LIMIT and answer.entries == []
        until(lambda: facts(place, "abandoned"))
        assert_audit_holds(place)
