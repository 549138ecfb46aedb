"""State machine without I/O for a lingering close of a client connection.

Closing a socket that holds unread data resets the connection, and the client loses what was written last. The gateway
therefore shuts down only its sending side, once nothing is unread and everything is written. It then reads and discards
until the client closes too, or until a time or size limit is reached.
"""

from __future__ import annotations

from enum import Enum

from yardbank.gateway.api import MS

LINGER_TIMEOUT = 500 * MS  # from the shutdown of the gateway's sending side until the client's end
MAX_DISCARDED_OCTETS = 256 << 10  # a request of the greatest length and what follows it


class Stage(Enum):
    """Stage of the close."""

    OPEN = "requests are read and answered"
    DRAINING = "closes once everything is written, unless a request arrives first"
    SENDING_FINAL = "the final message is being written; received data is discarded"
    LINGERING = "the sending side is shut down; received data is discarded until the client closes"
    CLOSED = "nothing is read or written"


class Event(Enum):
    """Input of the state machine."""

    CLOSE_REQUESTED = "the connection has no unanswered request and may close"
    FINAL_MESSAGE = "close after a final message"
    DATA_RECEIVED = "the client has sent data, read or unread"
    ALL_WRITTEN = "everything is written and nothing is unread"
    DISCARD_LIMIT_REACHED = "the client has sent more than may be discarded"
    TIMEOUT = "the close has taken too long"
    REJECTED = "the client broke the protocol: close without waiting for further data"
    ABORTED = "close at once"
    CONNECTION_LOST = "the connection is lost"


class Action(Enum):
    """What the caller does to the socket."""

    NONE = "nothing"
    FLUSH = "report Event.ALL_WRITTEN once everything is written"
    SHUTDOWN_WRITE = "shut down the sending side"
    CLOSE = "close once everything is written"
    RESET = "close at once"


_OPEN, _DRAINING, _SENDING_FINAL, _LINGERING, _CLOSED = Stage
TABLE: dict[tuple[Stage, Event], tuple[Stage, Action]] = {
    (_OPEN, Event.CLOSE_REQUESTED): (_DRAINING, Action.FLUSH),
    (_OPEN, Event.FINAL_MESSAGE): (_SENDING_FINAL, Action.FLUSH),
    (_DRAINING, Event.DATA_RECEIVED): (_OPEN, Action.NONE),
    (_DRAINING, Event.FINAL_MESSAGE): (_SENDING_FINAL, Action.FLUSH),
    (_DRAINING, Event.ALL_WRITTEN): (_LINGERING, Action.SHUTDOWN_WRITE),
    (_DRAINING, Event.TIMEOUT): (_CLOSED, Action.RESET),
    (_SENDING_FINAL, Event.ALL_WRITTEN): (_LINGERING, Action.SHUTDOWN_WRITE),
    (_SENDING_FINAL, Event.DISCARD_LIMIT_REACHED): (_CLOSED, Action.RESET),
    (_SENDING_FINAL, Event.TIMEOUT): (_CLOSED, Action.RESET),
    (_LINGERING, Event.DISCARD_LIMIT_REACHED): (_CLOSED, Action.RESET),
    (_LINGERING, Event.TIMEOUT): (_CLOSED, Action.CLOSE),
}
for _stage in Stage:
    if _stage is not _CLOSED:
        TABLE[_stage, Event.ABORTED] = _CLOSED, Action.RESET
        TABLE[_stage, Event.REJECTED] = _CLOSED, Action.CLOSE
        TABLE[_stage, Event.CONNECTION_LOST] = _CLOSED, Action.NONE


class LingeringClose:
    """Tracks the close of one connection; every event is allowed at every stage."""

    __slots__ = ("_discarded", "stage")

    def __init__(self) -> None:
        self.stage = Stage.OPEN
        self._discarded = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are still read."""
        return self.stage is Stage.OPEN or self.stage is Stage.DRAINING

    def on_event(self, event: Event) -> Action:
        """Applies an event and returns the action to take; an event that is not in the table changes nothing."""
        self.stage, action = TABLE.get((self.stage, event), (self.stage, Action.NONE))
        return action

    def discard(self, size: int) -> Action:
        """Counts received octets that are discarded."""
        self._discarded += size
        return self.on_event(Event.DISCARD_LIMIT_REACHED) if self._discarded > MAX_DISCARDED_OCTETS else Action.NONE
