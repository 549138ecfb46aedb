"""Receives an LDAP client's requests: each read is decoded completely before any of its requests is served.

An Abandon, Cancel, Unbind or end of the connection takes effect as soon as it has arrived in the socket, even if
requests arrived before it. So requests are queued until the read that contains them is decoded completely, and the
socket is read again before each attempt is sent (``present``).
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from yardbank.gateway import presence
from yardbank.ldap import messages as m
from yardbank.ldap.state import Abandoned, Asked, Broken, Closed, ServerEnd

READ_AHEAD_MAX_READS = 8  # reads of 64 KiB each before one attempt
READ_AHEAD_MAX_OCTETS = 512 << 10  # queued requests; once reached, nothing more is read ahead


class Intake(Protocol):
    """Receiving side of a client connection; a subclass serves requests and tracks those that the gateway has."""

    transport: Any  # Twisted's stubs name no methods of a TCP transport
    reading: bool  # whether the client reads what is written to it

    def __init__(self, end: ServerEnd, max_outstanding: int, log: Any) -> None:
        """Nothing more is read ahead while ``max_outstanding`` requests are in the queue."""
        self._end, self._max_outstanding, self._log = end, max_outstanding, log
        self._queue: dict[int, Asked] = {}  # by message ID, in order of arrival
        self._queued_octets = 0  # total size of the queued requests
        self._withdrawn: list[Any] = []  # requests withdrawn by the current read, not yet released at the gateway
        self._serving = self._serve_scheduled = self._limit_logged = False
        self._read_ahead_depth = 0  # nested read-ahead calls; the queue is not served during one
        self._closing = False
        self._client_gone = False  # the end of the client's stream was read

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes received bytes, however they are split into reads."""
        for event in self._end.receive(data):
            self._receive_event(event)
        self._limit_partial_requests(self._end.pending)
        withdrawn, self._withdrawn = self._withdrawn, []
        # Only after the whole read: releasing one request may send the next, which this read may have withdrawn too.
        for request in withdrawn:
            self._release(request)
        if not self._read_ahead_depth:
            self._serve_queue()
        elif self._queue and not self._serving and not self._serve_scheduled:
            self._serve_scheduled = True
            self.transport.reactor.callLater(0, self._serve_queue)

    def _receive_event(self, event: Asked | Abandoned | Closed | Broken) -> None:
        """Queues a request; a Cancel, an Abandon or the end of the connection takes effect at once."""
        match event:
            case Asked(m.Message(operation=m.ExtendedRequest(oid=m.Oid.CANCEL))):
                self._serve(event)
            case Asked(message, raw):
                self._queue[message.id] = event
                self._queued_octets += len(raw.operation) + len(raw.controls)
            case Abandoned(target):
                if self._unqueue(target) is None:
                    self._withdraw(target)
            case Closed():
                self._drop_requests()
                self._close()
            case Broken():
                self._end_with_notice(event)

    def present(self, number: int) -> bool:
        """Whether the client is connected and still wants an answer to a request that the gateway has.

        Reads what has arrived first, within bounds. Beyond these, the end of the connection is still detected, but an
        Abandon is not. Takes one system call if nothing has arrived.
        """
        if not self._awaits_answer(number):
            return False
        self._read_ahead()
        return self._awaits_answer(number)

    def _awaits_answer(self, number: int) -> bool:
        return not self._client_gone and not self._closing and self._gateway_has(number)

    def _read_ahead(self) -> None:
        read = getattr(self.transport, "doRead", None)
        if read is None:  # a transport without a socket
            return None
        self._read_ahead_depth += 1
        try:
            for _ in range(READ_AHEAD_MAX_READS):
                if self._queued_octets >= READ_AHEAD_MAX_OCTETS or len(self._queue) >= self._max_outstanding:
                    break
                received_before = self._end.received
                if read() is not None:
                    return self._client_ended()
                if self._end.received == received_before or self._closing:
                    return None
        finally:
            self._read_ahead_depth -= 1
        if not self._limit_logged:
            self._limit_logged = True
            self._log.info("client_read_ahead_bound", queued=len(self._queue), octets=self._queued_octets)
        if not presence.present(self.transport):
            self._client_ended()
        return None

    def _client_ended(self) -> None:
        """The client closed the connection; the transport notices it at its next read."""
        self._client_gone = True
        self._clear_queue()
        self.transport.resumeProducing()

    def _serve_queue(self) -> None:
        """Serves queued requests in order, but not while the client does not read. An immediate answer may re-enter."""
        self._serve_scheduled = False
        if self._serving:
            return
        self._serving = True
        try:
            while self._queue and self.reading and not self._closing:
                event = self._unqueue(next(iter(self._queue)))
                assert event is not None
                self._serve(event)
        finally:
            self._serving = False

    def _unqueue(self, number: int) -> Asked | None:
        event = self._queue.pop(number, None)
        if event is not None:
            self._queued_octets -= len(event.raw.operation) + len(event.raw.controls)
        return event

    def _clear_queue(self) -> None:
        self._queue.clear()
        self._queued_octets = 0

    # Implemented by the subclass

    def _limit_partial_requests(self, octets: int) -> None:
        """Ends connections if all clients' incomplete requests take too much memory; ``octets``: of this one's."""
        raise NotImplementedError

    def _serve(self, event: Asked) -> None:
        """Answers a request or passes it to the gateway; raises nothing."""
        raise NotImplementedError

    def _gateway_has(self, number: int) -> bool:
        """Whether the gateway has a request."""
        raise NotImplementedError

    def _withdraw(self, number: int) -> None:
        """Removes a request that the gateway has and adds it to ``_withdrawn``."""
        raise NotImplementedError

    def _release(self, request: Any) -> None:
        """Tells the gateway that a withdrawn request needs no answer."""
        raise NotImplementedError

    def _drop_requests(self) -> None:
        """Drops all requests; nothing more is received or answered."""
        raise NotImplementedError

    def _end_with_notice(self, event: Broken) -> None:
        """Drops all requests, sends the notice of disconnection and closes."""
        raise NotImplementedError

    def _close(self) -> None:
        """Closes the connection once all output is written."""
        raise NotImplementedError
