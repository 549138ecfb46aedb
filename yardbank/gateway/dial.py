"""Opening a TCP connection to a server with Twisted, shared by the backends of all protocols."""

from __future__ import annotations

from collections.abc import Callable
from errno import ECONNRESET
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from yardbank.gateway.api import LOST_DURING_CONNECT, ServerSpec

Lost = Callable[[str], None]
REACTOR_TIMEOUT_SECONDS = 30  # timeout of the reactor; the gateway's own connect timeout expires long before


def connect_failure_reason(reason: Failure) -> str:
    """Why a connection failed: ``LOST_DURING_CONNECT`` if it was reset or closed rather than refused."""
    broke = reason.check(ConnectionLost, ConnectionDone) or getattr(reason.value, "osError", None) == ECONNRESET
    return LOST_DURING_CONNECT if broke else reason.getErrorMessage()


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, make: Callable[[], Protocol], lost: Lost) -> None:
        self._make = make
        self._lost = lost

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        return self._make()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._lost(connect_failure_reason(reason))

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Break the reference cycle of connector and transport, so both are freed without the garbage collector."""
        connector.transport = None


def dial(reactor: Any, server: ServerSpec, make: Callable[[Lost], Protocol], lost: Lost) -> Callable[[], None]:
    """Open a connection whose protocol ``make`` builds; returns a function that aborts it.

    ``lost`` is called exactly once. ``make`` receives the function to call when the connection is lost, and may call it
    more than once.
    """
    reported = False

    def lost_once(reason: str) -> None:
        nonlocal reported
        if not reported:
            reported = True
            lost(reason)

    factory = _ConnectionFactory(lambda: make(lost_once), lost_once)
    connector = reactor.connectTCP(server.host, server.port, factory, timeout=REACTOR_TIMEOUT_SECONDS)

    def give_up() -> None:
        if connector.state == "connected":
            connector.transport.abortConnection()
        else:
            connector.disconnect()

    return give_up
