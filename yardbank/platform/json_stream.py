"""JSON values out of a stream of octets: each is whole where it ends, whatever white space is in it. No I/O.

One pass over the octets, whatever their split: what is remembered between two pieces is the brackets that are open,
and whether a string or an escape in it is.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum

MAX_VALUE = 8 << 20
MAX_DEPTH = 512
_BLANK = re.compile(rb"[ \t\r\n]*")
# What may stand between brackets, whole strings without escapes along with it; possessive, so nothing is tried twice.
_PLAIN = re.compile(rb'(?:[ \t\r\n,:0-9+\-.truefalsnE]++|"[^"\\\x00-\x1f]*+")*+')
_TEXT = re.compile(rb'[^"\\\x00-\x1f]*')
_CLOSES = {ord("}"): ord("{"), ord("]"): ord("[")}
_QUOTE, _ESCAPE = ord('"'), ord("\\")


class SplitError(ValueError):
    """What comes can be no object of JSON any more."""


class Token(Enum):
    """What octets that complete no value show."""

    BLANK = "white space between values"
    BEGUN = "a value has begun"


class StreamParser:
    """Splits a stream into its objects."""

    def __init__(self, longest: int = MAX_VALUE) -> None:
        self._longest = longest
        self._held = bytearray()  # the value under way
        self._open = bytearray()  # its open brackets
        self._in_text = False
        self._escaped = False

    @property
    def waiting(self) -> int:
        """Octets of the value under way."""
        return len(self._held)

    def feed(self, data: bytes) -> Iterator[bytes | Token]:
        """Objects as they end, and what else shows life. Raises ``SplitError``: nothing after it can be told apart."""
        at = 0
        while at < len(data):
            if not self._open:
                start, at = at, _BLANK.match(data, at).end()  # type: ignore[union-attr]
                if at > start:
                    yield Token.BLANK
                if at == len(data):
                    return
                if data[at] != ord("{"):
                    raise SplitError(f"not JSON: a list cannot begin with {data[at : at + 20]!r}")
                yield Token.BEGUN
            end = self._through(data, at)
            if len(self._held) + end - at > self._longest:
                raise SplitError(f"a list of more than {self._longest} octets")
            self._held += data[at:end]
            at = end
            if not self._open:
                found, self._held = bytes(self._held), bytearray()
                yield found

    def _through(self, data: bytes, at: int) -> int:
        """Where the value under way ends in the piece, or the piece does."""
        while at < len(data):
            if self._escaped:  # whatever it is: the reader of the whole value judges it
                self._escaped = False
                at += 1
                continue
            skipped = _TEXT if self._in_text else _PLAIN
            at = skipped.match(data, at).end()  # type: ignore[union-attr]
            if at == len(data):
                break
            at += 1
            if self._in_text:
                self._octet_in_text(data[at - 1])
            else:
                self._octet_between(data, at - 1)
                if not self._open:
                    break
        return at

    def _octet_in_text(self, octet: int) -> None:
        """An octet within a string that is no plain text."""
        if octet == _QUOTE:
            self._in_text = False
        elif octet == _ESCAPE:
            self._escaped = True
        else:
            raise SplitError(f"not JSON: octet {octet} in a string")

    def _octet_between(self, data: bytes, at: int) -> None:
        """An octet outside of strings that is none of what may stand between brackets."""
        octet = data[at]
        if octet == _QUOTE:
            self._in_text = True
        elif octet in b"{[":
            if len(self._open) >= MAX_DEPTH:
                raise SplitError(f"not JSON that is read here: more than {MAX_DEPTH} brackets are open")
            self._open.append(octet)
        elif self._open[-1] == _CLOSES.get(octet):
            self._open.pop()
        else:
            raise SplitError(f"not JSON: {data[at : at + 20]!r} cannot stand there")
