"""Real TCP sockets in front of the client factory, with a reactor that the test steps and a separate virtual clock."""

import select
import socket
import struct

from twisted.internet.epollreactor import EPollReactor

from tests.support.platform import READY, START, World
from yardbank.platform.listening import listen

RESET = struct.pack("ii", 1, 0)
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Wire(World):
    """Real client sockets; the gateway behind the factory runs on the test's virtual clock."""

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
        """Step the reactor until the condition holds; each step waits at most 10 ms for sockets."""
        for _ in range(turns):
            if condition():
                return
            self.reactor.iterate(0.01)
            self.clock.advance(0)  # what the gateway has put off to the next turn
        raise AssertionError("the condition never held")

    def client(self, first=START, answers=1):
        """Connect a client and wait for the answers to its first message; returns its socket and the gateway's protocol."""
        far = socket.create_connection(self.port.socket.getsockname())
        far.settimeout(30)
        self.until(lambda: any(made.transport.getPeer().port == far.getsockname()[1] for made in self.made))
        near = next(made for made in self.made if made.transport.getPeer().port == far.getsockname()[1])
        if first:
            far.sendall(first)
            self.until(lambda: readable(far))
            received = b""
            while received.count(READY) < answers:
                self.until(lambda: readable(far))
                received += far.recv(1 << 16)
        return far, near

    def close(self):
        for descriptor in self.reactor.removeAll():
            descriptor.socket.close()


def readable(held, events=select.POLLIN):
    poll = select.poll()
    poll.register(held, events)
    return bool(poll.poll(0))


def arrives(near, events):
    """Wait, without stepping the reactor, until the system has events for the gateway's socket."""
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
