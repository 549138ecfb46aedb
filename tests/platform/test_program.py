"""The program: start, reload, stop, and the modules that it imports."""

import errno
import json
import os
import signal
import socket
import struct
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from twisted.internet.testing import StringTransport

from tests.support.platform import (
    AUTHENTICATED,
    CONFIG,
    ENTRY,
    ENV,
    HEAD,
    READY,
    START,
    WRITE,
    chunk,
    connected,
    parameter,
    query,
    row,
    service,
)
from tests.support.platform_process import discovery_listener, start_program
from yardbank.gateway.api import SECOND
from yardbank.platform.client import EMPTY_QUERY_ANSWER
from yardbank.platform.config import (
    needs_restart,
    read_config,
)


def test_the_service_listens_as_configured_and_a_reload_moves_discovery(tmp_path):
    made, reactor, log, file = service(tmp_path)
    (port, factory, _, address) = reactor.tcpServers[0]
    view = next(facts for event, facts in log.lines if event == "view")
    assert view["failed_unsent"] == view["closed_unanswered"] == 0
    assert (port, address, factory) == (6432, "127.0.0.4", made.factory)
    assert reactor.tcpClients[0][:2] == ("127.0.0.9", 8500) and made.gateway.groups == {"3"}
    file.write_bytes(b"{")
    made.reload({"NODE_CONFIG": str(file)})
    assert log.lines[-1][0] == "reload_rejected" and len(reactor.tcpClients) == 1
    changed = {**CONFIG, "discovery": "127.0.0.9:8501", "seed": "77", "listen": "127.0.0.4:7000"}
    file.write_bytes(orjson.dumps(changed))
    made.reload({"NODE_CONFIG": str(file)})
    assert [facts["field"] for event, facts in log.lines if event == "reload_partial"] == ["listen"]
    assert reactor.tcpClients[1][:2] == ("127.0.0.9", 8501)
    watch, _, _ = connected(reactor)
    watch.dataReceived(HEAD + chunk(orjson.dumps({"generation": 9, "reset": True, "instances": []}) + b"\n"))
    assert ("list_applied", {"servers": 0, "changed": 1, "gone": ["s-1"]}) in log.lines


# Guards against a gateway that keeps a dead address of discovery because one read of its configuration failed.
@pytest.mark.parametrize("problem", [errno.EIO, errno.ENFILE], ids=errno.errorcode.get)
def test_a_reload_whose_file_cannot_be_read_for_a_moment_is_tried_again(tmp_path, monkeypatch, problem):
    made, reactor, log, file = service(tmp_path)
    file.write_bytes(orjson.dumps({**CONFIG, "discovery": "127.0.0.9:8501"}))
    read_bytes, failures = Path.read_bytes, [problem] * 3

    def read(path):
        if failures:
            raise OSError(failures.pop(), "")
        return read_bytes(path)

    monkeypatch.setattr(Path, "read_bytes", read)
    made.handle_signal(signal.SIGHUP, {"NODE_CONFIG": str(file)})
    assert len(reactor.tcpClients) == 1
    reactor.pump([0.05] * 40)
    assert reactor.tcpClients[-1][:2] == ("127.0.0.9", 8501) and not failures
    assert [event for event, _ in log.lines if str(event).startswith("reload")] == ["reload_rejected", "reloaded"]


def test_a_reload_whose_file_stays_unreadable_is_given_up(tmp_path):
    made, reactor, log, file = service(tmp_path)
    file.unlink()
    made.handle_signal(signal.SIGHUP, {"NODE_CONFIG": str(file)})
    reactor.pump([0.05] * 200)
    assert [event for event, _ in log.lines if str(event).startswith("reload")] == [
        "reload_rejected",
        "reload_given_up",
    ]
    file.write_bytes(orjson.dumps({**CONFIG, "discovery": "127.0.0.9:8501"}))
    reactor.pump([0.05] * 200)
    assert len({client[:2] for client in reactor.tcpClients}) == 1
    made.handle_signal(signal.SIGHUP, {"NODE_CONFIG": str(file)})
    assert reactor.tcpClients[-1][:2] == ("127.0.0.9", 8501)


def test_a_new_seed_needs_no_restart_but_other_settings_do():
    held = read_config(orjson.dumps(CONFIG))
    assert needs_restart(held, read_config(orjson.dumps({**CONFIG, "seed": "1"}))) == []
    other = {**CONFIG, "settings": {**ENV, "zone": "b"}, "limits": {"sockets": 512}}
    assert needs_restart(held, read_config(orjson.dumps(other))) == ["limits.sockets", "settings"]


SLOW = [{**kind, "aim": SECOND, "hard_limit": 2 * SECOND} for kind in ENV["services"]]


def test_load_reports_use_the_configured_fields_and_invalid_ones_are_logged_once(tmp_path):
    settings = {**ENV, "services": SLOW, "reporting": {"names": ["util", "x0"], "via": "piggyback"}}
    made, reactor, log, _ = service(tmp_path, settings=settings)
    client, transport = made.factory.buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    client.makeConnection(transport)
    client.dataReceived(START)
    client.dataReceived(query(WRITE.replace("cluster=2", "cluster=3")))
    host, port, factory, _, _ = reactor.tcpClients[-1]
    server, wire = factory.buildProtocol(None), StringTransport()
    wire.setTcpNoDelay = lambda on: None
    wire.socket, far = socket.socketpair()  # a connection is checked before it is used: it must be open and silent
    wire.socket.setblocking(False)
    server.makeConnection(wire)
    assert (host, port) == ("127.0.0.1", 6432)
    server.dataReceived(AUTHENTICATED)
    server.dataReceived(row(tag="INSERT 0 1") + parameter("gauges", "x0=1,util=61") + READY)
    assert transport.value().endswith(row(tag="INSERT 0 1") + READY)  # the answer is passed on
    invalid_reports = [facts for event, facts in log.lines if event == "server_answer_spoilt"]
    assert invalid_reports == [{"server": "s-1", "problem": "load report in gauges: util", "spoilt": 1}]
    far.close()
    wire.socket.close()


def test_a_class_that_no_statement_can_name_is_logged_and_the_others_are_served(tmp_path):
    odd = {**SLOW[0], "name": "look,up"}
    domain = {**ENV["domain"], "class_read": ["lag_bound", "mutate", "eventual"]}
    made, _, log, _ = service(tmp_path, settings={**ENV, "services": [*SLOW, odd], "domain": domain})
    logged = [facts for event, facts in log.lines if event == "class_out_of_reach"]
    assert [facts["request_class"] for facts in logged] == ["look,up"] and set(made.factory.request_classes) > {
        "lookup",
        "commit",
    }


def test_stop_serves_for_a_moment_and_exits_when_the_last_client_is_gone(tmp_path):
    made, reactor, _, _ = service(tmp_path)
    client, transport = made.factory.buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    client.makeConnection(transport)
    client.dataReceived(START)
    made.stop()
    made.stop()  # a second stop has no effect
    client.dataReceived(query(""))
    assert transport.value().endswith(EMPTY_QUERY_ANSWER) and not transport.disconnecting
    reactor.advance(0.7)
    assert transport.disconnecting and not reactor.stops
    client.connectionLost()
    reactor.advance(0)
    reactor.advance(1)
    assert reactor.stops == 1


def test_a_client_that_does_not_close_does_not_keep_the_program_running(tmp_path):
    made, reactor, _, _ = service(tmp_path)
    client, transport = made.factory.buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    client.makeConnection(transport)
    made.stop()
    reactor.advance(0.7)
    assert not reactor.stops and b"C57P03\0" in transport.value()
    reactor.advance(0.5)
    reactor.advance(0)
    assert reactor.stops == 1


@pytest.mark.parametrize("taken", [True, False], ids=["the address is taken", "no configuration"])
def test_a_failed_start_prints_one_plain_error(tmp_path, taken):
    with socket.create_server(("127.0.0.1", 0)) as busy:
        file = tmp_path / "config.json"
        file.write_bytes(orjson.dumps({**CONFIG, "listen": f"127.0.0.1:{busy.getsockname()[1]}"}))
        environment = {**os.environ, "NODE_CONFIG": str(file) if taken else str(tmp_path / "none")}
        ended = subprocess.run(
            [sys.executable, "-m", "yardbank.platform"], env=environment, capture_output=True, timeout=60, check=False
        )
    last = ended.stderr.decode().strip().splitlines()[-1]
    assert ended.returncode == 2 and last.startswith(f"yardbank: NODE_{'LISTEN' if taken else 'CONFIG'}: ")
    assert b"Traceback" not in ended.stderr


def test_an_indented_list_a_reset_and_a_move_over_real_sockets(tmp_path):
    first, second = discovery_listener(), discovery_listener()
    process, _, file = start_program(tmp_path, first)
    try:
        listing = {"generation": 50, "reset": True, "instances": [{**ENTRY, "instanceId": f"s-{n}"} for n in range(3)]}
        for index in (b"index=41 ", b"index=50 "):
            watch, _ = first.accept()
            watch.settimeout(30)
            request = watch.recv(1000)
            assert request.startswith(b"GET /discovery/hosts?stream=1&") and index in request
            indented = chunk(json.dumps(listing, indent=1).replace("\n", "\r\n").encode())
            watch.sendall(HEAD + chunk(b"\n") + indented[:99])
            watch.sendall(indented[99:])
            if index == b"index=41 ":
                applied = [json.loads(next(line for line in process.stderr if b"list_applied" in line)) for _ in "ab"]
                assert [each["servers"] for each in applied] == [1, 3]  # the known list, then discovery's
                watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                watch.close()  # causes a reset
        file.write_bytes(orjson.dumps({**CONFIG, "discovery": f"127.0.0.1:{second.getsockname()[1]}"}))
        process.send_signal(signal.SIGHUP)
        moved, _ = second.accept()
        moved.settimeout(30)
        assert b"index=50 " in moved.recv(1000)
        with pytest.raises(ConnectionResetError):  # the old watch is aborted
            watch.recv(10)
        listing["generation"], listing["instances"] = 51, listing["instances"][:1]
        moved.sendall(HEAD + chunk(orjson.dumps(listing)))
        gone = json.loads(next(line for line in process.stderr if b"list_applied" in line and b"s-2" in line))
        assert gone["gone"] == ["s-1", "s-2"]
    finally:
        process.kill()
        process.wait()
        for each in (first, second):
            each.close()
