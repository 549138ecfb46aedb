"""Opening connections to servers: what one held goes along with it, and is not left to the collector."""

import gc
import select
import socket
import weakref

from twisted.internet.epollreactor import EPollReactor

from tests.support.platform import AUTHENTICATED
from yardbank.gateway.api import ServerSpec
from yardbank.platform.backend import PlatformBackend


def turn(reactor, until):
    for _ in range(500):
        if until():
            return
        reactor.iterate(0.01)
    raise AssertionError("it never came to that")


def test_a_connection_that_is_gone_leaves_nothing_behind():
    reactor, held, lost = EPollReactor(), [], []

    class Listener:
        """Held by what dials: gone with the connection, not before."""

        def __call__(self, reason):
            lost.append(reason)

    backend = PlatformBackend(reactor, lambda: 0)
    with socket.create_server(("127.0.0.1", 0)) as listening:
        spec = ServerSpec("s-1", "0", "a", "127.0.0.1", listening.getsockname()[1])
        gc.collect()
        gc.disable()
        try:
            for _ in range(3):
                listener = Listener()
                held.append(weakref.ref(listener))
                backend.connect(spec, lambda made: held.extend(map(weakref.ref, (made, made._session))), listener)
                del listener
                turn(reactor, lambda: select.select([listening], [], [], 0)[0])
                far, _ = listening.accept()
                far.sendall(AUTHENTICATED)
                told = len(held)
                turn(reactor, lambda told=told: len(held) > told)
                far.close()
                gone = len(lost)
                turn(reactor, lambda gone=gone: len(lost) > gone)
                reactor.iterate(0)
            assert len(held) == 9 and not [each for each in held if each() is not None]
        finally:
            gc.enable()
            for each in reactor.removeAll():
                each.connectionLost(None)
