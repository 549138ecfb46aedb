"""Supervises the processes of a scenario and cleans up after the rig: ``python -m yardbank.testing.rig.guardian``.

Reads commands as JSON lines from standard input (``start``, ``signal``, ``tell``) and writes events to standard output
(``started``, ``line``, ``ended``). When the input ends, for whatever reason, it kills all started processes by their
ids and waits for them. As their parent it cannot confuse their ids with those of other processes.
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

MAX_COMMAND_OCTETS = 1 << 20  # octets of one command
MAX_FORWARDED_OCTETS = 4096  # octets forwarded of each output line; the log has all of it
# Creates a process group and then executes the program. Done in the child, because the parent could be too late.
_GROUP_LAUNCHER = (sys.executable, "-S", "-c", "import os, sys; os.setpgid(0, 0); os.execv(sys.argv[1], sys.argv[1:])")


class _Child(ProcessProtocol):
    """One child process. Its output and error output are logged and forwarded by line."""

    def __init__(self, guardian: Guardian, name: str, log: IO[bytes], group: bool) -> None:
        self._guardian, self._name, self._log, self.group = guardian, name, log, group
        self._partial_lines = {1: b"", 2: b""}
        self.transport: Any = None
        self.pid = 0

    def childDataReceived(self, fd: int, data: bytes) -> None:  # noqa: N802
        self._log.write(data)
        self._log.flush()
        *lines, rest = (self._partial_lines[fd] + data).split(b"\n")
        self._partial_lines[fd] = rest[-MAX_FORWARDED_OCTETS:]
        for line in lines:
            self._guardian.send_event("line", self._name, line=line[:MAX_FORWARDED_OCTETS].decode(errors="replace"))

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self._log.close()
        if self.group:  # kills remaining members; the group id is not reused while one exists
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)
        self._guardian.ended(self._name, reason.value.exitCode, reason.value.signal)


class Guardian(LineOnlyReceiver):
    """Carries out commands, one for each line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_COMMAND_OCTETS
    transport: Any

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._children: dict[str, _Child] = {}
        self._stopping = False

    def send_event(self, event: str, name: str, **facts: Any) -> None:
        """Writes an event, unless the guardian is stopping."""
        if not self._stopping:
            self.transport.write(json.dumps({"event": event, "name": name, **facts}).encode() + b"\n")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Carries out one command."""
        request = json.loads(line)
        name = request["name"]
        if request["do"] == "start":
            log = open(request["log"], "ab")  # noqa: SIM115 - the child closes it
            child = _Child(self, name, log, request["group"])
            self._children[name] = child
            command = [*(_GROUP_LAUNCHER if child.group else ()), *request["command"]]
            self._reactor.spawnProcess(child, command[0], command, env={**os.environ, **request["env"]})
            child.pid = child.transport.pid
            self.send_event("started", name, pid=child.pid)
        elif name in self._children:
            child = self._children[name]
            if request["do"] == "tell":
                child.transport.write(request["line"].encode() + b"\n")
            else:
                self._signal(child, request["signal"])

    @staticmethod
    def _signal(child: _Child, number: int) -> None:
        try:
            if child.group and number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
                os.killpg(child.pid, number)
            else:
                child.transport.signalProcess(number)  # by number, because Twisted knows few signal names
        except ProcessLookupError:
            pass
        except ProcessExitedAlready:
            pass

    def ended(self, name: str, code: int | None, by: int | None) -> None:
        """Handles the exit of a process."""
        self._children.pop(name, None)
        self.send_event("ended", name, code=code, signal=by)
        if self._stopping and not self._children:
            self._reactor.callLater(0, self._reactor.stop)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Stops, because the rig has gone."""
        self.shut_down()

    def shut_down(self) -> None:
        """Kills all processes, waits for them, and stops."""
        if self._stopping:
            return
        self._stopping = True
        for child in list(self._children.values()):
            self._signal(child, signal.SIGKILL)
        if not self._children:
            self._reactor.callLater(0, self._reactor.stop)


def main() -> None:
    """Runs until the input ends."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    guardian = Guardian(reactor)
    StandardIO(guardian)

    def install_signal_handlers() -> None:  # runs after the reactor installs its own handlers
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda got, frame: reactor.callFromThread(guardian.shut_down))

    reactor.callLater(0, install_signal_handlers)
    reactor.run()


if __name__ == "__main__":
    main()
