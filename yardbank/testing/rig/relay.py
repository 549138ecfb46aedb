"""Relays between the processes of a scenario, on 127.0.0.1. I/O only: ``network`` decides what passes and when.

Each directed pair of endpoints that opens connections has a TCP relay, and each that sends datagrams a UDP relay. A
relay refuses connections while its target does not listen, as the target itself would. During a silent cut it accepts
connections but passes nothing on, because ignoring a SYN needs privileges.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol
from twisted.python.failure import Failure

from yardbank.testing.rig.network import DatagramLink, DelayedStream, Network, StreamEnd
from yardbank.testing.rig.taps import Tap

HOST = "127.0.0.1"
MAX_OPEN = 10_000  # connections of one relay; further ones are reset


def _bound_socket(port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((HOST, port))
    listener.setblocking(False)
    return listener


class _RelaySide(Protocol):
    """The relay's connection with one endpoint. Octets received are put into the stream to the other side."""

    transport: Any

    def __init__(self, relay: StreamRelay, source: str, target: str) -> None:
        self._relay, self._pair = relay, (source, target)
        self.other: _RelaySide | None = None
        self._stream = DelayedStream(relay.random)
        self._timer: Any = None
        self._early: list[bytes] = []
        self.closed = False  # closed for writing
        self.closed_by_peer = False  # closed because the other side was closed
        self.tap: Tap | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        if self._pair[0] == self._relay.source and self._relay.tap is not None:
            self.tap = self._relay.tap(self.transport.getPeer().port)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.tap is not None:
            self.tap.octets_sent(self._relay.seconds(), data)
        self._stream.push(self._relay.seconds(), data, self._relay.effect(self._pair))
        if self._stream.is_full:
            self.transport.pauseProducing()
        self.pass_on()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        self.closed = True
        if self.closed_by_peer and self.other is not None and self.other.tap is not None:
            self.other.tap.closed()
        self._stream.push(
            self._relay.seconds(), StreamEnd(not reason.check(ConnectionDone)), self._relay.effect(self._pair)
        )
        self.pass_on()

    def pass_on(self) -> None:
        """Passes on due octets and schedules the next call."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        other = self.other
        if other is None or other.transport is None:  # the onward connection is not established yet
            return
        effect, now = self._relay.effect(self._pair), self._relay.seconds()
        is_full = self._stream.is_full
        for chunk in self._stream.due(now, effect):
            if not other.closed:
                self._deliver(chunk, other, now)
        if is_full and not self._stream.is_full and not self.closed:
            self.transport.resumeProducing()
        at = self._stream.next_at(effect)
        if at is not None:
            self._timer = self._relay.reactor.callLater(max(0.0, at - now), self.pass_on)
        elif self.closed and other.closed:
            self._relay.forget(self)

    def _deliver(self, chunk: bytes | StreamEnd, other: _RelaySide, now: float) -> None:
        """Writes octets to the other side, or closes it the way this side was closed."""
        if isinstance(chunk, bytes):
            other.transport.write(chunk)
            if self.tap is not None:
                self.tap.octets_delivered(now, chunk)
            return
        other.closed_by_peer = True
        if chunk.reset:
            other.transport.abortConnection()
        else:
            other.transport.loseConnection()

    def reset(self) -> None:
        """Aborts the connection."""
        if self.transport is not None and not self.closed:
            self.transport.abortConnection()


class _ListenerFactory(Factory):
    noisy = False

    def __init__(self, relay: StreamRelay) -> None:
        self._relay = relay

    def buildProtocol(self, addr: Any) -> _RelaySide:  # noqa: N802
        return self._relay.accept()


class StreamRelay:
    """Relays connections from ``source`` to ``target``; ``port``: the relay's listening port."""

    def __init__(
        self,
        reactor: Any,
        network: Network,
        source: str,
        target: str,
        target_port: Callable[[], int],
        seed: int,
        tap: Callable[[int], Tap] | None = None,
    ) -> None:
        """``tap`` creates the observer of a connection, given the source's port."""
        self.tap = tap
        self.reactor, self._network = reactor, network
        self.source, self.target, self._target_port = source, target, target_port
        self.random = Random(f"{seed}/{source}/{target}")
        self._holder = _bound_socket(0)  # reserves the port while the relay does not listen
        self.port: int = self._holder.getsockname()[1]
        self._listening: Any = None
        self._sides: dict[_RelaySide, None] = {}
        self.opened = 0

    def seconds(self) -> float:
        """The reactor's time."""
        now: float = self.reactor.seconds()
        return now

    def effect(self, pair: tuple[str, str]) -> Any:
        """The current network effect in one direction."""
        return self._network.effect(*pair)

    def refresh(self) -> None:
        """Adapts to a change of network or target: starts or stops listening, resets connections, passes octets on."""
        forth, back = self._network.effect(self.source, self.target), self._network.effect(self.target, self.source)
        cut = "reset" in (forth.cut, back.cut)
        listening = not cut and self._target_port() > 0
        if listening and self._listening is None:
            listener = _bound_socket(self.port)
            listener.listen(512)
            self._listening = self.reactor.adoptStreamPort(listener.fileno(), listener.family, _ListenerFactory(self))
            listener.close()
        elif not listening and self._listening is not None:
            self._listening.stopListening()
            self._listening = None
        for side in list(self._sides):
            side.reset() if cut else side.pass_on()

    def accept(self) -> _RelaySide:
        """Accepts a connection from ``source`` and opens the onward connection."""
        self.opened += 1
        near, far = _RelaySide(self, self.source, self.target), _RelaySide(self, self.target, self.source)
        near.other, far.other = far, near
        self._sides[near] = self._sides[far] = None
        if len(self._sides) > 2 * MAX_OPEN:
            self.reactor.callLater(0, near.reset)
            return near
        endpoint = TCP4ClientEndpoint(self.reactor, HOST, self._target_port() or 1, timeout=5)
        connectProtocol(endpoint, far).addCallbacks(lambda _: near.pass_on(), lambda _: self._refused(near, far))
        return near

    def _refused(self, near: _RelaySide, far: _RelaySide) -> None:
        far.closed = True
        near.reset()
        self.forget(near)

    def forget(self, side: _RelaySide) -> None:
        """Removes both sides of a closed connection."""
        self._sides.pop(side, None)
        if side.other is not None:
            self._sides.pop(side.other, None)

    def close(self) -> None:
        """Closes the relay and its connections."""
        if self._listening is not None:
            self._listening.stopListening()
            self._listening = None
        self._holder.close()
        for side in list(self._sides):
            side.reset()


class DatagramRelay(DatagramProtocol):
    """Relays datagrams from ``source`` to ``target``.

    Datagrams are sent on from the relay's own port, so replies to their source address reach nobody.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        network: Network,
        source: str,
        target: str,
        target_port: Callable[[], int],
        seed: int,
        on_datagram: Callable[[str, str, bytes], None] = lambda source, target, data: None,
    ) -> None:
        """``on_datagram`` is called with each datagram that ``source`` sends, whether or not it is delivered."""
        self._reactor, self._network, self._on_datagram = reactor, network, on_datagram
        self.source, self.target, self._target_port = source, target, target_port
        self.wire = DatagramLink(Random(f"{seed}/{source}/{target}/datagrams"))
        self.passed = self.octets = 0
        self._port = reactor.listenUDP(0, self, interface=HOST, maxPacketSize=65535)
        self.port: int = self._port.getHost().port

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Passes a datagram on as the network decides: at once, late, twice or not at all."""
        now = self._reactor.seconds()
        self._on_datagram(self.source, self.target, datagram)
        for at, data in self.wire.push(now, datagram, self._network.effect(self.source, self.target)):
            if at <= now:
                self._arrive(data)
            else:
                self._reactor.callLater(at - now, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        self.wire.arrived()
        port = self._target_port()
        if self.transport is None or port <= 0:
            return
        self.passed, self.octets = self.passed + 1, self.octets + len(data)
        self.transport.write(data, (HOST, port))

    def connectionRefused(self) -> None:  # noqa: N802
        """Ignored: the datagram counts as lost."""

    def close(self) -> Any:
        """Stops the relay."""
        return self._port.stopListening()
