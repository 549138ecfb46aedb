"""The start: clients are served once discovery's first list is in force, or after a limited wait for it."""

import errno
import signal

import orjson
import pytest
from twisted.internet.error import CannotListenError
from twisted.internet.testing import StringTransport

from tests.support.platform import (
    ENTRY,
    ENV,
    HEAD,
    LINE,
    READ,
    READY,
    START,
    WRITE,
    Log,
    Reactor,
    chunk,
    connected,
    listening,
    query,
    service,
)
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.client import EMPTY_QUERY_ANSWER
from yardbank.platform.readiness import MAX_WAIT_S
from yardbank.platform.service import Service
from yardbank.platform.stop_schedule import KILL_AFTER

SERVICES = [
    {"name": "lookup", "aim": 500 * MS, "hard_limit": 1500 * MS, "effect": "pure"},
    {"name": "commit", "aim": 500 * MS, "hard_limit": 3000 * MS, "effect": "side_effect"},
]
READY_WITHIN_S = 6.0  # of a restarted gateway, by the platform's documentation


def events(log):
    return [event for event, _ in log.lines]


def test_no_client_is_accepted_before_the_first_list_of_discovery(tmp_path):
    made, reactor, log, _ = service(tmp_path, hears_list=False)
    watch, _, _ = connected(reactor)
    watch.dataReceived(HEAD + chunk(b"\n"))
    reactor.advance(1)
    watch.dataReceived(chunk(LINE[:40]))
    assert not reactor.tcpServers and "listening" not in events(log)
    watch.dataReceived(chunk(LINE[40:]))
    assert len(reactor.tcpServers) == 1 and made.gateway.list_version == 43
    assert events(log).index("list_entries") < events(log).index("listening") and "discovery_unheard" not in events(log)
    reactor.advance(10)
    assert len(reactor.tcpServers) == 1


def test_a_list_that_is_rejected_is_no_first_list(tmp_path):
    _, reactor, _, _ = service(tmp_path, hears_list=False)
    watch, _, _ = connected(reactor)
    watch.dataReceived(HEAD + chunk(LINE.replace(b"127.0.0.1:6432", b"nowhere")))
    assert not reactor.tcpServers
    reactor.advance(0.1)
    watch, _, _ = connected(reactor)
    watch.dataReceived(HEAD + chunk(LINE))
    assert len(reactor.tcpServers) == 1


def unheard(tmp_path):
    """A service that listens without a list of discovery, its reactor and its log."""
    made, reactor, log, _ = service(tmp_path, hears_list=False, settings={**ENV, "services": SERVICES})
    reactor.pump([0.1] * (int(MAX_WAIT_S * 10) + 2))
    return made, reactor, log


def connect_client(reactor):
    """A client's connection to a service that listens, and its transport."""
    client, transport = reactor.tcpServers[0][1].buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    client.makeConnection(transport)
    client.dataReceived(START)
    transport.clear()
    return client, transport


def server_connects(reactor):
    """How many connections to the listed server were begun."""
    return sum(f"{host}:{port}" == ENTRY["hostPort"] for host, port, *_ in reactor.tcpClients)


def test_without_discovery_the_program_listens_after_a_limited_wait_and_answers_the_readiness_check(tmp_path):
    _, reactor, log, _ = service(tmp_path, hears_list=False)
    reactor.pump([0.1] * (int(MAX_WAIT_S * 10) - 1))
    assert not reactor.tcpServers
    reactor.pump([0.1] * 3)
    assert len(reactor.tcpServers) == 1 and MAX_WAIT_S + 1 < READY_WITHIN_S
    assert ("discovery_unheard", {"version": 41, "note": "refusing requests until a list comes"}) in log.lines
    client, transport = connect_client(reactor)
    client.dataReceived(query(""))
    assert transport.value() == EMPTY_QUERY_ANSWER


# Guards against requests at servers that drained before the start, while discovery is down for however long.
@pytest.mark.parametrize("outage_s", [0.0, 1.0, 60.0])
def test_without_a_list_of_discovery_requests_are_refused_and_no_server_is_used(tmp_path, outage_s):
    made, reactor, _ = unheard(tmp_path)
    reactor.pump([0.1] * int(outage_s * 10))
    client, transport = connect_client(reactor)
    for number, text in enumerate((READ, WRITE)):
        client.dataReceived(query(text.replace("cluster=2", "cluster=3").replace("id=a", f"id={number}")))
        assert b"C53300\0" in transport.value() and transport.value().endswith(READY)
        transport.clear()
    assert server_connects(reactor) == 0 and made.gateway.unanswered == 0
    watch, wire, _ = connected(reactor)
    assert b"index=0" in wire.value()  # whatever the list in the configuration: discovery sends the complete one
    watch.dataReceived(HEAD + chunk(LINE.replace(b'"reset":false', b'"reset":true')))
    assert made.gateway.groups == {str(ENTRY["cell"])} and len(reactor.tcpServers) == 1
    client.dataReceived(query(READ.replace("cluster=2", "cluster=3")))
    assert server_connects(reactor) == 1


def test_a_first_list_of_changes_is_applied_to_the_known_list(tmp_path):
    made, reactor, _, _ = service(tmp_path, hears_list=False)
    assert made.gateway.groups == set()
    change = {"generation": 43, "reset": False, "instances": [{**ENTRY, "instanceId": "s-2", "cell": 4}]}
    connected(reactor)[0].dataReceived(HEAD + chunk(orjson.dumps(change) + b"\n"))
    assert made.gateway.groups == {"3", "4"} and made.gateway.list_version == 43


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_before_the_first_list_ends_the_process_before_the_earliest_kill(tmp_path, number):
    made, reactor, log, _ = service(tmp_path, hears_list=False)
    reactor.advance(0.5)
    made.handle_signal(number, {})
    made.handle_signal(number, {})
    reactor.pump([0.01] * (KILL_AFTER // (SECOND // 100)))
    assert reactor.stops == 1 and not reactor.tcpServers and events(log).count("stop_asked") == 1
    reactor.advance(10)
    assert reactor.stops == 1 and not reactor.tcpServers


# Guards against a start that fails because the system had no socket left for a moment.
@pytest.mark.parametrize("problem", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_a_socket_that_cannot_be_had_for_a_moment_delays_listening(tmp_path, problem):
    failures = [problem] * 5

    def listen(reactor, host, port, factory):
        if failures:
            raise CannotListenError(host, port, OSError(failures.pop(), "for a moment"))
        return listening(reactor, host, port, factory)

    made, _, _, _ = service(tmp_path, hears_list=False)
    reactor, log = Reactor(), Log()
    short_of_sockets = Service(made.config, reactor, log, listen)
    short_of_sockets.start()
    connected(reactor)[0].dataReceived(HEAD + chunk(LINE))
    reactor.pump([0.05] * 20)
    assert len(reactor.tcpServers) == 1 and not reactor.stops and not short_of_sockets.failure
    assert [event for event in events(log) if "listen" in str(event)] == ["listen_failed"] * 5 + ["listening"]


def test_a_socket_that_cannot_be_had_for_long_ends_the_program(tmp_path):
    def listen(reactor, host, port, factory):
        raise CannotListenError(host, port, OSError(errno.ENFILE, "for long"))

    made, _, _, _ = service(tmp_path, hears_list=False)
    reactor = Reactor()
    short_of_sockets = Service(made.config, reactor, Log(), listen)
    short_of_sockets.start()
    connected(reactor)[0].dataReceived(HEAD + chunk(LINE))
    reactor.pump([0.05] * 100)
    assert reactor.stops == 1 and "for long" in short_of_sockets.failure


def test_an_address_that_is_taken_when_the_first_list_arrives_ends_the_program(tmp_path):
    def listen(reactor, host, port, factory):
        raise CannotListenError(host, port, OSError(98, "Address already in use"))

    made, _, _, _ = service(tmp_path, hears_list=False)
    reactor = Reactor()
    taken = Service(made.config, reactor, Log(), listen)
    taken.start()
    watch, _, _ = connected(reactor)
    watch.dataReceived(HEAD + chunk(LINE))
    reactor.pump([0.01] * 10)
    assert reactor.stops == 1 and taken.failure.startswith("NODE_LISTEN: ")
