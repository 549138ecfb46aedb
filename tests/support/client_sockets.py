"""Real TCP sockets before the client factory: a reactor that turns only when told, a clock of the test's own."""

import select
import socket
import struct

from twisted.internet.epollreactor import EPollReactor

from tests.support.platform import READY, START, World
from yardbank.platform.listening import listen

RESET = struct.pack("ii", 1, 0)
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Wire(World):
    """Real sockets before the factory, a clock of the test's own behind it."""

    def __init__(self, **more):
        super().__init__(**more)
        self.reactor = EPollReactor()
        self.port = listen(self.reactor, "127.0.0.1", 0, self.factory)
        self.made, build = [], self.factory.buildProtocol

        def remember(address):
            self.made.append(build(address))
            return self.made[-1]

        self.factory.buildProtocol = remember

    def until(self, condition, turns=500):
        """Turn until something is so; each turn waits for sockets for a moment at most."""
        for _ in range(turns):
            if condition():
                return
            self.reactor.iterate(0.01)
        raise AssertionError("it never came to pass")

    def client(self, first=START, answers=1):
        """A client whose first words are answered: its end and the gateway's."""
        far = socket.create_connection(self.port.socket.getsockname())
        far.settimeout(30)
        self.until(lambda: any(made.transport.getPeer().port == far.getsockname()[1] for made in self.made))
        near = next(made for made in self.made if made.transport.getPeer().port == far.getsockname()[1])
        if first:
            far.sendall(first)
            self.until(lambda: readable(far))
            got = b""
            while got.count(READY) < answers:
                self.until(lambda: readable(far))
                got += far.recv(1 << 16)
        return far, near

    def close(self):
        for descriptor in self.reactor.removeAll():
            descriptor.socket.close()


def readable(held, events=select.POLLIN):
    poll = select.poll()
    poll.register(held, events)
    return bool(poll.poll(0))


def arrives(near, events):
    """Wait, without a turn of the reactor, until the system has something for the gateway's end."""
    poll = select.poll()
    poll.register(near.transport.socket, events)
    assert poll.poll(30_000)


def go(far, how):
    if how == "reset":
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        far.close()
    elif how == "half closed":
        far.shutdown(socket.SHUT_WR)
    else:
        far.close()
