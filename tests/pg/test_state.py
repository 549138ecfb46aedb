"""Both ends of a PostgreSQL connection, joined in memory, and whatever a client may send instead."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg import messages as pg
from yardbank.pg import state
from yardbank.pg.scram import verifier
from yardbank.pg.wire import SSL_REQUEST, VERSION_3_0, VERSION_3_2, Frame, int32, text

KEPT = verifier("desk", b"salt" * 4)
FIRST = pg.encode_client(pg.Startup(VERSION_3_0, (("user", "desk"),))).encode()


class Joined:
    """A client's and a server's end with a wire between them that cuts octets as it likes."""

    def __init__(self, password="desk", seed=1, kept=KEPT):
        self.client, self.server = state.ClientEnd("desk", "porting", password, "mine"), state.ServerEnd()
        self.chance, self.kept = random.Random(seed), kept
        self.to_client, self.to_server = [], []
        self.last = b""

    def cut(self, octets):
        while octets:
            size = self.chance.randint(1, len(octets))
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
                    if isinstance(event, state.WantsIn):
                        self.server.challenge(self.kept, "yours") if self.kept else self.server.admit()
                        if not self.kept:
                            self.server.welcome({"TimeZone": "UTC"}, 7, b"k" * 32)
                    elif isinstance(event, state.LetIn):
                        self.server.welcome({"TimeZone": "UTC"}, 7, b"k" * 32)
                    elif isinstance(event, state.Broken):
                        self.last = event.last
            for part in self.cut(down):
                self.to_client += self.client.receive(part)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("kept", [KEPT, None])
def test_both_ends_come_to_terms_in_any_split(seed, kept):
    joined = Joined(seed=seed, kept=kept).run()
    assert joined.to_client == [state.Opened({"TimeZone": "UTC"}, 7, b"kkkk")]  # 3.0: keys have four octets
    assert joined.client.status == "I"


def test_a_wrong_password_ends_it_at_both_ends():
    joined = Joined("other").run()
    assert isinstance(joined.to_server[-1], state.Broken) and "does not match" in joined.to_server[-1].reason
    (told,) = joined.to_client
    assert isinstance(told, state.Broken) and "28P01" in told.reason
    assert joined.server.receive(FIRST) == [] and list(joined.client.receive(b"x")) == []


def test_a_server_that_lets_us_in_without_its_own_proof_is_not_believed():
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
    (wants,) = server.receive(FIRST)
    assert wants == state.WantsIn({"user": "desk"})
    server.admit()
    server.welcome({}, 1, b"key!")
    server.take_output()
    return server


def test_pipelines_queries_and_copies_are_told_apart():
    server = opened()
    parts = (pg.Parse("", "select 1"), pg.Bind("", ""), pg.Execute(""), pg.SYNC)
    octets = b"".join(pg.encode_client(part).encode() for part in parts)
    assert server.receive(octets) == [state.Pipeline(parts, False)]
    assert server.receive(pg.encode_client(pg.Query("select 2")).encode()) == [
        state.Pipeline((pg.Query("select 2"),), True)
    ]
    late = pg.encode_client(pg.Data(ord("d"), b"row")).encode()
    assert server.receive(late) == []  # no copy is under way: dropped
    server.copying = True
    assert server.receive(late) == [state.CopyPart(Frame(ord("d"), b"row"))]
    assert server.receive(pg.encode_client(pg.TERMINATE).encode()) == [state.Leaves()]
    assert server.receive(late) == []


def test_encryption_cancel_and_newer_versions():
    server = state.ServerEnd()
    assert server.receive(pg.encode_client(pg.EncryptionRequest(SSL_REQUEST)).encode()) == []
    assert server.take_output() == b"N"
    newer = Frame(0, int32(3 << 16 | 9) + text("user") + text("desk") + text("_pq_.new") + text("1") + b"\0")
    (wants,) = server.receive(newer.encode())
    assert wants.parameters["user"] == "desk"
    assert server.take_output() == Frame(ord("v"), int32(VERSION_3_2) + int32(1) + text("_pq_.new")).encode()
    cancel = pg.encode_client(pg.CancelRequest(5, b"abcd")).encode()
    assert state.ServerEnd().receive(cancel) == [state.Cancel(5, b"abcd")]
    (broken,) = state.ServerEnd().receive(pg.encode_client(pg.Startup(VERSION_3_0, ())).encode())
    assert "no user" in broken.reason and pg.read_fault(Frame(broken.last[0], broken.last[5:])).state == "28000"


def test_bounds_end_the_connection_with_an_error(monkeypatch):
    monkeypatch.setattr(state, "MAX_PIPELINE", 3)
    server = opened()
    events = server.receive(pg.encode_client(pg.Execute("")).encode() * 5)
    assert len(events) == 1 and "unsynced" in events[0].reason
    (broken,) = opened(most=100).receive(b"Q" + int32(1000))
    assert "message length" in broken.reason and broken.last


@given(st.binary(max_size=100), st.booleans())
@settings(max_examples=300, deadline=None)
def test_any_octets_end_in_events_and_at_most_one_break(octets, is_open):
    server = opened() if is_open else state.ServerEnd()
    events = server.receive(octets) + server.receive(octets)
    assert sum(isinstance(event, state.Broken) for event in events) <= 1
    broken = [i for i, event in enumerate(events) if isinstance(event, state.Broken)]
    assert not broken or broken == [len(events) - 1]
