"""Splits a stream of octets into JSON objects, each complete at its last octet despite any whitespace in it. No I/O.

Every octet is scanned once, however the stream is split: between two pieces the parser keeps the open brackets and
whether it is in a string or an escape.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum

MAX_VALUE_OCTETS = 8 << 20
MAX_DEPTH = 512
_WHITESPACE = re.compile(rb"[ \t\r\n]*")
# Text outside strings, and whole strings without escapes. The quantifiers are possessive, so nothing is matched twice.
_OUTSIDE_STRINGS = re.compile(rb'(?:[ \t\r\n,:0-9+\-.truefalsnE]++|"[^"\\\x00-\x1f]*+")*+')
_STRING_TEXT = re.compile(rb'[^"\\\x00-\x1f]*')
_OPENING_BRACKET = {ord("}"): ord("{"), ord("]"): ord("[")}
_QUOTE, _ESCAPE = ord('"'), ord("\\")


class SplitError(ValueError):
    """The input cannot be a stream of JSON objects."""


class Token(Enum):
    """What octets show that complete no value."""

    WHITESPACE = "whitespace between values"
    VALUE_STARTED = "a value has started"


class StreamParser:
    """Splits a stream into its JSON objects."""

    def __init__(self, max_octets: int = MAX_VALUE_OCTETS) -> None:
        self._max_octets = max_octets
        self._buffer = bytearray()  # the unfinished value
        self._brackets = bytearray()  # its open brackets
        self._in_string = False
        self._escaped = False

    @property
    def buffered_octets(self) -> int:
        """Octets of the unfinished value."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes | Token]:
        """Yields objects as they end, and tokens between. Raises ``SplitError`` after which the stream is unusable."""
        at = 0
        while at < len(data):
            if not self._brackets:
                start, at = at, _WHITESPACE.match(data, at).end()  # type: ignore[union-attr]
                if at > start:
                    yield Token.WHITESPACE
                if at == len(data):
                    return
                if data[at] != ord("{"):
                    raise SplitError(f"not JSON: a list cannot start with {data[at : at + 20]!r}")
                yield Token.VALUE_STARTED
            end = self._scan(data, at)
            if len(self._buffer) + end - at > self._max_octets:
                raise SplitError(f"a list has more than {self._max_octets} octets")
            self._buffer += data[at:end]
            at = end
            if not self._brackets:
                value, self._buffer = bytes(self._buffer), bytearray()
                yield value

    def _scan(self, data: bytes, at: int) -> int:
        """Returns the position where the unfinished value ends, or the end of the piece."""
        while at < len(data):
            if self._escaped:  # any octet is accepted: decoding the complete value checks the escape
                self._escaped = False
                at += 1
                continue
            pattern = _STRING_TEXT if self._in_string else _OUTSIDE_STRINGS
            at = pattern.match(data, at).end()  # type: ignore[union-attr]
            if at == len(data):
                break
            at += 1
            if self._in_string:
                self._octet_in_string(data[at - 1])
            else:
                self._octet_outside_string(data, at - 1)
                if not self._brackets:
                    break
        return at

    def _octet_in_string(self, octet: int) -> None:
        """Takes an octet in a string that is not plain text."""
        if octet == _QUOTE:
            self._in_string = False
        elif octet == _ESCAPE:
            self._escaped = True
        else:
            raise SplitError(f"not JSON: octet {octet} in a string")

    def _octet_outside_string(self, data: bytes, at: int) -> None:
        """Takes an octet outside strings that is more than punctuation or a literal."""
        octet = data[at]
        if octet == _QUOTE:
            self._in_string = True
        elif octet in b"{[":
            if len(self._brackets) >= MAX_DEPTH:
                raise SplitError(f"JSON is nested too deeply: more than {MAX_DEPTH} brackets are open")
            self._brackets.append(octet)
        elif self._brackets[-1] == _OPENING_BRACKET.get(octet):
            self._brackets.pop()
        else:
            raise SplitError(f"not JSON: {data[at : at + 20]!r} is not allowed there")
