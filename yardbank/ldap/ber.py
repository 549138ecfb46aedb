"""Basic Encoding Rules as LDAP restricts them: definite lengths, one-byte tags (RFC 4511 section 5.1).

Works on bytes alone. Every length is checked against the available data before anything is copied.
"""

from __future__ import annotations

BOOLEAN, INTEGER, OCTETS, NULL, ENUMERATED, SEQUENCE, SET = 0x01, 0x02, 0x04, 0x05, 0x0A, 0x30, 0x31
CONSTRUCTED = 0x20


class BerError(ValueError):
    """The bytes are not an encoding that LDAP allows; the message names the field."""


_SHORT_HEADERS = [
    [bytes((tag, size)) for size in range(0x80)] for tag in range(0x100)
]  # headers of short elements, precomputed
OCTETS_HEADERS, SET_HEADERS, SEQUENCE_HEADERS = _SHORT_HEADERS[OCTETS], _SHORT_HEADERS[SET], _SHORT_HEADERS[SEQUENCE]


def tlv(tag: int, content: bytes) -> bytes:
    """Encodes one element: tag, shortest definite length, content."""
    size = len(content)
    if size < 0x80:
        return _SHORT_HEADERS[tag][size] + content
    width = (size.bit_length() + 7) >> 3
    return bytes((tag, 0x80 | width)) + size.to_bytes(width, "big") + content


def integer(value: int, tag: int = INTEGER) -> bytes:
    """Encodes a signed integer in the fewest octets."""
    if 0 <= value < 0x80:
        return _SHORT_HEADERS[tag][1] + _SHORT_HEADERS[value][0][:1]
    return tlv(tag, value.to_bytes((value if value >= 0 else ~value).bit_length() // 8 + 1, "big", signed=True))


def boolean(value: bool, tag: int = BOOLEAN) -> bytes:
    """Encodes a boolean; TRUE is 0xFF, as section 5.1 requires."""
    return bytes((tag, 1, 0xFF if value else 0))


def header(data: bytes, at: int, end: int) -> tuple[int, int, int]:
    """Reads one element's header: its tag, and the start and end offset of its content.

    Raises ``BerError`` where the element does not fit between ``at`` and ``end``.
    """
    if at + 2 > end:
        raise BerError("element is cut short")
    tag, size = data[at], data[at + 1]
    at += 2
    if size >= 0x80:
        width = size & 0x7F
        if width == 0:
            raise BerError("indefinite length is not allowed")
        if width > 8:
            raise BerError("length of more than eight octets")
        if at + width > end:
            raise BerError("length is cut short")
        size = int.from_bytes(data[at : at + width], "big")
        at += width
    if tag & 0x1F == 0x1F:
        raise BerError("tags of more than one octet are not allowed")
    stop = at + size
    if stop > end:
        raise BerError(f"element of {size} octets goes beyond its container")
    return tag, at, stop


def expect(data: bytes, at: int, end: int, tag: int, name: str) -> tuple[int, int]:
    """Bounds of the content of an element that must have the given tag. Errors name the field."""
    if at + 2 <= end and data[at] == tag:  # fast path: most elements have a short-form length
        size = data[at + 1]
        if size < 0x80 and at + 2 + size <= end:
            return at + 2, at + 2 + size
    if at >= end:
        raise BerError(f"{name}: missing")
    try:
        found, start, stop = header(data, at, end)
    except BerError as problem:
        raise BerError(f"{name}: {problem}") from None
    if found != tag:
        raise BerError(f"{name}: tag 0x{found:02x} in place of 0x{tag:02x}")
    return start, stop


def read_integer(data: bytes, start: int, stop: int, name: str, low: int = 0, high: int = 0x7FFFFFFF) -> int:
    """Reads an integer within bounds; by default LDAP's ``0 .. maxInt``."""
    if stop - start == 1 and data[start] < 0x80 and low <= data[start] <= high:
        return data[start]
    if not 1 <= stop - start <= 8:
        raise BerError(f"{name}: integer of {stop - start} octets")
    value = int.from_bytes(data[start:stop], "big", signed=True)
    if not low <= value <= high:
        raise BerError(f"{name}: {value} is not between {low} and {high}")
    return value


def read_boolean(data: bytes, start: int, stop: int, name: str) -> bool:
    """Reads a boolean; any octet but zero is TRUE."""
    if stop - start != 1:
        raise BerError(f"{name}: boolean of {stop - start} octets")
    return data[start] != 0


def text(data: bytes, start: int, stop: int, name: str) -> str:
    """Reads an LDAPString, which is UTF-8."""
    try:
        return data[start:stop].decode()
    except UnicodeDecodeError:
        raise BerError(f"{name}: not UTF-8") from None


class Framer:
    """Splits a byte stream into whole LDAPMessage elements, whatever the sizes of the reads.

    Buffers at most ``limit`` octets of an incomplete message; a longer one is rejected when its length is
    read, before any of its content is buffered.
    """

    def __init__(self, limit: int = 4 << 20) -> None:
        self.limit = limit
        self._buffer = bytearray()
        self._needed = 0  # octets of the incomplete message in all, once its length is known

    @property
    def pending(self) -> int:
        """Buffered octets of an incomplete message."""
        return len(self._buffer)

    def clear(self) -> None:
        """Drops what is buffered."""
        self._buffer.clear()
        self._needed = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes; returns the messages that are now complete, headers included."""
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed:
                return []
            data = bytes(self._buffer)
            self.clear()
        messages: list[bytes] = []
        at, end = 0, len(data)
        while at < end:
            stop = self._message_end(data, at, end)
            if stop is None or stop > end:
                self._buffer += data[at:end]
                self._needed = 0 if stop is None else stop - at
                break
            messages.append(data[at:stop])
            at = stop
        return messages

    def _message_end(self, data: bytes, at: int, end: int) -> int | None:
        if data[at] != SEQUENCE:
            raise BerError(f"message: tag 0x{data[at]:02x} in place of 0x30")
        if at + 2 > end:
            return None
        size = data[at + 1]
        at += 2
        if size >= 0x80:
            width = size & 0x7F
            if not 1 <= width <= 8:
                raise BerError("message: length is indefinite or over eight octets")
            if at + width > end:
                return None
            size = int.from_bytes(data[at : at + width], "big")
            at += width
        if size > self.limit:
            raise BerError(f"message: {size} octets, {self.limit} allowed")
        return at + size
