"""State machine without I/O for one client connection of the platform: framing, statements, commands in order.

Queries are read and checked here; ``pipeline`` works on several commands at once and answers them in order.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yardbank.interface import Effect, RequestClass
from yardbank.pg import messages as pg
from yardbank.pg.state import Broken, Discarded, LetIn, ServerEnd
from yardbank.pg.state import Pipeline as Messages
from yardbank.pg.wire import Frame
from yardbank.platform.admission import State
from yardbank.platform.memory_budget import GUARANTEED_OCTETS, Reservation
from yardbank.platform.pipeline import Command, Pipeline
from yardbank.platform.recent_effects import RecentEffects
from yardbank.platform.statement import Operation, StatementError, read_statement

MAX_MESSAGE_OCTETS = 160 << 10  # a value of 64 KiB in hexadecimal and the text around it
SERVER_PARAMETERS = {
    "server_version": "16.0 (yardbank)",
    "client_encoding": "UTF8",
    "standard_conforming_strings": "on",
}
READY_FOR_QUERY = Frame(ord("Z"), b"I").encode()
PRESENCE_PROBE = pg.write_parameter("client_encoding", SERVER_PARAMETERS["client_encoding"]).encode()
EMPTY_QUERY_ANSWER = Frame(ord("I"), b"").encode() + READY_FOR_QUERY
# Commands of one connection whose answers are not written yet; reading pauses at either limit.
MAX_QUEUED, MAX_QUEUED_OCTETS = 256, 256 << 10
RESUME_QUEUED, RESUME_QUEUED_OCTETS = MAX_QUEUED // 2, MAX_QUEUED_OCTETS // 2  # reading resumes below both
READ_SIZE = 4 << 10  # octets read at a time, other than the rest of a message whose size is known
MAX_READ_SIZE = 64 << 10
QUERY_COPIES = 2  # copies kept of a query's octets: as read, and as sent to the server
COMMAND_OCTETS = 1024  # octets of memory that a command uses besides its text


@dataclass(slots=True, frozen=True)
class Received:
    """Result of processing one message of a client."""

    output: bytes  # to be written at once
    expedited: list[Command]  # commands whose deadline was moved forward because of commands behind them


class ClientSession:
    """Reads the input of one client.

    ``request_classes``: classes by name. ``open_ids``: the client-chosen ids of unanswered requests, over all
    connections; a statement that reuses one is rejected. ``recent_effects``: ids of requests that may have taken
    effect, over all connections; another one that would take effect fails, as it may have run.
    """

    __slots__ = (
        "_arrived",
        "_discard_answer",
        "_end",
        "_last_received",
        "_open_ids",
        "_recent_effects",
        "_rejected_input",
        "_request_classes",
        "client_left",
        "pipeline",
    )

    def __init__(
        self, request_classes: Mapping[str, RequestClass], open_ids: set[str], recent_effects: RecentEffects
    ) -> None:
        self._end = ServerEnd(MAX_MESSAGE_OCTETS, trusted=SERVER_PARAMETERS, simple=True)
        self._request_classes = request_classes
        self._open_ids = open_ids
        self._recent_effects = recent_effects
        self._arrived = 0  # when the buffered octets arrived, at the earliest (ns)
        self._last_received = 0  # when octets were last received (ns)
        self._discard_answer = b""  # to the message that is being discarded
        self._rejected_input = False  # some input was rejected: nothing after it is served
        self.pipeline = Pipeline()
        self.client_left = False  # the client has disconnected or sent Terminate: it gets no more answers

    @property
    def is_full(self) -> bool:
        """Whether so much is queued that reading must pause."""
        return len(self.pipeline) >= MAX_QUEUED or self.pipeline.unanswered_octets >= MAX_QUEUED_OCTETS

    @property
    def may_resume(self) -> bool:
        """Whether so little is queued that reading may resume."""
        return len(self.pipeline) <= RESUME_QUEUED and self.pipeline.unanswered_octets <= RESUME_QUEUED_OCTETS

    @property
    def occupied_octets(self) -> int:
        """Memory in octets that the client's commands, their answers and the next message, as far as read, occupy."""
        return self._command_octets() + self._end.waiting

    @property
    def has_large_message(self) -> bool:
        """Whether the first buffered message needs more than is guaranteed to a connection."""
        return self._end.open and self._message_octets() > GUARANTEED_OCTETS

    def memory_to_queue(self) -> Reservation:
        """Returns what is needed to receive the first buffered message completely and to queue its command."""
        announced = self._end.announced
        behind = max(0, self._end.waiting - announced)
        return self._reservation(self._command_octets() + self._message_octets() + behind)

    def memory_to_read(self) -> Reservation:
        """Returns the same, but with what one read may add. An idle connection needs nothing beyond its guarantee."""
        occupied = self.occupied_octets
        if not occupied:
            return Reservation(0, 0)
        to_queue = self.memory_to_queue()
        return self._reservation(max(to_queue.wanted, occupied + READ_SIZE))

    def _reservation(self, wanted: int) -> Reservation:
        is_large = self.has_large_message
        last_received = self._last_received if is_large and not self._end.has_message else None
        return Reservation(self.occupied_octets, wanted, is_large, last_received)

    def _message_octets(self) -> int:
        """Memory in octets that the first buffered message needs once its command is queued."""
        announced = self._end.announced
        if not self._end.open or not announced:
            return announced
        return COMMAND_OCTETS + QUERY_COPIES * announced

    @property
    def read_size(self) -> int:
        """Octets to read at a time: what is missing of the message that is being received, within limits."""
        return min(MAX_READ_SIZE, max(READ_SIZE, self._end.missing))

    def discard_message(self, answer: bytes) -> None:
        """Drops the first buffered message, which is a large one; it gets ``answer`` once its last octet has come."""
        self._discard_answer = answer
        self._end.discard_message()

    @property
    def has_message(self) -> bool:
        """Whether a message was received completely and is not processed yet."""
        return self._end.has_message

    def _command_octets(self) -> int:
        pipeline = self.pipeline
        return COMMAND_OCTETS * len(pipeline) + QUERY_COPIES * pipeline.unanswered_octets + pipeline.held_octets

    def receive(self, data: bytes, now: int, arrived: int) -> None:
        """Buffers octets, split anywhere; the time limits of the commands that they complete count from ``arrived``.

        The caller processes all complete messages before it receives more, unless it lacks memory for them.
        """
        self._arrived = arrived
        self._last_received = now
        if not self.client_left:
            self._end.add(data)

    def process_message(self, now: int) -> Received | None:
        """Processes the first buffered message; returns None if no message is complete."""
        events = None if self.client_left else self._end.process_message()
        if events is None:
            return None
        expedited: list[Command] = []
        for event in events:
            if isinstance(event, Messages):
                message = event.messages[0]
                assert isinstance(message, pg.Query)
                expedited += self._query(message.text, now)
            elif isinstance(event, Discarded):
                self.pipeline.add_answered(self._discard_answer)
            elif isinstance(event, Broken):
                self._reject(event.reason, event.last)
            elif not isinstance(event, LetIn):  # Terminate or a CancelRequest
                self.client_left = True
        return Received(self._end.take_output(), expedited)

    def leave(self) -> list[Command]:
        """The client has gone: reads nothing further. Returns the commands that were not answered."""
        self.client_left = True
        unanswered = self.pipeline.clear()
        for command in unanswered:
            self._close(command)
        return unanswered

    def answered(self, command: Command, answer: bytes) -> None:
        """Takes the complete answer of a command."""
        self._close(command)
        self.pipeline.answered(command, answer)

    def state(self) -> State:
        """The connection's state, for admission."""
        if len(self.pipeline) or self.has_message:
            return State.BUSY
        if not self._end.open:
            return State.NEW
        return State.PARTIAL if self._end.waiting or self._end.discarding else State.IDLE

    def _query(self, text: str, now: int) -> list[Command]:
        """Queues one query. Returns the commands before it whose deadline was moved forward because of it."""
        if self._rejected_input:
            return []
        if not text.strip(" \t\r\n;"):
            self.pipeline.add_answered(EMPTY_QUERY_ANSWER)
            return []
        try:
            statement = read_statement(text, self._request_classes)
            if statement.id in self._open_ids:
                raise StatementError("id: another open request has it")
        except StatementError as problem:
            self._reject(str(problem), encode_rejection(str(problem)))
            return []
        if statement.request_class.effect != Effect.SAFE and self._recent_effects.is_repeated(statement.id):
            self.pipeline.add_answered(encode_failure("a request with this id may have run"))
            return []
        self._open_ids.add(statement.id)
        expires = self._arrived + min(statement.request_class.deadline, statement.time_limit)
        return self.pipeline.add(Operation(statement, expires), _encoded_size(text), now)

    def _reject(self, reason: str, last: bytes) -> None:
        """Ends the connection once everything before this is answered; later input is ignored."""
        if not self._rejected_input:
            self._rejected_input = True
            self.pipeline.add_answered(last, reason)

    def _close(self, command: Command) -> None:
        """Releases the id of a command that is no longer open; it is remembered if the command may have an effect."""
        if command.operation is None:
            return
        request_id = command.operation.statement.id
        self._open_ids.discard(request_id)
        if command.operation.may_have_effect:
            self._recent_effects.add(request_id)


def _encoded_size(query: str) -> int:
    return len(query) if query.isascii() else len(query.encode())


def encode_result(rows: bytes) -> bytes:
    """Encodes the rows that a database server returned."""
    return rows + READY_FOR_QUERY


def encode_refusal(retry_after_ms: int, reason: str) -> bytes:
    """Encodes a refusal: a retry is safe, after ``retry_after_ms`` (0: no delay is given)."""
    return _encode_retryable_error("ERROR", "53300", retry_after_ms, reason) + READY_FOR_QUERY


def _encode_retryable_error(severity: str, code: str, retry_after_ms: int, reason: str) -> bytes:
    fields = [("S", severity), ("V", severity), ("C", code), ("M", reason)]
    if retry_after_ms > 0:
        fields.append(("D", str(retry_after_ms)))
    return pg.write_fault(pg.Fault(tuple(fields))).encode()


def encode_failure(reason: str) -> bytes:
    """Encodes an error after which the request may or may not have run."""
    return pg.error("58000", reason).encode() + READY_FOR_QUERY


def encode_rejection(reason: str) -> bytes:
    """Encodes the final message to a client that sent what cannot be served."""
    return pg.error("42601", reason, severity="FATAL").encode()


def encode_no_capacity(retry_after_ms: int, reason: str) -> bytes:
    """Encodes the final message to a connection that is over the limit: nothing ran, and a retry is safe."""
    return _encode_retryable_error("FATAL", "53300", retry_after_ms, reason)


def encode_nothing_ran(retry_after_ms: int, reason: str) -> bytes:
    """Encodes the final message to a connection without open requests: requests still on their way never ran."""
    return _encode_retryable_error("FATAL", "57P03", retry_after_ms, reason)
