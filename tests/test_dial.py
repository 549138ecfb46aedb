"""Opening connections to servers: what one held goes along with it, and is not left to the collector."""

import gc
import select
import socket
import weakref

from twisted.internet.epollreactor import EPollReactor

from tests.platform_kit import AUTHENTICATED
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
    backend = PlatformBackend(reactor, lambda: 0)
    with socket.create_server(("127.0.0.1", 0)) as listening:
        spec = ServerSpec("s-1", "0", "a", "127.0.0.1", listening.getsockname()[1])
        gc.collect()
        gc.disable()
        try:
            for _ in range(3):
                backend.connect(spec, lambda made: held.extend(map(weakref.ref, (made, made._session))), lost.append)
                turn(reactor, lambda: select.select([listening], [], [], 0)[0])
                far, _ = listening.accept()
                far.sendall(AUTHENTICATED)
                told = len(held)
                turn(reactor, lambda told=told: len(held) > told)
                far.close()
                gone = len(lost)
                turn(reactor, lambda gone=gone: len(lost) > gone)
                reactor.iterate(0)
            assert len(held) == 6 and not [each for each in held if each() is not None]
        finally:
            gc.enable()
            for each in reactor.removeAll():
                each.connectionLost(None)
