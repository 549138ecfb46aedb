"""The platform's program with a seeded fault that the soak checker must detect, or a system call that fails.

SOAK_FAULT names it.

``python -m tests.support.soak_program`` is run in place of ``python -m yardbank.platform``.
"""

import errno
import os
import sys
from itertools import count

from twisted.internet.error import getConnectError

from yardbank.platform.signals import Signals

DROP_INTERVAL = 40  # one of so many answers is dropped
FAILING_CONNECTS = 5  # of the first connections to discovery


def drops_answers():
    """Drops one of ``DROP_INTERVAL`` answers to clients."""
    from yardbank.platform.connection import ClientConnection

    answer, numbers = ClientConnection.answer, count(1)

    def drop_some(self, command, octets):
        if next(numbers) % DROP_INTERVAL:
            answer(self, command, octets)

    ClientConnection.answer = drop_some


def ignores_drains():
    """Treats a draining server as ready."""
    from yardbank.platform import listing

    listing.STATES["Terminating"] = "ready"


def sends_writes_twice():
    """Resends a write regardless of its outcome."""
    from yardbank.gateway import send_check
    from yardbank.policy.router import Router

    send_check.check_repeat = lambda request, now: None
    Router.may_resend = lambda self, pending: pending.attempts < 3


def forwards_for_the_departed():
    """Still forwards requests of a client that has disconnected."""
    from yardbank.platform.connection import ClientConnection

    ClientConnection.present = lambda self: True
    ClientConnection._withdraw_requests = lambda self: None


def connects_to_discovery_fail():
    """No fault of the program: the system has no route for its first connections to discovery."""
    from twisted.internet.tcp import Client

    from yardbank.platform.watch_connection import WatchConnectionFactory

    connect, numbers = Client.doConnect, count()

    def fail_first(self):
        is_watch = isinstance(getattr(self.connector, "factory", None), WatchConnectionFactory)
        if is_watch and next(numbers) < FAILING_CONNECTS:
            self.failIfNotConnected(getConnectError((errno.ENETUNREACH, os.strerror(errno.ENETUNREACH))))
        else:
            connect(self)

    Client.doConnect = fail_first


FAULTS = {
    each.__name__: each
    for each in (
        drops_answers,
        ignores_drains,
        sends_writes_twice,
        forwards_for_the_departed,
        connects_to_discovery_fail,
    )
}

if __name__ == "__main__":
    signals = Signals()
    signals.install()
    FAULTS[os.environ["SOAK_FAULT"]]()
    from yardbank.platform.program import main

    sys.exit(main(signals))
