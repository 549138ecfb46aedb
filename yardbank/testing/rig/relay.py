"""Relays between the processes of a scenario, on 127.0.0.1. Thin: ``wire`` decides what passes when.

One TCP relay stands on each directed pair that opens connections, one UDP relay on each that sends datagrams. A relay
refuses connections while its target listens nowhere, as the target itself would. A silent cut takes a new connection
and lets nothing through: an unanswered SYN cannot be had without privileges.
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

from yardbank.testing.rig.network import Datagrams, Ended, Network, Stream
from yardbank.testing.rig.taps import Tap

HOST = "127.0.0.1"
MAX_OPEN = 10_000  # connections of one relay; beyond, they are reset


def _bound(port: int) -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    made.bind((HOST, port))
    made.setblocking(False)
    return made


class _Side(Protocol):
    """One end's connection to the relay: what it sends goes into the stream to the other side."""

    transport: Any

    def __init__(self, relay: StreamRelay, source: str, target: str) -> None:
        self._relay, self._pair = relay, (source, target)
        self.other: _Side | None = None
        self._stream = Stream(relay.random)
        self._timer: Any = None
        self._early: list[bytes] = []
        self.over = False  # nothing can be written here any more
        self.told_to_end = False  # as the other side has ended
        self.tap: Tap | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        if self._pair[0] == self._relay.source and self._relay.tap is not None:
            self.tap = self._relay.tap(self.transport.getPeer().port)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.tap is not None:
            self.tap.entered(self._relay.seconds(), data)
        self._stream.push(self._relay.seconds(), data, self._relay.effect(self._pair))
        if self._stream.crowded:
            self.transport.pauseProducing()
        self.look()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        self.over = True
        if self.told_to_end and self.other is not None and self.other.tap is not None:
            self.other.tap.ended()
        self._stream.push(
            self._relay.seconds(), Ended(not reason.check(ConnectionDone)), self._relay.effect(self._pair)
        )
        self.look()

    def look(self) -> None:
        """Pass on what is due; come back when more is."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        other = self.other
        if other is None or other.transport is None:  # the connection onward is not there yet
            return
        effect, now = self._relay.effect(self._pair), self._relay.seconds()
        crowded = self._stream.crowded
        for piece in self._stream.due(now, effect):
            if not other.over:
                self._hand_on(piece, other, now)
        if crowded and not self._stream.crowded and not self.over:
            self.transport.resumeProducing()
        at = self._stream.next_at(effect)
        if at is not None:
            self._timer = self._relay.reactor.callLater(max(0.0, at - now), self.look)
        elif self.over and other.over:
            self._relay.forget(self)

    def _hand_on(self, piece: bytes | Ended, other: _Side, now: float) -> None:
        """Write octets to the other side, or end its connection as this one ended."""
        if isinstance(piece, bytes):
            other.transport.write(piece)
            if self.tap is not None:
                self.tap.passed(now, piece)
            return
        other.told_to_end = True
        if piece.reset:
            other.transport.abortConnection()
        else:
            other.transport.loseConnection()

    def reset(self) -> None:
        """Break it off."""
        if self.transport is not None and not self.over:
            self.transport.abortConnection()


class _Door(Factory):
    noisy = False

    def __init__(self, relay: StreamRelay) -> None:
        self._relay = relay

    def buildProtocol(self, addr: Any) -> _Side:  # noqa: N802
        return self._relay.accept()


class StreamRelay:
    """Connections that ``source`` opens to ``target``; ``port`` is where ``source`` finds it."""

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
        """``tap`` makes what listens to a connection from this port of the source."""
        self.tap = tap
        self.reactor, self._network = reactor, network
        self.source, self.target, self._target_port = source, target, target_port
        self.random = Random(f"{seed}/{source}/{target}")
        self._holder = _bound(0)  # keeps the port while nothing listens on it
        self.port: int = self._holder.getsockname()[1]
        self._listening: Any = None
        self._sides: dict[_Side, None] = {}
        self.opened = 0

    def seconds(self) -> float:
        """The time."""
        now: float = self.reactor.seconds()
        return now

    def effect(self, pair: tuple[str, str]) -> Any:
        """What holds on one direction now."""
        return self._network.effect(*pair)

    def refresh(self) -> None:
        """The network or the target has changed: listen or not, break off, pass on."""
        forth, back = self._network.effect(self.source, self.target), self._network.effect(self.target, self.source)
        cut = "reset" in (forth.cut, back.cut)
        open_ = not cut and self._target_port() > 0
        if open_ and self._listening is None:
            made = _bound(self.port)
            made.listen(512)
            self._listening = self.reactor.adoptStreamPort(made.fileno(), made.family, _Door(self))
            made.close()
        elif not open_ and self._listening is not None:
            self._listening.stopListening()
            self._listening = None
        for side in list(self._sides):
            side.reset() if cut else side.look()

    def accept(self) -> _Side:
        """A connection from ``source``; its way onward is opened at once."""
        self.opened += 1
        near, far = _Side(self, self.source, self.target), _Side(self, self.target, self.source)
        near.other, far.other = far, near
        self._sides[near] = self._sides[far] = None
        if len(self._sides) > 2 * MAX_OPEN:
            self.reactor.callLater(0, near.reset)
            return near
        endpoint = TCP4ClientEndpoint(self.reactor, HOST, self._target_port() or 1, timeout=5)
        connectProtocol(endpoint, far).addCallbacks(lambda _: near.look(), lambda _: self._refused(near, far))
        return near

    def _refused(self, near: _Side, far: _Side) -> None:
        far.over = True
        near.reset()
        self.forget(near)

    def forget(self, side: _Side) -> None:
        """Both ends are gone."""
        self._sides.pop(side, None)
        if side.other is not None:
            self._sides.pop(side.other, None)

    def close(self) -> None:
        """No more."""
        if self._listening is not None:
            self._listening.stopListening()
            self._listening = None
        self._holder.close()
        for side in list(self._sides):
            side.reset()


class DatagramRelay(DatagramProtocol):
    """Datagrams that ``source`` sends to ``target``.

    What comes here goes on from here: a receiver that answers a datagram's source address gets nowhere.
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
        seen: Callable[[str, str, bytes], None] = lambda source, target, data: None,
    ) -> None:
        """``seen`` is told of each datagram as ``source`` has sent it, whatever becomes of it."""
        self._reactor, self._network, self._seen = reactor, network, seen
        self.source, self.target, self._target_port = source, target, target_port
        self.wire = Datagrams(Random(f"{seed}/{source}/{target}/datagrams"))
        self.passed = self.octets = 0
        self._port = reactor.listenUDP(0, self, interface=HOST, maxPacketSize=65535)
        self.port: int = self._port.getHost().port

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Pass a datagram on as the network says: now, late, twice or never."""
        now = self._reactor.seconds()
        self._seen(self.source, self.target, datagram)
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
        """Nobody listens there: as lost."""

    def close(self) -> Any:
        """No more."""
        return self._port.stopListening()
