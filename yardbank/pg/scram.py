"""SCRAM-SHA-256 for client and server, without channel binding (RFC 5802, RFC 7677). No I/O; nonces are passed in.

Passwords are not normalized: ASCII passwords need no SASLprep (RFC 4013), others must match octet by octet.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from dataclasses import dataclass

MECHANISM = "SCRAM-SHA-256"
# The minimum is that of RFC 7677 section 4; the maximum keeps a server from stalling its client.
MIN_ITERATIONS, MAX_ITERATIONS = 4096, 1_000_000


class ScramError(ValueError):
    """The peer failed to authenticate or violated the protocol; the error text says which."""


@dataclass(slots=True, frozen=True)
class Verifier:
    """What a server stores instead of a password."""

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


def verifier(password: str, salt: bytes, iterations: int = MIN_ITERATIONS) -> Verifier:
    """The verifier of a password."""
    salted = _salted(password.encode(), salt, iterations)
    client_key = _hmac(salted, b"Client Key")
    return Verifier(salt, iterations, hashlib.sha256(client_key).digest(), _hmac(salted, b"Server Key"))


def _fields(message: bytes, wanted: str) -> dict[str, str]:
    """Parses a message's attributes, which must start with ``wanted`` in order (section 5.1). Raises ``ScramError``."""
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
    """The client's side of an exchange."""

    def __init__(self, password: str, nonce: str) -> None:
        """``nonce``: printable, without commas, and new for each exchange."""
        self._password, self._nonce = password.encode(), nonce
        self._client_first_bare = f"n=,r={nonce}"  # the server knows the user from the StartupMessage
        self._signature = b""

    def first(self) -> bytes:
        """The client's first message."""
        return f"n,,{self._client_first_bare}".encode()

    def answer(self, server_first: bytes) -> bytes:
        """The client's final message with its proof. Raises ``ScramError``."""
        fields = _fields(server_first, "rsi")
        if not fields["r"].startswith(self._nonce) or fields["r"] == self._nonce:
            raise ScramError("the server's nonce does not go on from ours")
        iterations = int(fields["i"]) if fields["i"].isdecimal() else 0
        if not MIN_ITERATIONS <= iterations <= MAX_ITERATIONS:
            raise ScramError(f"{fields['i'][:20]} iterations")
        salted = _salted(self._password, _base64(fields["s"], "salt"), iterations)
        client_key = _hmac(salted, b"Client Key")
        final = f"c=biws,r={fields['r']}"
        text = b",".join((self._client_first_bare.encode(), server_first, final.encode()))
        proof = _xor(client_key, _hmac(hashlib.sha256(client_key).digest(), text))
        self._signature = _hmac(_hmac(salted, b"Server Key"), text)
        return f"{final},p={base64.b64encode(proof).decode()}".encode()

    def finish(self, server_final: bytes) -> None:
        """Verifies the server's signature. Raises ``ScramError``."""
        fields = _fields(server_final, "")
        if "e" in fields:
            raise ScramError(f"the server says {fields['e'][:60]}")
        received = _base64(fields.get("v", ""), "signature")
        if not self._signature or not hmac.compare_digest(received, self._signature):
            raise ScramError("the server does not know the password")


class ServerExchange:
    """The server's side of an exchange."""

    def __init__(self, stored: Verifier, nonce: str) -> None:
        self._stored, self._nonce = stored, nonce
        self._client_first_bare = self._server_first = b""

    def first(self, client_first: bytes) -> bytes:
        """The server's first message, the challenge. Raises ``ScramError``."""
        if client_first[:3] not in (b"n,,", b"y,,"):
            raise ScramError("channel binding or an authorization identity is not supported")
        self._header, self._client_first_bare = client_first[:3], client_first[3:]
        client_nonce = _fields(self._client_first_bare, "nr")["r"]
        if not client_nonce:
            raise ScramError("an empty nonce")
        self._combined_nonce = client_nonce + self._nonce
        salt = base64.b64encode(self._stored.salt).decode()
        self._server_first = f"r={self._combined_nonce},s={salt},i={self._stored.iterations}".encode()
        return self._server_first

    def finish(self, client_final: bytes) -> bytes:
        """Verifies the client's proof; returns the server's final message. Raises ``ScramError``."""
        fields = _fields(client_final, "cr")
        if not self._server_first or "p" not in fields:
            raise ScramError("a proof is missing")
        if _base64(fields["c"], "channel binding") != self._header or fields["r"] != self._combined_nonce:
            raise ScramError("another exchange's proof")
        final_without_proof = client_final.rpartition(b",p=")[0]
        text = b",".join((self._client_first_bare, self._server_first, final_without_proof))
        proof = _base64(fields["p"], "proof")
        if len(proof) != 32:
            raise ScramError("a proof of another length")
        key = _xor(proof, _hmac(self._stored.stored_key, text))
        if not hmac.compare_digest(hashlib.sha256(key).digest(), self._stored.stored_key):
            raise ScramError("the password does not match")
        return b"v=" + base64.b64encode(_hmac(self._stored.server_key, text))
