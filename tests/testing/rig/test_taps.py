"""Recorded attempts and client departures, on real sockets, and the validation of claims about them."""

import json
import socket
import time
from collections import Counter
from contextlib import contextmanager
from random import Random

import pytest
from click.testing import CliRunner
from twisted.internet import reactor

from tests.support.reactor_thread import ensure_reactor, run, until
from tests.testing.rig.test_scenarios import HEAD, scenario, step
from yardbank.cli import main
from yardbank.config.checked import ConfigError
from yardbank.ldap import codec
from yardbank.ldap import messages as m
from yardbank.ldap.state import ClientEnd
from yardbank.testing.audit.client_departure import departures
from yardbank.testing.rig.client import GONE, connect
from yardbank.testing.rig.load import next_gateway
from yardbank.testing.rig.network import Effect, Network
from yardbank.testing.rig.record import Recorder
from yardbank.testing.rig.relay import HOST, StreamRelay
from yardbank.testing.rig.taps import AttemptTap, DepartureTap
from yardbank.testing.rig.verdict import verdicts
from yardbank.testing.standin.server import TAG_CONTROL

SEARCH = m.SearchRequest("dc=a", 0, m.Present("objectClass"))


# Observers of relayed connections


@contextmanager
def relayed_client(source, target, tap, network):
    """A relay to a socket that the test reads only on demand, and a client connected through the relay."""
    ensure_reactor()
    facts = []
    with socket.create_server((HOST, 0)) as listener:
        relay = run(
            StreamRelay, reactor, network, source, target, lambda: listener.getsockname()[1], 1, tap(facts.append)
        )
        run(relay.refresh)
        client = run(connect, reactor, HOST, relay.port, "c1", facts.append)
        accepted, _ = listener.accept()
        try:
            yield facts, client, accepted, relay
        finally:
            accepted.close()
            run(client.leave)
            run(relay.close)


def ask(client, tag):
    """Sends a request without waiting; the returned list gets its answer."""
    answers = []

    def begin():
        client.request(SEARCH, (m.Control(TAG_CONTROL, False, tag.encode()),), tag).addCallback(answers.append)

    run(begin)
    return answers


def in_socket(sock):
    """Reads all that is in a socket now; ``None`` stands for the end of the stream."""
    found = []
    sock.setblocking(False)
    try:
        while data := sock.recv(65536):
            found.append(data)
        found.append(None)
    except BlockingIOError:
        pass
    except ConnectionResetError:
        found.append(None)
    return found


@pytest.mark.parametrize("means", ["close", "reset"])
def test_a_departure_is_recorded_once_it_reaches_the_gateways_socket(means):
    contents = []

    def tap(record):
        def record_fact(fact):
            contents.extend([in_socket(accepted)] if fact["kind"] == "reached" else [])
            record({"at": time.monotonic(), **fact})

        return lambda port: DepartureTap(record_fact, "g1", port)

    network = Network()
    with relayed_client("clients", "g1", tap, network) as (facts, client, accepted, relay):
        answers = ask(client, "c1/1")
        until(lambda: facts[-1]["kind"] == "sent")
        run(network.begin, "cut", {("clients", "g1")}, Effect(cut="silent"))
        run(client.depart, means)
        until(lambda: client.gone and answers)
        assert [answer.code for answer in answers] == [GONE]
        assert not [fact for fact in facts if fact["kind"] == "reached"]  # it has not been delivered yet
        run(network.end, "cut")
        run(relay.refresh)
        until(lambda: facts[-1]["kind"] == "reached")
        stamped = [{"at": 0.0, **fact} for fact in facts]
    assert contents[0][-1] is None
    assert stamped[-1]["what"] == "end" and list(departures(stamped)) == ["c1/1"]


def test_an_abandoned_request_is_recorded_and_its_connection_stays_open():
    def tap(record):
        return lambda port: DepartureTap(record, "g1", port)

    with relayed_client("clients", "g1", tap, Network()) as (facts, client, _, _relay):
        first = ask(client, "c1/1")
        run(client.depart, "abandon")
        second = ask(client, "c1/2")
        until(lambda: any(fact["kind"] == "reached" for fact in facts))
        stamped = [{"at": float(at), **fact} for at, fact in enumerate(facts)]
        assert [answer.code for answer in first] == [GONE] and not second and not client.gone
        assert [fact["tag"] for fact in facts if fact["kind"] == "cancelled"] == ["c1/1"]
        assert list(departures(stamped)) == ["c1/1"]


def test_an_attempt_is_recorded_with_the_time_of_its_first_octet_during_a_cut():
    def tap(record):
        return lambda port: AttemptTap(lambda fact: record({"stamped": time.monotonic(), **fact}), "g1", "a-1")

    network = Network()
    with relayed_client("g1", "a-1", tap, network) as (facts, client, accepted, _):
        run(network.begin, "cut", {("g1", "a-1")}, Effect(cut="silent"))
        ask(client, "c1/1")
        until(lambda: any(fact["kind"] == "begun" for fact in facts))
        (begun,) = (fact for fact in facts if fact["kind"] == "begun")
        assert (begun["gateway"], begun["server"], begun["tag"], begun["op"]) == ("g1", "a-1", "c1/1", "search")
        assert begun["at"] <= begun["stamped"] and in_socket(accepted) == []
    assert Counter(fact["kind"] for fact in facts)["begun"] == 1


def test_an_attempt_sent_in_chunks_has_the_time_of_the_first():
    facts = []
    tap = AttemptTap(facts.append, "g1", "a-1")
    raw = codec.encode_operation(SEARCH)
    data = ClientEnd().ask(raw, raw[0])[1]
    tap.octets_sent(1.0, data[:1])
    tap.octets_sent(5.0, data[1:-1])
    assert facts == []
    tap.octets_sent(9.0, data[-1:])
    assert [fact["at"] for fact in facts] == [1.0]


def test_the_record_file_has_the_order_of_the_facts_by_time(tmp_path):
    record = Recorder(tmp_path / "record.jsonl")
    for at in (3.0, 1.0, 2.0):
        record({"at": at, "kind": "begun"})
    record.close()
    assert [json.loads(line) for line in (tmp_path / "record.jsonl").read_text().splitlines()] == record.facts
    assert [fact["at"] for fact in record.facts] == [1.0, 2.0, 3.0]


def test_clients_choose_gateways_by_uneven_weights():
    random, names = Random(1), [f"g{n}" for n in range(1, 6)]
    chosen = Counter(next_gateway(names, "", random, 9.0) for _ in range(2000))
    assert chosen["g1"] > 5 * chosen["g5"] and [name for name, _ in chosen.most_common()] == names
    assert set(chosen) == set(names) and next_gateway(["g1"], "g1", random, 9.0) == "g1"
    assert {next_gateway(["g1", "g2"], "g1", random, 9.0) for _ in range(50)} == {"g2"}


# Validation of scenarios


FAULTY = [
    (step("x", 'do = "leave"'), 'step "x": share: missing for do = "leave"'),
    (step("x", 'do = "leave"\nshare = 0.5\nlasts = "1s"'), 'step "x": leave does not last'),
    (step("x", 'do = "leave"\nshare = 0.5\nwho = ["g1"]'), 'step "x": who: not for do = "leave"'),
    (step("x", 'do = "leave"\nshare = 0.5\ngateways = ["g9"]'), 'step "x": gateways: nothing is called "g9"'),
    (step("x", 'do = "leave"\nshare = 0.5\nmeans = "shout"'), 'step "x": means: Input should be'),
    (step("x", 'do = "kill"\nwho = ["g1"]\nlate = "1s"'), 'step "x": late: not for do = "kill"'),
    (
        step("x", 'do = "tell"\nwho = ["a-1"]\nstate = "draining"\nlate = "3s"')
        + 'claim "t" {\n  kind = "told"\n  bound = "3s"\n}\n',
        'claim "t": bound: step "x" tells later than that',
    ),
    ('claim "s" {\n  kind = "gone_clients"\n  bound = "3s"\n}\n', 'claim "s": bound: not for kind = "gone_clients"'),
    ('claim "s" {\n  kind = "cold_sum"\n  cases = 2\n}\n', 'claim "s": cases: not for kind = "cold_sum"'),
    ('claim "s" {\n  kind = "gone_clients"\n  cases = 0\n}\n', 'claim "s": cases: Input should be greater than 0'),
    ('claim "s" {\n  kind = "cold_sum"\n  window = "0s"\n}\n', 'claim "s": window: Input should be greater than 0'),
    ('claim "s" {\n  kind = "told"\n  grace = "soon"\n}\n', "claim \"s\": grace: 'soon' is not a duration"),
    ("load {\n  uneven = 0.5\n}\n", "load.uneven: Input should be greater than or equal to 1"),
]


@pytest.mark.parametrize(("text", "fault"), FAULTY)
def test_an_invalid_step_or_claim_is_rejected_with_its_field(text, fault, tmp_path):
    with pytest.raises(ConfigError) as problem:
        scenario(text)
    assert any(fault in line for line in problem.value.faults), problem.value.faults
    file = tmp_path / "s.hcl"
    file.write_text(HEAD + text)
    done = CliRunner().invoke(main, ["rig", "run", str(file)])
    assert done.exit_code == 2 and str(file) in done.output


def test_the_fields_of_a_claim_are_passed_to_the_audit():
    begun = [
        {"at": 10.0 + n / 100, "kind": "begun", "gateway": "g1", "server": "a-1", "tag": f"{n}", "op": "search"}
        for n in range(40)
    ]
    start = {"at": 10.0, "kind": "start", "server": "a-1", "cold_s": 4.0, "cold_share": 0.5, "per_s": 20.0}
    listed = {"at": 3.8, "kind": "listed", "gateway": "g1", "server": "a-1", "state": "draining"}
    text = ('claim "c" {\n  kind = "cold_sum"\n%s}\n', 'claim "t" {\n  kind = "told"\n%s}\n')

    def held(cold="", told=""):
        made = scenario(text[0] % cold + text[1] % told)
        return [one.finding.held for one in verdicts(made, [listed, start, *begun])[1:]]

    assert held() == [True, False]  # budget 2.5 x 10 x 1.5 = 37.5, plus the allowance; 10.39 is 6.59 s after 3.8
    assert held("  multiple = 1\n", '  grace = "1s"\n') == [False, True]
    assert held('  window = "100ms"\n', '  bound = "7s"\n') == [False, True]
