"""SCRAM-SHA-256 for both ends, without channel binding (RFC 5802, RFC 7677). No I/O; nonces are passed in.

Passwords are used as they stand: those of ASCII need no SASLprep (RFC 4013), others must match octet for octet.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from dataclasses import dataclass

MECHANISM = "SCRAM-SHA-256"
LEAST_ITERATIONS, MOST_ITERATIONS = 4096, 1_000_000  # RFC 7677 section 4; more would let a server stall its client


class ScramError(ValueError):
    """The other end does not prove who it is, or breaks the exchange; the text says which."""


@dataclass(slots=True, frozen=True)
class Verifier:
    """What a server keeps in place of a password."""

    salt: bytes
    iterations: int
    stored_key: bytes
    server_key: bytes


def _hmac(key: bytes, text: bytes) -> bytes:
    return hmac.digest(key, text, "sha256")


def _xor(a: bytes, b: bytes) -> bytes:
    return bytes(x ^ y for x, y in zip(a, b, strict=True))


def _salted(password: bytes, salt: bytes, iterations: int) -> bytes:
    return hashlib.pbkdf2_hmac("sha256", password, salt, iterations)


def verifier(password: str, salt: bytes, iterations: int = LEAST_ITERATIONS) -> Verifier:
    """A password as a server keeps it."""
    salted = _salted(password.encode(), salt, iterations)
    client_key = _hmac(salted, b"Client Key")
    return Verifier(salt, iterations, hashlib.sha256(client_key).digest(), _hmac(salted, b"Server Key"))


def _fields(message: bytes, wanted: str) -> dict[str, str]:
    """Attributes in their order (section 5.1). Raises ``ScramError``."""
    try:
        parts = message.decode("ascii").split(",")
    except UnicodeDecodeError:
        raise ScramError("a message that is not ASCII") from None
    names = "".join(part[:1] for part in parts)
    if not names.startswith(wanted) or any(part[1:2] != "=" for part in parts):
        raise ScramError(f"attributes {names!r} where {wanted!r} are due")
    return {part[0]: part[2:] for part in parts}


def _base64(text: str, name: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        raise ScramError(f"{name}: not base64") from None


class ClientExchange:
    """The end that has the password."""

    def __init__(self, password: str, nonce: str) -> None:
        """``nonce``: printable, no comma, fresh for each exchange."""
        self._password, self._nonce = password.encode(), nonce
        self._bare = f"n=,r={nonce}"  # the server knows the user by its start-up message
        self._signature = b""

    def first(self) -> bytes:
        """The client's first message."""
        return f"n,,{self._bare}".encode()

    def answer(self, server_first: bytes) -> bytes:
        """The proof. Raises ``ScramError``."""
        fields = _fields(server_first, "rsi")
        if not fields["r"].startswith(self._nonce) or fields["r"] == self._nonce:
            raise ScramError("the server's nonce does not go on from ours")
        iterations = int(fields["i"]) if fields["i"].isdecimal() else 0
        if not LEAST_ITERATIONS <= iterations <= MOST_ITERATIONS:
            raise ScramError(f"{fields['i'][:20]} iterations")
        salted = _salted(self._password, _base64(fields["s"], "salt"), iterations)
        client_key = _hmac(salted, b"Client Key")
        final = f"c=biws,r={fields['r']}"
        text = b",".join((self._bare.encode(), server_first, final.encode()))
        proof = _xor(client_key, _hmac(hashlib.sha256(client_key).digest(), text))
        self._signature = _hmac(_hmac(salted, b"Server Key"), text)
        return f"{final},p={base64.b64encode(proof).decode()}".encode()

    def finish(self, server_final: bytes) -> None:
        """Check that the server knows the password too. Raises ``ScramError``."""
        fields = _fields(server_final, "")
        if "e" in fields:
            raise ScramError(f"the server says {fields['e'][:60]}")
        given = _base64(fields.get("v", ""), "signature")
        if not self._signature or not hmac.compare_digest(given, self._signature):
            raise ScramError("the server does not know the password")


class ServerExchange:
    """The end that checks."""

    def __init__(self, kept: Verifier, nonce: str) -> None:
        self._kept, self._nonce = kept, nonce
        self._bare = self._first = b""

    def first(self, client_first: bytes) -> bytes:
        """The challenge. Raises ``ScramError``."""
        if client_first[:3] not in (b"n,,", b"y,,"):
            raise ScramError("channel binding or an authorization identity is not supported")
        self._header, self._bare = client_first[:3], client_first[3:]
        theirs = _fields(self._bare, "nr")["r"]
        if not theirs:
            raise ScramError("an empty nonce")
        self._both = theirs + self._nonce
        salt = base64.b64encode(self._kept.salt).decode()
        self._first = f"r={self._both},s={salt},i={self._kept.iterations}".encode()
        return self._first

    def finish(self, client_final: bytes) -> bytes:
        """Check the proof; our own in return. Raises ``ScramError``."""
        fields = _fields(client_final, "cr")
        if not self._first or "p" not in fields:
            raise ScramError("a proof is missing")
        if _base64(fields["c"], "channel binding") != self._header or fields["r"] != self._both:
            raise ScramError("another exchange's proof")
        without = client_final.rpartition(b",p=")[0]
        text = b",".join((self._bare, self._first, without))
        proof = _base64(fields["p"], "proof")
        if len(proof) != 32:
            raise ScramError("a proof of another length")
        key = _xor(proof, _hmac(self._kept.stored_key, text))
        if not hmac.compare_digest(hashlib.sha256(key).digest(), self._kept.stored_key):
            raise ScramError("the password does not match")
        return b"v=" + base64.b64encode(_hmac(self._kept.server_key, text))
