"""Opening one connection to a server, whatever is spoken on it: thin Twisted that every backend shares."""

from __future__ import annotations

from collections.abc import Callable
from errno import ECONNRESET
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from yardbank.gateway.api import BROKE_OPENING, ServerSpec

Lost = Callable[[str], None]
SYSTEM_TIMEOUT = 30  # seconds, the reactor's own; the gateway gives up long before


def why_not(reason: Failure) -> str:
    """Why a connection never came up: ``BROKE_OPENING`` where it was reset or ended and not refused."""
    broke = reason.check(ConnectionLost, ConnectionDone) or getattr(reason.value, "osError", None) == ECONNRESET
    return BROKE_OPENING if broke else reason.getErrorMessage()


class _Dialler(ClientFactory):
    noisy = False

    def __init__(self, make: Callable[[], Protocol], lost: Lost) -> None:
        self._make = make
        self._lost = lost

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        return self._make()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._lost(why_not(reason))

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Connector and transport point at each other: parted, they go at once, without the collector."""
        connector.transport = None


def dial(reactor: Any, server: ServerSpec, make: Callable[[Lost], Protocol], lost: Lost) -> Callable[[], None]:
    """Open a connection whose protocol ``make`` builds; ``lost`` is called exactly once. The result gives it up.

    ``make`` is handed what to call when the connection is lost, and may call it more than once.
    """
    over = False

    def lost_once(reason: str) -> None:
        nonlocal over
        if not over:
            over = True
            lost(reason)

    factory = _Dialler(lambda: make(lost_once), lost_once)
    connector = reactor.connectTCP(server.host, server.port, factory, timeout=SYSTEM_TIMEOUT)

    def give_up() -> None:
        if connector.state == "connected":
            connector.transport.abortConnection()
        else:
            connector.disconnect()

    return give_up
