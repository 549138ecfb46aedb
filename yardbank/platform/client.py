"""One client connection of the platform as a state machine without I/O: framing, statements, the commands in order.

How commands are worked on together and answered in order is ``pipeline``'s; here they are read and checked.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yardbank.interface import RequestClass
from yardbank.pg import messages as pg
from yardbank.pg.state import Broken, LetIn, ServerEnd
from yardbank.pg.state import Pipeline as Messages
from yardbank.pg.wire import Frame
from yardbank.platform.admission import State
from yardbank.platform.pipeline import Command, Pipeline
from yardbank.platform.statement import Operation, StatementError, read_statement

MAX_MESSAGE = 160 << 10  # a value of 64 KiB in hexadecimal, and what stands around it
WELCOME = {"server_version": "16.0 (yardbank)", "client_encoding": "UTF8", "standard_conforming_strings": "on"}
READY = Frame(ord("Z"), b"I").encode()
EMPTY = Frame(ord("I"), b"").encode() + READY
# Commands of one connection that are not answered in their turn yet: at either bound no more is read.
MAX_QUEUED, MAX_QUEUED_OCTETS = 256, 256 << 10
RESUME_QUEUED, RESUME_OCTETS = MAX_QUEUED // 2, MAX_QUEUED_OCTETS // 2  # below both it is read again
COPIES = 2  # of a query's octets that are kept: as read, and as sent on
COMMAND_MEMORY = 1024  # octets that a command occupies besides its text


@dataclass(slots=True, frozen=True)
class Received:
    """What octets of a client brought."""

    output: bytes  # to be written at once
    hurried: list[Command]  # that are due earlier than they were, because of what came behind them


class ClientSession:
    """What one client sends, in order.

    ``request_classes``: classes by name. ``open_ids``: the clients' own numbers of requests that are not answered, of
    all connections; a statement with one of them is refused.
    """

    __slots__ = ("_end", "_open_ids", "_refused", "_request_classes", "left", "pipeline")

    def __init__(self, request_classes: Mapping[str, RequestClass], open_ids: set[str]) -> None:
        self._end = ServerEnd(MAX_MESSAGE, trusted=WELCOME, simple=True)
        self._request_classes = request_classes
        self._open_ids = open_ids
        self._refused = False  # something cannot be served: nothing behind it is
        self.pipeline = Pipeline()
        self.left = False  # it has gone, or said so: it is owed nothing

    @property
    def full(self) -> bool:
        """Whether so much waits that no more is to be read."""
        return len(self.pipeline) >= MAX_QUEUED or self.pipeline.unanswered_octets >= MAX_QUEUED_OCTETS

    @property
    def roomy(self) -> bool:
        """Whether so little waits that reading goes on."""
        return len(self.pipeline) <= RESUME_QUEUED and self.pipeline.unanswered_octets <= RESUME_OCTETS

    @property
    def occupied(self) -> int:
        """Octets of memory that the client's commands and their answers occupy, with what was read of the next."""
        return self._occupied_by_commands() + self._end.waiting

    @property
    def wanted(self) -> int:
        """The same once the message under way is a command."""
        return self._occupied_by_commands() + COPIES * self._end.announced

    def _occupied_by_commands(self) -> int:
        pipeline = self.pipeline
        return COMMAND_MEMORY * len(pipeline) + COPIES * pipeline.unanswered_octets + pipeline.held_octets

    def receive(self, data: bytes, now: int) -> Received:
        """Take octets in any split; the time of each command that they complete counts from ``now`` (ns)."""
        hurried: list[Command] = []
        for event in () if self.left else self._end.receive(data):
            if isinstance(event, Messages):
                message = event.messages[0]
                assert isinstance(message, pg.Query)
                hurried += self._query(message.text, now)
            elif isinstance(event, Broken):
                self._refuse(event.reason, event.last)
            elif not isinstance(event, LetIn):  # Terminate or a CancelRequest
                self.left = True
        return Received(self._end.take_output(), hurried)

    def leave(self) -> list[Command]:
        """The client has gone: nothing that it sent is taken up any more. Returns what it had not been answered."""
        self.left = True
        unanswered = self.pipeline.clear()
        for command in unanswered:
            self._close(command)
        return unanswered

    def answered(self, command: Command, answer: bytes) -> None:
        """A command has its whole answer."""
        self._close(command)
        self.pipeline.answered(command, answer)

    def state(self) -> State:
        """What the connection is about."""
        if len(self.pipeline):
            return State.BUSY
        if not self._end.open:
            return State.NEW
        return State.PARTIAL if self._end.waiting else State.IDLE

    def _query(self, text: str, now: int) -> list[Command]:
        """Take one query. Returns the commands before it that are due earlier because of it."""
        if self._refused:
            return []
        if not text.strip(" \t\r\n;"):
            self.pipeline.add_answered(EMPTY)
            return []
        try:
            statement = read_statement(text, self._request_classes)
            if statement.id in self._open_ids:
                raise StatementError("id: another open request has it")
        except StatementError as problem:
            self._refuse(str(problem), rejected(str(problem)))
            return []
        self._open_ids.add(statement.id)
        expires = now + min(statement.request_class.deadline, statement.time_limit)
        return self.pipeline.add(Operation(statement, expires), _octets(text), now)

    def _refuse(self, reason: str, last: bytes) -> None:
        """The connection ends once all before this is answered; what comes behind it is not read any more."""
        if not self._refused:
            self._refused = True
            self.pipeline.add_answered(last, reason)

    def _close(self, command: Command) -> None:
        """A command is not open any more."""
        if command.operation is not None:
            self._open_ids.discard(command.operation.statement.id)


def _octets(query: str) -> int:
    return len(query) if query.isascii() else len(query.encode())


def served(rows: bytes) -> bytes:
    """The answer that carries what a database server gave."""
    return rows + READY


def refused(retry_after_ms: int, reason: str) -> bytes:
    """Trying again is harmless, after so many milliseconds (0: nothing is said)."""
    return _refusal("ERROR", "53300", retry_after_ms, reason) + READY


def _refusal(severity: str, code: str, retry_after_ms: int, reason: str) -> bytes:
    fields = [("S", severity), ("V", severity), ("C", code), ("M", reason)]
    if retry_after_ms > 0:
        fields.append(("D", str(retry_after_ms)))
    return pg.write_fault(pg.Fault(tuple(fields))).encode()


def failed(reason: str) -> bytes:
    """Nothing is promised either way."""
    return pg.error("58000", reason).encode() + READY


def rejected(reason: str) -> bytes:
    """The last word to a client that sent what cannot be served."""
    return pg.error("42601", reason, severity="FATAL").encode()


def full(retry_after_ms: int, reason: str) -> bytes:
    """The last word to a connection for which there is no room: nothing ran, and trying again is harmless."""
    return _refusal("FATAL", "53300", retry_after_ms, reason)


def turned_away(retry_after_ms: int, reason: str) -> bytes:
    """The last word to a connection that is let go with nothing of it open: what may be on its way to it never ran."""
    return _refusal("FATAL", "57P03", retry_after_ms, reason)
