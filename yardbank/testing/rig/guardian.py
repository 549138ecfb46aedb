"""Starts the processes of a scenario and outlives whoever asked for them: ``python -m yardbank.testing.rig.guardian``.

Orders come as JSON lines on standard input (``start``, ``signal``, ``tell``), news go out on standard output
(``started``, ``line``, ``ended``). When the input ends, however its writer ended, every process that was started is
killed by its id and waited for. Being their parent, the guardian cannot mistake another's process for one of them.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import sys
from typing import IO, Any

from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver

MAX_LINE = 1 << 20  # octets of one order
MAX_NEWS = 4096  # octets of a child's line that are passed on; its log has the rest
# Begins a group of processes, then is the program: whoever forks cannot do so in time for its child.
_GROUP = (sys.executable, "-S", "-c", "import os, sys; os.setpgid(0, 0); os.execv(sys.argv[1], sys.argv[1:])")


class _Child(ProcessProtocol):
    """One process; its error output is logged and passed on by line, its output passed on."""

    def __init__(self, guardian: Guardian, name: str, log: IO[bytes], group: bool) -> None:
        self._guardian, self._name, self._log, self.group = guardian, name, log, group
        self._rest = {1: b"", 2: b""}
        self.transport: Any = None
        self.pid = 0

    def childDataReceived(self, fd: int, data: bytes) -> None:  # noqa: N802
        self._log.write(data)
        self._log.flush()
        *lines, rest = (self._rest[fd] + data).split(b"\n")
        self._rest[fd] = rest[-MAX_NEWS:]
        for line in lines:
            self._guardian.say("line", self._name, line=line[:MAX_NEWS].decode(errors="replace"))

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self._log.close()
        if self.group:  # what it left behind; a group's number is not given again while one of it is there
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)
        self._guardian.ended(self._name, reason.value.exitCode, reason.value.signal)


class Guardian(LineOnlyReceiver):
    """Carries out orders, one a line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._children: dict[str, _Child] = {}
        self._leaving = False

    def say(self, event: str, name: str, **facts: Any) -> None:
        """Pass news on, if anybody listens."""
        if not self._leaving:
            self.transport.write(json.dumps({"event": event, "name": name, **facts}).encode() + b"\n")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """One order."""
        order = json.loads(line)
        name = order["name"]
        if order["do"] == "start":
            log = open(order["log"], "ab")  # noqa: SIM115 - the child closes it
            child = _Child(self, name, log, order["group"])
            self._children[name] = child
            command = [*(_GROUP if child.group else ()), *order["command"]]
            self._reactor.spawnProcess(child, command[0], command, env={**os.environ, **order["env"]})
            child.pid = child.transport.pid
            self.say("started", name, pid=child.pid)
        elif name in self._children:
            child = self._children[name]
            if order["do"] == "tell":
                child.transport.write(order["line"].encode() + b"\n")
            else:
                self._signal(child, order["signal"])

    @staticmethod
    def _signal(child: _Child, number: int) -> None:
        try:
            if child.group and number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
                os.killpg(child.pid, number)
            else:
                child.transport.signalProcess(number)  # a number, as Twisted knows few names
        except ProcessLookupError:
            pass
        except ProcessExitedAlready:
            pass

    def ended(self, name: str, code: int | None, by: int | None) -> None:
        """A process is gone."""
        self._children.pop(name, None)
        self.say("ended", name, code=code, signal=by)
        if self._leaving and not self._children:
            self._reactor.callLater(0, self._reactor.stop)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Nobody gives orders any more: end them all, then oneself."""
        self.leave()

    def leave(self) -> None:
        """Kill every process, wait for it, stop."""
        if self._leaving:
            return
        self._leaving = True
        for child in list(self._children.values()):
            self._signal(child, signal.SIGKILL)
        if not self._children:
            self._reactor.callLater(0, self._reactor.stop)


def main() -> None:
    """Serve until the input ends."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    guardian = Guardian(reactor)
    StandardIO(guardian)

    def begin() -> None:  # after the reactor's own handlers
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda got, frame: reactor.callFromThread(guardian.leave))

    reactor.callLater(0, begin)
    reactor.run()


if __name__ == "__main__":
    main()
