"""SCRAM-SHA-256: the example of the RFC, both sides together, and invalid exchanges."""

import base64

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg.scram import ClientExchange, ScramError, ServerExchange, verifier

SALT = base64.b64decode("W22ZaJ0SNY7soEsUEjb6gQ==")
VERIFIER = verifier("pencil", SALT)
CLIENT_NONCE, SERVER_NONCE = "rOprNGfwEbeRWgbNEkqO", "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"


def start_exchange(password="pencil"):
    client, server = ClientExchange(password, CLIENT_NONCE), ServerExchange(VERIFIER, SERVER_NONCE)
    return client, server, server.first(client.first())


def test_example_of_rfc_7677_section_3():
    """The example has a user name in its first message, which PostgreSQL clients leave empty."""
    client, server = ClientExchange("pencil", CLIENT_NONCE), ServerExchange(VERIFIER, SERVER_NONCE)
    client._client_first_bare = f"n=user,r={CLIENT_NONCE}"
    challenge = server.first(client.first())
    assert challenge == f"r={CLIENT_NONCE}{SERVER_NONCE},s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096".encode()
    proof = client.answer(challenge)
    assert proof.endswith(b"p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=")
    final = server.finish(proof)
    assert final == b"v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="
    client.finish(final)


def test_wrong_password_and_wrong_server_signature_are_rejected():
    client, server, challenge = start_exchange("pencils")
    with pytest.raises(ScramError, match="does not match"):
        server.finish(client.answer(challenge))
    client, server, challenge = start_exchange()
    client.answer(challenge)
    with pytest.raises(ScramError, match="does not know"):
        client.finish(b"v=" + base64.b64encode(b"x" * 32))
    with pytest.raises(ScramError, match="says other-error"):
        client.finish(b"e=other-error")
    with pytest.raises(ScramError, match="does not know"):
        ClientExchange("pencil", CLIENT_NONCE).finish(b"v=")  # before any challenge


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        (f"r={CLIENT_NONCE}".encode(), b"r=other", "does not go on"),
        (SERVER_NONCE.encode(), b"", "does not go on"),
        (b"i=4096", b"i=1", "1 iterations"),
        (b"i=4096", b"i=99999999999", "iterations"),
        (b"s=W22", b"s=!", "salt"),
        (b"r=", b"x=", "attributes"),
    ],
)
def test_invalid_challenge_is_rejected(old, new, reason):
    client, _, challenge = start_exchange()
    with pytest.raises(ScramError, match=reason):
        client.answer(challenge.replace(old, new))


@given(st.binary(max_size=60), st.integers(0, 80), st.integers(0, 255))
@settings(max_examples=200, deadline=None)
def test_altered_proof_is_rejected(octets, at, octet):
    client, server, challenge = start_exchange()
    proof = bytearray(client.answer(challenge))
    changed = bytes(proof)
    proof[at % len(proof)] = octet
    for attempt in (octets, bytes(proof)):
        if attempt != changed:
            with pytest.raises(ScramError):
                server.finish(attempt)


@given(st.binary(max_size=60))
@settings(max_examples=200, deadline=None)
def test_arbitrary_first_message_gives_a_challenge_or_an_error(octets):
    try:
        assert ServerExchange(VERIFIER, SERVER_NONCE).first(octets).startswith(b"r=")
    except ScramError as problem:
        assert str(problem)
