"""Reads LDAP messages from the octets that the rig's relays pass on.

Independent of the gateway's codec, so that a fault there cannot hide itself; it reads only fields that claims need.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_MESSAGE_OCTETS = 16 << 20  # octets; a stream with a longer message counts as garbled
TAG_CONTROL_OID = b"1.3.6.1.4.1.32473.1.1"  # OID of the control that carries a request's tag
POSITION_ATTRIBUTE = b"contextCSN"  # the attribute that probes read
OPERATIONS = {0x63: "search", 0x66: "modify", 0x68: "add", 0x4A: "delete", 0x6C: "modifydn", 0x6E: "compare"}
ABANDON = 0x50
_SEQUENCE, _INTEGER, _OCTET_STRING, _CONTROLS = 0x30, 0x02, 0x04, 0xA0


@dataclass(slots=True, frozen=True)
class Message:
    """One complete message: the time of its first octet, its number, and its operation."""

    at: float
    number: int
    operation: str  # one of ``OPERATIONS``, "probe" or "abandon"; "" for any other
    tag: str = ""
    target: int = 0  # of "abandon": the number of the message to cancel


class GarbledError(ValueError):
    """The octets are not an LDAP message."""


class MessageReader:
    """Splits one direction of a connection into messages. Returns none after the stream is garbled."""

    def __init__(self) -> None:
        self._buffer = b""
        self._first_octet_at = 0.0  # when the first octet of ``_buffer`` arrived
        self.garbled = False

    def push(self, at: float, data: bytes) -> list[Message]:
        """Adds octets that arrived at this time (s) and returns the messages that they complete."""
        found: list[Message] = []
        if self.garbled or not data:
            return found
        if not self._buffer:
            self._first_octet_at = at
        self._buffer += data
        try:
            while (length := _message_length(self._buffer)) is not None:
                frame, self._buffer = self._buffer[:length], self._buffer[length:]
                found.append(_message(self._first_octet_at, frame))
                self._first_octet_at = at  # the next message begins in this chunk
        except ValueError:  # GarbledError, or too few elements for a message
            self.garbled, self._buffer = True, b""
        return found


def _message_length(data: bytes) -> int | None:
    """The length of the first message, or None if it is incomplete. Raises ``GarbledError``."""
    if data[:1] and data[0] != _SEQUENCE:
        raise GarbledError("message does not begin with a SEQUENCE tag")
    header = _header(data, 0)
    if header is None:
        return None
    start, length = header
    if start + length > MAX_MESSAGE_OCTETS:
        raise GarbledError("message exceeds the size limit")
    return start + length if len(data) >= start + length else None


def _header(data: bytes, at: int) -> tuple[int, int] | None:
    """The offset and length of the value of the element at ``at``, or None if its header is incomplete."""
    if len(data) < at + 2:
        return None
    first = data[at + 1]
    if first < 0x80:
        return at + 2, first
    count = first & 0x7F
    if not 1 <= count <= 4:
        raise GarbledError("unsupported form of length")
    if len(data) < at + 2 + count:
        return None
    return at + 2 + count, int.from_bytes(data[at + 2 : at + 2 + count], "big")


def _elements(data: bytes) -> list[tuple[int, bytes]]:
    """The tag and value of consecutive elements. Raises ``GarbledError``."""
    found, at = [], 0
    while at < len(data):
        header = _header(data, at)
        if header is None or sum(header) > len(data):
            raise GarbledError("element is truncated")
        found.append((data[at], data[header[0] : sum(header)]))
        at = sum(header)
    return found


def _message(at: float, frame: bytes) -> Message:
    (_, body), *_ = _elements(frame)
    number, operation, *more = _elements(body)
    if number[0] != _INTEGER or not number[1]:
        raise GarbledError("message has no message ID")
    if operation[0] == ABANDON:
        return Message(at, int.from_bytes(number[1], "big"), "abandon", target=int.from_bytes(operation[1], "big"))
    tag = next((_tag(value) for kind, value in more if kind == _CONTROLS), "")
    name = OPERATIONS.get(operation[0], "")
    if name == "search" and not tag and POSITION_ATTRIBUTE in operation[1]:
        name = "probe"
    return Message(at, int.from_bytes(number[1], "big"), name, tag)


def _tag(controls: bytes) -> str:
    """The value of the control that carries the request's tag."""
    for _, control in _elements(controls):
        fields = _elements(control)
        if (
            fields
            and fields[0] == (_OCTET_STRING, TAG_CONTROL_OID)
            and fields[-1][0] == _OCTET_STRING
            and len(fields) > 1
        ):
            return fields[-1][1].decode(errors="replace")
    return ""
