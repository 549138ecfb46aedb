"""The two ends of an LDAP connection as state machines without I/O (RFC 4511 sections 4.1.1, 4.11, 5)."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.directory.codes import Code
from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError, Framer

FINAL = frozenset((m.Tag.DONE, *m.RESULT_TAGS))


@dataclass(slots=True)
class Asked:
    """A request that is owed one final answer."""

    message: m.Message
    raw: codec.Envelope


@dataclass(slots=True, frozen=True)
class Abandoned:
    """The client wants no answer to an earlier request any more."""

    target: int


@dataclass(slots=True, frozen=True)
class Closed:
    """Unbind: the client is done."""


@dataclass(slots=True, frozen=True)
class Broken:
    """The client broke the protocol; ``notice`` is to be sent and the connection closed."""

    reason: str
    notice: bytes


ServerEvent = Asked | Abandoned | Closed | Broken


def notice_of_disconnection(code: int, reason: str) -> bytes:
    """The unsolicited notice that goes before a server closes (section 4.4.1)."""
    result = m.Result(m.Tag.EXTENDED_RESPONSE, code, diagnostic=reason, oid=m.Oid.NOTICE_OF_DISCONNECTION)
    return codec.encode(m.Message(0, result))


def lasting(operation: m.Request | m.Response) -> str | None:
    """Why an operation can neither be abandoned nor cancelled (RFC 4511 section 4.11, RFC 3909 section 2.2)."""
    if isinstance(operation, m.BindRequest):
        return "a bind runs to its end"
    if isinstance(operation, m.ExtendedRequest) and operation.oid in (m.Oid.START_TLS, m.Oid.CANCEL):
        return f"{operation.oid} runs to its end"
    return None


class ServerEnd:
    """The end that takes requests: frames, decodes, and knows which message IDs are outstanding."""

    def __init__(self, max_message: int = 4 << 20, max_outstanding: int = 1000) -> None:
        self._framer = Framer(max_message)
        self._most = max_outstanding
        self._outstanding: dict[int, bool] = {}  # whether it may be abandoned
        self._over = False
        self.received = 0  # octets

    @property
    def outstanding(self) -> frozenset[int]:
        """Message IDs that are owed an answer."""
        return frozenset(self._outstanding)

    def receive(self, data: bytes) -> list[ServerEvent]:
        """Take bytes in any split; nothing is read after the connection is over."""
        events: list[ServerEvent] = []
        self.received += len(data)
        if self._over:
            return events
        try:
            frames = self._framer.feed(data)
            for frame in frames:
                self._one(frame, events)
                if self._over:
                    break
        except BerError as problem:
            self._break(events, str(problem))
        return events

    def _one(self, frame: bytes, events: list[ServerEvent]) -> None:
        raw = codec.open_envelope(frame)
        operation = codec.decode_operation(raw.operation)
        if isinstance(operation, m.Response):
            return self._break(events, "a response where a request is due")
        if isinstance(operation, m.UnbindRequest):
            self._over = True
            events.append(Closed())
        elif isinstance(operation, m.AbandonRequest):
            if self._outstanding.get(operation.target):  # others are ignored, as section 4.11 asks
                del self._outstanding[operation.target]
                events.append(Abandoned(operation.target))
        elif raw.id == 0:
            self._break(events, "messageID: 0 is the server's own")
        elif raw.id in self._outstanding:
            self._break(events, f"messageID: {raw.id} is in use")
        elif len(self._outstanding) >= self._most:
            self._break(events, f"more than {self._most} operations outstanding", Code.BUSY)
        else:
            message = m.Message(raw.id, operation, control_codec.decode_controls(raw.controls))
            self._outstanding[raw.id] = lasting(operation) is None
            events.append(Asked(message, raw))
        return None

    def _break(self, events: list[ServerEvent], reason: str, code: int = Code.PROTOCOL_ERROR) -> None:
        self._over = True
        events.append(Broken(reason, notice_of_disconnection(code, reason)))

    def owes(self, number: int) -> bool:
        """Whether an answer to this message may still be sent."""
        return number in self._outstanding and not self._over

    def part(self, number: int, envelope: codec.Envelope) -> bytes:
        """One entry, reference or intermediate response, passed on; empty if none may be sent any more."""
        return envelope.with_id(number) if self.owes(number) else b""

    def final(self, number: int, result: m.Result | codec.Envelope, controls: tuple[m.Control, ...] = ()) -> bytes:
        """The one final answer; empty if it was given, or is not wanted any more."""
        if not self.owes(number):
            return b""
        del self._outstanding[number]
        if isinstance(result, codec.Envelope):
            return result.with_id(number)
        return codec.encode(m.Message(number, result, controls))

    def close(self) -> None:
        """Nothing is taken or sent any more."""
        self._over = True
        self._outstanding.clear()


@dataclass(slots=True)
class Answered:
    """A response to one of our requests; ``final`` says that it was the last."""

    id: int
    raw: codec.Envelope
    final: bool


@dataclass(slots=True, frozen=True)
class Disconnecting:
    """The server announces that it closes."""

    reason: str


ClientEvent = Answered | Disconnecting


class ClientEnd:
    """The end that asks: numbers requests, and tells whose answer has come."""

    def __init__(self, max_message: int = 16 << 20) -> None:
        self._framer = Framer(max_message)
        self._next = 0
        self._asked: dict[int, int] = {}  # what is outstanding, with the tag of its final answer
        self._dropped: dict[int, None] = {}

    @property
    def outstanding(self) -> int:
        """Requests without their final answer."""
        return len(self._asked)

    def ask(self, operation: bytes, tag: int, controls: bytes = b"") -> tuple[int, bytes]:
        """Number a request that is already encoded; ``tag`` is that of the request."""
        while True:
            self._next = self._next % 0x7FFFFFFF + 1
            if self._next not in self._asked and self._next not in self._dropped:
                break
        self._asked[self._next] = _FINAL_TAG[tag]
        return self._next, codec.Envelope(self._next, tag, operation, controls).with_id(self._next)

    def abandon(self, number: int) -> bytes:
        """Drop an outstanding request; the server is told (section 4.11). Empty if it has ended."""
        if self._asked.pop(number, None) is None:
            return b""
        self._dropped[number] = None
        if len(self._dropped) > 1000:  # its answer may never come: an old number is free again
            del self._dropped[next(iter(self._dropped))]
        self._next = self._next % 0x7FFFFFFF + 1
        return codec.encode(m.Message(self._next, m.AbandonRequest(number)))

    def receive(self, data: bytes) -> list[ClientEvent]:
        """Take bytes in any split. Raises ``BerError`` where the server breaks the protocol."""
        events: list[ClientEvent] = []
        for frame in self._framer.feed(data):
            raw = codec.open_envelope(frame)
            if raw.id == 0:
                notice = codec.decode_operation(raw.operation)
                events.append(Disconnecting(getattr(notice, "diagnostic", "")))
                continue
            due = self._asked.get(raw.id)
            if due is None:
                if raw.id in self._dropped:  # the late answer to something abandoned
                    if raw.tag in FINAL:
                        del self._dropped[raw.id]
                    continue
                raise BerError(f"messageID: {raw.id} was never asked")
            if raw.tag == due:
                del self._asked[raw.id]
                events.append(Answered(raw.id, raw, True))
            elif (raw.tag in (m.Tag.ENTRY, m.Tag.REFERENCE) and due == m.Tag.DONE) or raw.tag == m.Tag.INTERMEDIATE:
                events.append(Answered(raw.id, raw, False))
            else:
                raise BerError(f"protocolOp: tag 0x{raw.tag:02x} answers another kind of request")
        return events


_FINAL_TAG = {
    int(m.Tag.BIND): int(m.Tag.BIND_RESPONSE),
    int(m.Tag.SEARCH): int(m.Tag.DONE),
    int(m.Tag.MODIFY): int(m.Tag.MODIFY_RESPONSE),
    int(m.Tag.ADD): int(m.Tag.ADD_RESPONSE),
    int(m.Tag.DELETE): int(m.Tag.DELETE_RESPONSE),
    int(m.Tag.MODIFY_DN): int(m.Tag.MODIFY_DN_RESPONSE),
    int(m.Tag.COMPARE): int(m.Tag.COMPARE_RESPONSE),
    int(m.Tag.EXTENDED): int(m.Tag.EXTENDED_RESPONSE),
}
