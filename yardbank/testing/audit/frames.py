"""LDAP messages as the rig's relays see them: a small reader of the judge's own, of the fields that claims need."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MESSAGE = 16 << 20  # octets; beyond, the stream is taken for garbled
TAG = b"1.3.6.1.4.1.32473.1.1"  # the control that names a request in records
POSITIONS = b"contextCSN"  # what a probe asks for
OPERATIONS = {0x63: "search", 0x66: "modify", 0x68: "add", 0x4A: "delete", 0x6C: "modifydn", 0x6E: "compare"}
ABANDON = 0x50
_SEQUENCE, _INTEGER, _OCTETS, _CONTROLS = 0x30, 0x02, 0x04, 0xA0


@dataclass(slots=True, frozen=True)
class Message:
    """One whole message: when its first octet was seen, its number, and what it asks for."""

    at: float
    number: int
    operation: str  # of ``OPERATIONS``; "probe", "abandon" or "" for all else
    tag: str = ""
    target: int = 0  # of "abandon": the number of the message that it ends


class GarbledError(ValueError):
    """Octets that are no message."""


class Frames:
    """One direction of one connection. Once it is garbled nothing more is told of it."""

    def __init__(self) -> None:
        self._rest = b""
        self._began = 0.0  # when the first octet of ``_rest`` came
        self.garbled = False

    def push(self, at: float, data: bytes) -> list[Message]:
        """Take octets that were seen at this time (s); the messages that they make whole."""
        found: list[Message] = []
        if self.garbled or not data:
            return found
        if not self._rest:
            self._began = at
        self._rest += data
        try:
            while (whole := _whole(self._rest)) is not None:
                frame, self._rest = self._rest[:whole], self._rest[whole:]
                found.append(_message(self._began, frame))
                self._began = at  # the next one's first octet came with this piece
        except ValueError:  # GarbledError, or fewer elements than a message has
            self.garbled, self._rest = True, b""
        return found


def _whole(data: bytes) -> int | None:
    """How many octets the first message has; None: not all are there. Raises ``GarbledError``."""
    if data[:1] and data[0] != _SEQUENCE:
        raise GarbledError("not a message")
    header = _header(data, 0)
    if header is None:
        return None
    start, length = header
    if start + length > MAX_MESSAGE:
        raise GarbledError("too long")
    return start + length if len(data) >= start + length else None


def _header(data: bytes, at: int) -> tuple[int, int] | None:
    """Where the value of the element at ``at`` begins, and its length; None: cut off before that is known."""
    if len(data) < at + 2:
        return None
    first = data[at + 1]
    if first < 0x80:
        return at + 2, first
    count = first & 0x7F
    if not 1 <= count <= 4:
        raise GarbledError("a length that messages do not have")
    if len(data) < at + 2 + count:
        return None
    return at + 2 + count, int.from_bytes(data[at + 2 : at + 2 + count], "big")


def _elements(data: bytes) -> list[tuple[int, bytes]]:
    """Tag and value of each element in a row. Raises ``GarbledError``."""
    found, at = [], 0
    while at < len(data):
        header = _header(data, at)
        if header is None or sum(header) > len(data):
            raise GarbledError("cut short")
        found.append((data[at], data[header[0] : sum(header)]))
        at = sum(header)
    return found


def _message(at: float, frame: bytes) -> Message:
    (_, inside), *_ = _elements(frame)
    number, operation, *more = _elements(inside)
    if number[0] != _INTEGER or not number[1]:
        raise GarbledError("no number")
    if operation[0] == ABANDON:
        return Message(at, int.from_bytes(number[1], "big"), "abandon", target=int.from_bytes(operation[1], "big"))
    tag = next((_tag(value) for kind, value in more if kind == _CONTROLS), "")
    name = OPERATIONS.get(operation[0], "")
    if name == "search" and not tag and POSITIONS in operation[1]:
        name = "probe"
    return Message(at, int.from_bytes(number[1], "big"), name, tag)


def _tag(controls: bytes) -> str:
    """The value of the control that names the request."""
    for _, control in _elements(controls):
        fields = _elements(control)
        if fields and fields[0] == (_OCTETS, TAG) and fields[-1][0] == _OCTETS and len(fields) > 1:
            return fields[-1][1].decode(errors="replace")
    return ""
