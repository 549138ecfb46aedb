"""A stand-in server's port stays reserved while the server is down."""

import errno
import socket

import pytest

from tests.support.reactor_thread import ensure_reactor, run
from yardbank.testing.demo.world import Recorder, World


# Guards against a reservation that does not hold for all sockets: two with SO_REUSEADDR may be bound to one port.
@pytest.mark.parametrize("option", [None, socket.SO_REUSEADDR, socket.SO_REUSEPORT], ids=["plain", "addr", "port"])
def test_no_other_socket_can_bind_the_port_of_a_server_that_is_down(option):
    ensure_reactor()
    server = next(iter(run(lambda: World(_reactor(), Recorder())).servers.values()))
    port = server.port
    run(server.crash)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port), timeout=30)
    with socket.socket() as other, pytest.raises(OSError, match="in use") as refused:
        if option is not None:
            other.setsockopt(socket.SOL_SOCKET, option, 1)
        other.bind(("127.0.0.1", port))
    assert refused.value.errno == errno.EADDRINUSE
    run(server.restart)
    with socket.create_connection(("127.0.0.1", port), timeout=30):
        assert server.port == port


def _reactor():
    from twisted.internet import reactor

    return reactor
