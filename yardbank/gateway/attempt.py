"""One attempt on its way to a server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from yardbank.gateway.api import Reply

if TYPE_CHECKING:
    from yardbank.gateway.send_check import SendCheck
    from yardbank.gateway.server_link import ServerLink


class Attempt:
    """One attempt on its way to a server. Ends once, whatever happens; a ``Receiver`` of its connection."""

    __slots__ = (
        "_ended",
        "check",
        "link",
        "list_seen",
        "number",
        "on_end",
        "on_part",
        "operation",
        "sent_at",
        "slot",
        "timer",
        "until",
    )

    def __init__(
        self,
        operation: Any,
        sent_at: int,
        on_part: Callable[[Any, int], None],
        on_end: Callable[[str, Reply | None, str], None],
        check: Callable[[Attempt], SendCheck | None] = lambda attempt: None,
        list_seen: int = 0,
    ) -> None:
        self.operation = operation
        self.sent_at = sent_at
        self.on_part = on_part
        self.on_end = on_end
        self.check = check  # asked right before it is written
        self.list_seen = list_seen  # how many lists the module had been given when it decided on the attempt
        self.until = 0  # it is of no use from then on (ns)
        self.slot: int | None = None
        self.number: int | None = None  # on its connection, once it has gone out
        self.timer: int | None = None
        self.link: ServerLink | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether its end was reported."""
        return self._ended

    @property
    def gone_out(self) -> bool:
        """Whether it may have reached the server."""
        return self.number is not None

    def attempt_part(self, payload: Any, size: int) -> None:
        """A part of the answer came."""
        if not self._ended:
            self.on_part(payload, size)

    def attempt_done(self, reply: Reply) -> None:
        """The answer is whole."""
        self.end(reply.status, reply, reply.reason, answered=True)

    def attempt_lost(self, reason: str) -> None:
        """The connection went."""
        self.end("reset" if self.gone_out else "connect_failed", None, reason)

    def end(self, status: str, reply: Reply | None, reason: str, answered: bool = False) -> None:
        """Report the end, once."""
        if self._ended:
            return
        self._ended = True
        if self.link is not None:
            self.link.release(self, answered)
        self.on_end(status, reply, reason)
