"""A closed server connection is freed at once and leaves no reference cycle to the garbage collector."""

import gc
import select
import socket
import weakref

from twisted.internet.epollreactor import EPollReactor

from tests.support.platform import AUTHENTICATED
from yardbank.gateway.api import ServerSpec
from yardbank.platform.backend import PlatformBackend


def run_until(reactor, condition):
    for _ in range(500):
        if condition():
            return
        reactor.iterate(0.01)
    raise AssertionError("condition not reached within 500 reactor iterations")


def test_closed_connection_is_freed_without_garbage_collector():
    reactor, references, lost = EPollReactor(), [], []

    class Listener:
        """Referenced by the connection attempt; freed with the connection and not before."""

        def __call__(self, reason):
            lost.append(reason)

    backend = PlatformBackend(reactor, lambda: 0)
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        spec = ServerSpec("s-1", "0", "a", "127.0.0.1", listening_socket.getsockname()[1])
        gc.collect()
        gc.disable()
        try:
            for _ in range(3):
                listener = Listener()
                references.append(weakref.ref(listener))
                backend.connect(
                    spec,
                    lambda connection: references.extend(map(weakref.ref, (connection, connection._session))),
                    listener,
                )
                del listener
                run_until(reactor, lambda: select.select([listening_socket], [], [], 0)[0])
                peer, _ = listening_socket.accept()
                peer.sendall(AUTHENTICATED)
                count_before = len(references)
                run_until(reactor, lambda count_before=count_before: len(references) > count_before)
                peer.close()
                losses_before = len(lost)
                run_until(reactor, lambda losses_before=losses_before: len(lost) > losses_before)
                reactor.iterate(0)
            assert len(references) == 9 and not [each for each in references if each() is not None]
        finally:
            gc.enable()
            for each in reactor.removeAll():
                each.connectionLost(None)
