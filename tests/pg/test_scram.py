"""SCRAM-SHA-256: the RFC's own example, both ends together, and whatever goes wrong."""

import base64

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg.scram import ClientExchange, ScramError, ServerExchange, verifier

SALT = base64.b64decode("W22ZaJ0SNY7soEsUEjb6gQ==")
KEPT = verifier("pencil", SALT)
NONCE, OTHERS = "rOprNGfwEbeRWgbNEkqO", "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"


def both(password="pencil"):
    client, server = ClientExchange(password, NONCE), ServerExchange(KEPT, OTHERS)
    return client, server, server.first(client.first())


def test_the_example_of_rfc_7677_section_3():
    """The example names a user in its first message; PostgreSQL's clients leave that empty."""
    client, server = ClientExchange("pencil", NONCE), ServerExchange(KEPT, OTHERS)
    client._bare = f"n=user,r={NONCE}"
    challenge = server.first(client.first())
    assert challenge == f"r={NONCE}{OTHERS},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096".encode()
    proof = client.answer(challenge)
    assert proof.endswith(b"p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=")
    final = server.finish(proof)
    assert final == b"v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="
    client.finish(final)


def test_a_wrong_password_or_a_server_without_it_is_found():
    client, server, challenge = both("pencils")
    with pytest.raises(ScramError, match="does not match"):
        server.finish(client.answer(challenge))
    client, server, challenge = both()
    client.answer(challenge)
    with pytest.raises(ScramError, match="does not know"):
        client.finish(b"v=" + base64.b64encode(b"x" * 32))
    with pytest.raises(ScramError, match="says other-error"):
        client.finish(b"e=other-error")
    with pytest.raises(ScramError, match="does not know"):
        ClientExchange("pencil", NONCE).finish(b"v=")  # before any challenge


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        (f"r={NONCE}".encode(), b"r=other", "does not go on"),
        (OTHERS.encode(), b"", "does not go on"),
        (b"i=4096", b"i=1", "1 iterations"),
        (b"i=4096", b"i=99999999999", "iterations"),
        (b"s=W22", b"s=!", "salt"),
        (b"r=", b"x=", "attributes"),
    ],
)
def test_a_challenge_that_must_not_be_answered(old, new, reason):
    client, _, challenge = both()
    with pytest.raises(ScramError, match=reason):
        client.answer(challenge.replace(old, new))


@given(st.binary(max_size=60), st.integers(0, 80), st.integers(0, 255))
@settings(max_examples=200, deadline=None)
def test_a_changed_proof_is_never_taken(octets, at, octet):
    client, server, challenge = both()
    proof = bytearray(client.answer(challenge))
    changed = bytes(proof)
    proof[at % len(proof)] = octet
    for attempt in (octets, bytes(proof)):
        if attempt != changed:
            with pytest.raises(ScramError):
                server.finish(attempt)


@given(st.binary(max_size=60))
@settings(max_examples=200, deadline=None)
def test_any_first_message_is_a_challenge_or_an_error(octets):
    try:
        assert ServerExchange(KEPT, OTHERS).first(octets).startswith(b"r=")
    except ScramError as problem:
        assert str(problem)
