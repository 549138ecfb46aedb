"""The end of a client's connection as a state machine without I/O: a lingering close.

A close over unread octets resets the connection, and takes what was written last along. So the gateway ends its
sending first, once nothing is unread and all is written; then it reads on, answering nothing, until the client ends
too, or has sent or waited too much.
"""

from __future__ import annotations

from enum import Enum

from yardbank.gateway.api import MS

LINGER = 500 * MS  # from the end of the gateway's sending until the client's
MOST_OCTETS = 256 << 10  # that are read and dropped meanwhile: a request of the greatest length, and what follows it


class Stage(Enum):
    """How far the end is."""

    OPEN = "requests are read and answered"
    DRAINING = "it is to end as soon as what is written is out, unless a request comes first"
    SAYING = "the last word is under way; what is read is dropped"
    LINGERING = "the gateway's sending has ended; what is read is dropped, until the client ends"
    CLOSED = "nothing is read or written"


class Event(Enum):
    """What happens to it."""

    ASKED = "it owes nothing and may end"
    WORD = "it is to end with a last word"
    OCTETS = "the client sends, or has sent what is unread"
    WRITTEN = "all that was written is out, and nothing is unread"
    SURPLUS = "the client sends more than is dropped"
    TIME = "it has waited long enough"
    REJECTED = "the client sent nonsense: nothing of it is waited for"
    CUT = "it is to end at once"
    LOST = "the connection is gone"


class Step(Enum):
    """What is to be done at the socket."""

    NOTHING = "nothing"
    FLUSH = "say when all is written: Event.WRITTEN"
    SHUT = "end the sending"
    CLOSE = "close once all is written"
    RESET = "close at once"


_OPEN, _DRAINING, _SAYING, _LINGERING, _CLOSED = Stage
TABLE: dict[tuple[Stage, Event], tuple[Stage, Step]] = {
    (_OPEN, Event.ASKED): (_DRAINING, Step.FLUSH),
    (_OPEN, Event.WORD): (_SAYING, Step.FLUSH),
    (_DRAINING, Event.OCTETS): (_OPEN, Step.NOTHING),
    (_DRAINING, Event.WORD): (_SAYING, Step.FLUSH),
    (_DRAINING, Event.WRITTEN): (_LINGERING, Step.SHUT),
    (_DRAINING, Event.TIME): (_CLOSED, Step.RESET),
    (_SAYING, Event.WRITTEN): (_LINGERING, Step.SHUT),
    (_SAYING, Event.SURPLUS): (_CLOSED, Step.RESET),
    (_SAYING, Event.TIME): (_CLOSED, Step.RESET),
    (_LINGERING, Event.SURPLUS): (_CLOSED, Step.RESET),
    (_LINGERING, Event.TIME): (_CLOSED, Step.CLOSE),
}
for _stage in Stage:
    if _stage is not _CLOSED:
        TABLE[_stage, Event.CUT] = _CLOSED, Step.RESET
        TABLE[_stage, Event.REJECTED] = _CLOSED, Step.CLOSE
        TABLE[_stage, Event.LOST] = _CLOSED, Step.NOTHING


class Closing:
    """How far the end of one connection is; every event may come at every stage."""

    __slots__ = ("_dropped", "stage")

    def __init__(self) -> None:
        self.stage = Stage.OPEN
        self._dropped = 0

    @property
    def serves(self) -> bool:
        """Whether requests are still read."""
        return self.stage is Stage.OPEN or self.stage is Stage.DRAINING

    def on(self, event: Event) -> Step:
        """What is to be done; an event that the table does not name changes nothing."""
        self.stage, step = TABLE.get((self.stage, event), (self.stage, Step.NOTHING))
        return step

    def drop(self, size: int) -> Step:
        """The client sends so many octets that are not read any more."""
        self._dropped += size
        return self.on(Event.SURPLUS) if self._dropped > MOST_OCTETS else Step.NOTHING
