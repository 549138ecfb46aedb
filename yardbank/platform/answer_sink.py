"""Passes the gateway's final answer of one request to the client connection that asked."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yardbank.gateway.api import MS
from yardbank.platform import client
from yardbank.platform.pipeline import Command
from yardbank.platform.statement import Operation

if TYPE_CHECKING:
    from yardbank.platform.connection import ClientConnection


class AnswerSink:
    """Receives the result of one request and passes it to the command that asked."""

    __slots__ = ("_command", "_connection", "_operation")

    def __init__(self, connection: ClientConnection, command: Command, operation: Operation) -> None:
        self._connection = connection
        self._command = command
        self._operation = operation

    def part(self, payload: Any) -> None:
        """Ignored: answers are passed on only when they are complete."""

    def served(self, payload: bytes) -> None:
        """Passes on the rows that a server returned."""
        self._connection.answer(self._command, client.encode_result(payload))

    def refused(self, retry_after: int, reason: str) -> None:
        """Passes on that nothing ran; ``retry_after``: ns."""
        self._operation.refused = True
        self._connection.answer(self._command, client.encode_refusal(retry_after // MS, reason))

    def failed(self, reason: str) -> None:
        """The request may have run. If it was never sent it cannot have run, and the client is told so."""
        if self._operation.sent:
            self._connection.answer(self._command, client.encode_failure(reason))
            return
        factory = self._connection.factory
        factory.counts["failed_unsent"] += 1
        self._connection.answer(self._command, client.encode_refusal(factory.retry_after_ms, reason))
