"""Both ends of a PostgreSQL connection, joined in memory, and invalid input from either peer."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg import messages as pg
from yardbank.pg import state
from yardbank.pg.scram import verifier
from yardbank.pg.wire import SSL_REQUEST, VERSION_3_0, VERSION_3_2, Frame, int32, text

VERIFIER = verifier("desk", b"salt" * 4)
STARTUP_MESSAGE = pg.encode_client(pg.Startup(VERSION_3_0, (("user", "desk"),))).encode()


class JoinedEnds:
    """A client's and a server's end joined in memory, with random read sizes."""

    def __init__(self, password="desk", seed=1, stored=VERIFIER):
        self.client, self.server = state.ClientEnd("desk", "porting", password, "mine"), state.ServerEnd()
        self.rng, self.stored = random.Random(seed), stored
        self.to_client, self.to_server = [], []
        self.last = b""

    def cut(self, octets):
        while octets:
            size = self.rng.randint(1, len(octets))
            yield octets[:size]
            octets = octets[size:]

    def run(self):
        while True:
            up, down = self.client.take_output(), self.server.take_output() + self.last
            self.last = b""
            if not up and not down:
                return self
            for part in self.cut(up):
                for event in self.server.receive(part):
                    self.to_server.append(event)
                    if isinstance(event, state.StartupReceived):
                        self.server.challenge(self.stored, "yours") if self.stored else self.server.admit()
                        if not self.stored:
                            self.server.welcome({"TimeZone": "UTC"}, 7, b"k" * 32)
                    elif isinstance(event, state.LetIn):
                        self.server.welcome({"TimeZone": "UTC"}, 7, b"k" * 32)
                    elif isinstance(event, state.Broken):
                        self.last = event.last
            for part in self.cut(down):
                self.to_client += self.client.receive(part)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("stored", [VERIFIER, None])
def test_startup_completes_for_any_read_sizes(seed, stored):
    ends = JoinedEnds(seed=seed, stored=stored).run()
    assert ends.to_client == [state.Opened({"TimeZone": "UTC"}, 7, b"kkkk")]  # in protocol 3.0, keys have four octets
    assert ends.client.status == "I"


def test_wrong_password_closes_both_ends():
    ends = JoinedEnds("other").run()
    assert isinstance(ends.to_server[-1], state.Broken) and "does not match" in ends.to_server[-1].reason
    (event,) = ends.to_client
    assert isinstance(event, state.Broken) and "28P01" in event.reason
    assert ends.server.receive(STARTUP_MESSAGE) == [] and list(ends.client.receive(b"x")) == []


def test_client_end_rejects_a_server_without_signature_and_unexpected_messages():
    client = state.ClientEnd("desk", "porting", "desk", "mine")
    assert list(client.receive(Frame(ord("R"), int32(10) + b"SCRAM-SHA-256\0\0").encode())) == []
    (broken,) = client.receive(Frame(ord("R"), int32(0)).encode())
    assert "without its own proof" in broken.reason
    for frame, reason in (
        (Frame(ord("R"), int32(5) + b"salt"), "kind 5"),
        (Frame(ord("R"), int32(10) + b"OTHER\0\0"), "wants OTHER"),
        (Frame(ord("Z"), b"I"), "ready before"),
        (Frame(ord("D"), b"\0\0"), "during start-up"),
        (pg.error("57P03", "starting up"), "57P03"),
    ):
        (broken,) = state.ClientEnd("desk", "porting", "desk", "mine").receive(frame.encode())
        assert isinstance(broken, state.Broken) and reason in broken.reason


def opened(**first):
    server = state.ServerEnd(**first)
    (startup,) = server.receive(STARTUP_MESSAGE)
    assert startup == state.StartupReceived({"user": "desk"})
    server.admit()
    server.welcome({}, 1, b"key!")
    server.take_output()
    return server


def test_pipelines_queries_and_copies_give_separate_events():
    server = opened()
    parts = (pg.Parse("", "select 1"), pg.Bind("", ""), pg.Execute(""), pg.SYNC)
    octets = b"".join(pg.encode_client(part).encode() for part in parts)
    assert server.receive(octets) == [state.Pipeline(parts, False)]
    assert server.receive(pg.encode_client(pg.Query("select 2")).encode()) == [
        state.Pipeline((pg.Query("select 2"),), True)
    ]
    late = pg.encode_client(pg.Data(ord("d"), b"row")).encode()
    assert server.receive(late) == []  # no copy in progress: dropped
    server.copying = True
    assert server.receive(late) == [state.CopyMessage(Frame(ord("d"), b"row"))]
    assert server.receive(pg.encode_client(pg.TERMINATE).encode()) == [state.TerminateReceived()]
    assert server.receive(late) == []


def test_encryption_cancel_and_version_negotiation():
    server = state.ServerEnd()
    assert server.receive(pg.encode_client(pg.EncryptionRequest(SSL_REQUEST)).encode()) == []
    assert server.take_output() == b"N"
    newer = Frame(0, int32(3 << 16 | 9) + text("user") + text("desk") + text("_pq_.new") + text("1") + b"\0")
    (startup,) = server.receive(newer.encode())
    assert startup.parameters["user"] == "desk"
    assert server.take_output() == Frame(ord("v"), int32(VERSION_3_2) + int32(1) + text("_pq_.new")).encode()
    cancel = pg.encode_client(pg.CancelRequest(5, b"abcd")).encode()
    assert state.ServerEnd().receive(cancel) == [state.CancelReceived(5, b"abcd")]
    (broken,) = state.ServerEnd().receive(pg.encode_client(pg.Startup(VERSION_3_0, ())).encode())
    assert "no user" in broken.reason and pg.read_fault(Frame(broken.last[0], broken.last[5:])).state == "28000"


def test_exceeded_limits_end_the_connection_with_an_error(monkeypatch):
    monkeypatch.setattr(state, "MAX_PIPELINE", 3)
    server = opened()
    events = server.receive(pg.encode_client(pg.Execute("")).encode() * 5)
    assert len(events) == 1 and "unsynced" in events[0].reason
    (broken,) = opened(most=100).receive(b"Q" + int32(1000))
    assert "message length" in broken.reason and broken.last


@given(st.binary(max_size=100), st.booleans())
@settings(max_examples=300, deadline=None)
def test_arbitrary_octets_give_events_and_at_most_one_broken(octets, is_open):
    server = opened() if is_open else state.ServerEnd()
    events = server.receive(octets) + server.receive(octets)
    assert sum(isinstance(event, state.Broken) for event in events) <= 1
    broken = [i for i, event in enumerate(events) if isinstance(event, state.Broken)]
    assert not broken or broken == [len(events) - 1]
