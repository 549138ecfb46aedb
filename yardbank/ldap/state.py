"""Both ends of an LDAP connection as protocol state machines without I/O (RFC 4511 sections 4.1.1, 4.11, 5)."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.directory.codes import Code
from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError, Framer

FINAL_TAGS = frozenset((m.Tag.DONE, *m.RESULT_TAGS))


@dataclass(slots=True)
class Asked:
    """A request that requires one final response."""

    message: m.Message
    raw: codec.Envelope


@dataclass(slots=True, frozen=True)
class Abandoned:
    """The client abandoned an earlier request."""

    target: int


@dataclass(slots=True, frozen=True)
class Closed:
    """The client sent an Unbind."""


@dataclass(slots=True, frozen=True)
class Broken:
    """The client violated the protocol; ``notice`` is to be sent and the connection closed."""

    reason: str
    notice: bytes


ServerEvent = Asked | Abandoned | Closed | Broken


def notice_of_disconnection(code: int, reason: str) -> bytes:
    """Encodes the notice of disconnection that a server sends before it closes (section 4.4.1)."""
    result = m.Result(m.Tag.EXTENDED_RESPONSE, code, diagnostic=reason, oid=m.Oid.NOTICE_OF_DISCONNECTION)
    return codec.encode(m.Message(0, result))


def uncancellable_reason(operation: m.Request | m.Response) -> str | None:
    """Why an operation cannot be abandoned or cancelled, or None (RFC 4511 section 4.11, RFC 3909 section 2.2)."""
    if isinstance(operation, m.BindRequest):
        return "a bind runs to its end"
    if isinstance(operation, m.ExtendedRequest) and operation.oid in (m.Oid.START_TLS, m.Oid.CANCEL):
        return f"{operation.oid} runs to its end"
    return None


class ServerEnd:
    """The end that receives requests: splits and decodes messages and tracks outstanding message IDs."""

    def __init__(self, max_message: int = 4 << 20, max_outstanding: int = 1000) -> None:
        self._framer = Framer(max_message)
        self._max_outstanding = max_outstanding
        self._outstanding: dict[int, bool] = {}  # by message ID: whether it may be abandoned
        self._ended = False
        self.received = 0  # octets in total

    @property
    def outstanding(self) -> frozenset[int]:
        """Message IDs of the requests without a final response."""
        return frozenset(self._outstanding)

    @property
    def pending(self) -> int:
        """Buffered octets of an incomplete message."""
        return self._framer.pending

    def receive(self, data: bytes) -> list[ServerEvent]:
        """Processes received bytes, however they are split; bytes after the end of the connection are ignored."""
        events: list[ServerEvent] = []
        self.received += len(data)
        if self._ended:
            return events
        try:
            frames = self._framer.feed(data)
            for frame in frames:
                self._handle_frame(frame, events)
                if self._ended:
                    break
        except BerError as problem:
            self._violation(events, str(problem))
        return events

    def _handle_frame(self, frame: bytes, events: list[ServerEvent]) -> None:
        raw = codec.open_envelope(frame)
        operation = codec.decode_operation(raw.operation)
        if isinstance(operation, m.Response):
            return self._violation(events, "a response where a request is due")
        if isinstance(operation, m.UnbindRequest):
            self._ended = True
            events.append(Closed())
        elif isinstance(operation, m.AbandonRequest):
            if self._outstanding.get(operation.target):  # others are ignored, as section 4.11 requires
                del self._outstanding[operation.target]
                events.append(Abandoned(operation.target))
        elif raw.id == 0:
            self._violation(events, "messageID: 0 is the server's own")
        elif raw.id in self._outstanding:
            self._violation(events, f"messageID: {raw.id} is in use")
        elif len(self._outstanding) >= self._max_outstanding:
            self._violation(events, f"more than {self._max_outstanding} operations outstanding", Code.BUSY)
        else:
            message = m.Message(raw.id, operation, control_codec.decode_controls(raw.controls))
            self._outstanding[raw.id] = uncancellable_reason(operation) is None
            events.append(Asked(message, raw))
        return None

    def _violation(self, events: list[ServerEvent], reason: str, code: int = Code.PROTOCOL_ERROR) -> None:
        self._ended = True
        events.append(Broken(reason, notice_of_disconnection(code, reason)))

    def owes(self, number: int) -> bool:
        """Whether a response to this message may still be sent."""
        return number in self._outstanding and not self._ended

    def part(self, number: int, envelope: codec.Envelope) -> bytes:
        """Encodes an entry, reference or intermediate response; empty if none may be sent any more."""
        return envelope.with_id(number) if self.owes(number) else b""

    def final(self, number: int, result: m.Result | codec.Envelope, controls: tuple[m.Control, ...] = ()) -> bytes:
        """Encodes the final response; empty if it was already sent or the request was abandoned."""
        if not self.owes(number):
            return b""
        del self._outstanding[number]
        if isinstance(result, codec.Envelope):
            return result.with_id(number)
        return codec.encode(m.Message(number, result, controls))

    def close(self) -> None:
        """Ends the connection: nothing is received or sent any more."""
        self._ended = True
        self._framer.clear()
        self._outstanding.clear()


@dataclass(slots=True)
class Answered:
    """A response to a request of this end; ``final`` marks the last one."""

    id: int
    raw: codec.Envelope
    final: bool


@dataclass(slots=True, frozen=True)
class Disconnecting:
    """The server sent a notice of disconnection."""

    reason: str


ClientEvent = Answered | Disconnecting


class ClientEnd:
    """The end that sends requests: assigns message IDs and matches responses to requests."""

    def __init__(self, max_message: int = 16 << 20) -> None:
        self._framer = Framer(max_message)
        self._last_id = 0
        self._outstanding_tags: dict[int, int] = {}  # by message ID: the tag of the final response
        self._abandoned: dict[int, None] = {}

    @property
    def outstanding(self) -> int:
        """Number of requests without a final response."""
        return len(self._outstanding_tags)

    def ask(self, operation: bytes, tag: int, controls: bytes = b"") -> tuple[int, bytes]:
        """Assigns a message ID to an encoded request, whose tag is ``tag``; returns the ID and the bytes to send."""
        while True:
            self._last_id = self._last_id % 0x7FFFFFFF + 1
            if self._last_id not in self._outstanding_tags and self._last_id not in self._abandoned:
                break
        self._outstanding_tags[self._last_id] = _FINAL_TAG_OF[tag]
        return self._last_id, codec.Envelope(self._last_id, tag, operation, controls).with_id(self._last_id)

    def abandon(self, number: int) -> bytes:
        """Drops an outstanding request; returns the Abandon to send (section 4.11), empty if the request has ended."""
        if self._outstanding_tags.pop(number, None) is None:
            return b""
        self._abandoned[number] = None
        if len(self._abandoned) > 1000:  # its response may never come: the oldest ID may be reused
            del self._abandoned[next(iter(self._abandoned))]
        self._last_id = self._last_id % 0x7FFFFFFF + 1
        return codec.encode(m.Message(self._last_id, m.AbandonRequest(number)))

    def receive(self, data: bytes) -> list[ClientEvent]:
        """Processes received bytes, however they are split. Raises ``BerError`` if the server violates the protocol."""
        events: list[ClientEvent] = []
        for frame in self._framer.feed(data):
            raw = codec.open_envelope(frame)
            if raw.id == 0:
                notice = codec.decode_operation(raw.operation)
                events.append(Disconnecting(getattr(notice, "diagnostic", "")))
                continue
            final_tag = self._outstanding_tags.get(raw.id)
            if final_tag is None:
                if raw.id in self._abandoned:  # a late response to an abandoned request
                    if raw.tag in FINAL_TAGS:
                        del self._abandoned[raw.id]
                    continue
                raise BerError(f"messageID: {raw.id} was never asked")
            if raw.tag == final_tag:
                del self._outstanding_tags[raw.id]
                events.append(Answered(raw.id, raw, True))
            elif (
                raw.tag in (m.Tag.ENTRY, m.Tag.REFERENCE) and final_tag == m.Tag.DONE
            ) or raw.tag == m.Tag.INTERMEDIATE:
                events.append(Answered(raw.id, raw, False))
            else:
                raise BerError(f"protocolOp: tag 0x{raw.tag:02x} answers another kind of request")
        return events


_FINAL_TAG_OF = {
    int(m.Tag.BIND): int(m.Tag.BIND_RESPONSE),
    int(m.Tag.SEARCH): int(m.Tag.DONE),
    int(m.Tag.MODIFY): int(m.Tag.MODIFY_RESPONSE),
    int(m.Tag.ADD): int(m.Tag.ADD_RESPONSE),
    int(m.Tag.DELETE): int(m.Tag.DELETE_RESPONSE),
    int(m.Tag.MODIFY_DN): int(m.Tag.MODIFY_DN_RESPONSE),
    int(m.Tag.COMPARE): int(m.Tag.COMPARE_RESPONSE),
    int(m.Tag.EXTENDED): int(m.Tag.EXTENDED_RESPONSE),
}
