"""What comes in from an LDAP client: each read is taken whole before any request of it is served.

A client's Abandon, Cancel, Unbind or end counts from the moment in which it lies in the socket, also where requests
lie before it: they wait in a queue until the read that brought them is understood to its last octet, and what lies
unread behind them is looked at again before each attempt is written (``present``).
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from yardbank.gateway import presence
from yardbank.ldap import messages as m
from yardbank.ldap.state import Abandoned, Asked, Broken, Closed, ServerEnd

AHEAD_READS = 8  # before one attempt, of 64 KiB each
AHEAD_OCTETS = 512 << 10  # of requests that wait in the queue: beyond them nothing is read ahead


class Intake(Protocol):
    """The receiving half of a connection; a subclass serves the requests and keeps those that are with the gateway."""

    transport: Any  # Twisted's stubs name no methods of a TCP transport
    reading: bool  # whether the client takes what is written to it

    def __init__(self, end: ServerEnd, most: int, log: Any) -> None:
        """``most``: requests that may wait in the queue when more is read ahead."""
        self._end, self._most, self._log = end, most, log
        self._queue: dict[int, Asked] = {}  # by message ID, in the order in which they came
        self._octets = 0  # of the requests in the queue
        self._leaving: list[Any] = []  # taken back by what was read, to be told to the gateway once it is read whole
        self._taking_up = self._due = self._bound_logged = False
        self._looking = 0  # looks under way: nothing is taken up within one
        self._closing = False
        self._gone = False  # the client's end has been read

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Requests, in any split."""
        for event in self._end.receive(data):
            self._receive_event(event)
        leaving, self._leaving = self._leaving, []
        for taken in leaving:  # only now: to leave one may send the next, which this read may have taken back as well
            self._leave(taken)
        if not self._looking:
            self._take_up()
        elif self._queue and not self._taking_up and not self._due:
            self._due = True
            self.transport.reactor.callLater(0, self._take_up)

    def _receive_event(self, event: Asked | Abandoned | Closed | Broken) -> None:
        """Queue a request; a Cancel, an Abandon or the connection's end takes effect at once."""
        match event:
            case Asked(m.Message(operation=m.ExtendedRequest(oid=m.Oid.CANCEL))):
                self._serve(event)
            case Asked(message, raw):
                self._queue[message.id] = event
                self._octets += len(raw.operation) + len(raw.controls)
            case Abandoned(target):
                if self._unqueue(target) is None:
                    self._take_back(target)
            case Closed():
                self._drop()
                self._lose()
            case Broken():
                self._broken(event)

    def present(self, number: int) -> bool:
        """Whether the client is there and still wants an answer to a request that the gateway has.

        What lies unread is read first, up to bounds; behind more than that the client's end is still seen, an Abandon
        is not. One system call where nothing lies unread.
        """
        if not self._wants(number):
            return False
        self._read_ahead()
        return self._wants(number)

    def _wants(self, number: int) -> bool:
        return not self._gone and not self._closing and self._holds(number)

    def _read_ahead(self) -> None:
        read = getattr(self.transport, "doRead", None)
        if read is None:  # a transport that has no socket
            return None
        self._looking += 1
        try:
            for _ in range(AHEAD_READS):
                if self._octets >= AHEAD_OCTETS or len(self._queue) >= self._most:
                    break
                before = self._end.received
                if read() is not None:
                    return self._ended()
                if self._end.received == before or self._closing:
                    return None
        finally:
            self._looking -= 1
        if not self._bound_logged:
            self._bound_logged = True
            self._log.info("client_read_ahead_bound", queued=len(self._queue), octets=self._octets)
        if not presence.present(self.transport):
            self._ended()
        return None

    def _ended(self) -> None:
        """The client's end has come: the transport finds it too, once it reads."""
        self._gone = True
        self._clear()
        self.transport.resumeProducing()

    def _take_up(self) -> None:
        """Serve what waits, in order; an answer that comes at once comes back here. Not while the client reads none."""
        self._due = False
        if self._taking_up:
            return
        self._taking_up = True
        try:
            while self._queue and self.reading and not self._closing:
                event = self._unqueue(next(iter(self._queue)))
                assert event is not None
                self._serve(event)
        finally:
            self._taking_up = False

    def _unqueue(self, number: int) -> Asked | None:
        event = self._queue.pop(number, None)
        if event is not None:
            self._octets -= len(event.raw.operation) + len(event.raw.controls)
        return event

    def _clear(self) -> None:
        self._queue.clear()
        self._octets = 0

    # What a subclass does

    def _serve(self, event: Asked) -> None:
        """Answer a request or hand it on; nothing is raised."""
        raise NotImplementedError

    def _holds(self, number: int) -> bool:
        """Whether a request is with the gateway."""
        raise NotImplementedError

    def _take_back(self, number: int) -> None:
        """Forget a request that is with the gateway, and put it to ``_leaving``."""
        raise NotImplementedError

    def _leave(self, taken: Any) -> None:
        """Tell the gateway that one of ``_leaving`` wants no answer."""
        raise NotImplementedError

    def _drop(self) -> None:
        """Nothing more is taken, sent or owed."""
        raise NotImplementedError

    def _broken(self, event: Broken) -> None:
        """Drop all, say why, and close."""
        raise NotImplementedError

    def _lose(self) -> None:
        """Close the connection once all is written."""
        raise NotImplementedError
