"""An attempt: one try of a request at one server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from yardbank.gateway.api import Reply

if TYPE_CHECKING:
    from yardbank.gateway.send_check import SendCheck
    from yardbank.gateway.server_link import ServerLink


class Attempt:
    """One try of a request at one server. Ends exactly once; receives the data of its connection (``Receiver``)."""

    __slots__ = (
        "_ended",
        "check",
        "link",
        "lists_handled",
        "number",
        "on_end",
        "on_part",
        "operation",
        "sent_at",
        "slot",
        "timer",
        "valid_until",
    )

    def __init__(
        self,
        operation: Any,
        sent_at: int,
        on_part: Callable[[Any, int], None],
        on_end: Callable[[str, Reply | None, str], None],
        check: Callable[[Attempt], SendCheck | None] = lambda attempt: None,
        lists_handled: int = 0,
    ) -> None:
        self.operation = operation
        self.sent_at = sent_at
        self.on_part = on_part
        self.on_end = on_end
        self.check = check  # called right before the attempt is written
        self.lists_handled = lists_handled  # server lists that the router had received when it decided on this
        self.valid_until = 0  # deadline (ns); a response is useless from then on
        self.slot: int | None = None
        self.number: int | None = None  # request number on its connection, set once it has been written
        self.timer: int | None = None
        self.link: ServerLink | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the end of the attempt has been reported."""
        return self._ended

    @property
    def was_written(self) -> bool:
        """Whether the attempt may have reached the server."""
        return self.number is not None

    def attempt_part(self, payload: Any, size: int) -> None:
        """Handle one part of the response."""
        if not self._ended:
            self.on_part(payload, size)

    def attempt_done(self, reply: Reply) -> None:
        """Handle the last part of the response."""
        self.end(reply.status, reply, reply.reason, answered=True)

    def attempt_lost(self, reason: str) -> None:
        """Handle the loss of the connection."""
        self.end("reset" if self.was_written else "connect_failed", None, reason)

    def end(self, status: str, reply: Reply | None, reason: str, answered: bool = False) -> None:
        """Release the connection slot and report the end of the attempt, once."""
        if self._ended:
            return
        self._ended = True
        if self.link is not None:
            self.link.release(self, answered)
        self.on_end(status, reply, reason)
