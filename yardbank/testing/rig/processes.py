"""Controls the processes of a scenario through the guardian. I/O only: ``roster`` tracks their states."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

from yardbank.testing.rig.notices import EXAMPLE, PUBLISH_PERIOD_S
from yardbank.testing.rig.roster import DOWN, READY, ProcessTable

Record = Callable[[dict[str, Any]], None]
_SIGNALS = {"kill": signal.SIGKILL, "terminate": signal.SIGTERM, "pause": signal.SIGSTOP, "resume": signal.SIGCONT}


def program_command(kind: str, settings: Path, channels: int) -> tuple[list[str], dict[str, str]]:
    """The command that starts a gateway and its extra environment; ``kind``: "", "landed" or "notices".

    Raises ``ProgramMissingError``.
    """
    if kind == "notices":
        if not EXAMPLE.exists():
            raise ProgramMissingError(f"{EXAMPLE}: example program not found")
        return [
            sys.executable,
            str(EXAMPLE),
            str(settings),
            "--channels",
            str(channels),
            "--every",
            str(PUBLISH_PERIOD_S),
        ], {}
    arguments = ["-m", "yardbank", "serve", str(settings)]
    if not kind:
        return [sys.executable, *arguments], {}
    older_program = os.environ.get("YARDBANK_LANDED", "")
    if not (Path(older_program) / "yardbank").is_dir():
        raise ProgramMissingError(f'YARDBANK_LANDED: no older program in "{older_program}"')
    return [sys.executable, "-P", *arguments], {"PYTHONPATH": older_program}


class ProgramMissingError(Exception):
    """A program that the scenario needs does not exist."""


class GuardianLostError(Exception):
    """The guardian exited unexpectedly."""


class Processes(ProcessProtocol):
    """Starts, signals and awaits processes.

    ``ready`` returns the listening port if a line of output says that the process is ready, and None otherwise.
    """

    def __init__(self, reactor: Any, record: Record, ready: Callable[[str, dict[str, Any]], int | None]) -> None:
        self.process_table = ProcessTable()
        self._reactor, self._record, self._ready = reactor, record, ready
        self._partial_line = b""
        self._waiting: dict[tuple[str, str], list[Deferred[Any]]] = {}
        self._guardian_exited: Deferred[None] = Deferred()
        self._closing = False
        self.transport: Any = None
        self.on_lost: Callable[[], None] = lambda: None
        self.on_line: Callable[[str, dict[str, Any]], None] = lambda name, line: None
        command = [sys.executable, "-m", "yardbank.testing.rig.guardian"]

        # A new session, so that signals from the terminal reach the rig only.
        reactor.spawnProcess(self, command[0], command, env=None, usePTY=False)

    def _send_command(self, do: str, name: str, **more: Any) -> None:
        if self._guardian_exited.called:
            return
        self.transport.write(json.dumps({"do": do, "name": name, **more}).encode() + b"\n")

    def start(
        self, name: str, command: Sequence[str], log: Path, env: Mapping[str, str] | None = None, group: bool = False
    ) -> Deferred[Any]:
        """Starts a process; fires when it is ready and fails if it exits before.

        ``group``: it has child processes, which get its kill, stop and continue signals.
        """
        self.process_table.move(name, "start")
        self._record({"kind": "process", "name": name, "what": "start"})
        self._send_command("start", name, command=list(command), log=str(log), env=dict(env or {}), group=group)
        return self._wait(name, "ready")

    def signal(self, name: str, word: str) -> None:
        """Kills, terminates, pauses or resumes a process."""
        self.process_table.move(name, word)
        self._record({"kind": "process", "name": name, "what": word})
        self._send_command("signal", name, signal=int(_SIGNALS[word]))

    def reload_settings(self, name: str) -> None:
        """Sends SIGHUP, which reloads the settings."""
        self._send_command("signal", name, signal=int(signal.SIGHUP))

    def tell(self, name: str, line: dict[str, Any]) -> None:
        """Writes a line to the process's standard input."""
        self._send_command("tell", name, line=json.dumps(line))

    def ended(self, name: str) -> Deferred[Any]:
        """Fires when the process has exited."""
        return self._wait(name, "ended")

    def _wait(self, name: str, word: str) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        if self._guardian_exited.called and word == "ready":
            done.errback(GuardianLostError("the guardian ended"))
        elif word == "ended" and self.process_table.member(name).state == DOWN:
            done.callback(None)
        else:
            self._waiting.setdefault((name, word), []).append(done)
        return done

    def _complete(self, name: str, word: str, failure: Exception | None = None) -> None:
        for done in self._waiting.pop((name, word), []):
            done.errback(failure) if failure else done.callback(None)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes events from the guardian."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            event = json.loads(line)
            getattr(self, f"_{event['event']}")(event["name"], event)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Records error output of the guardian, which indicates a fault of its own."""
        self._record({"kind": "guardian", "text": data.decode(errors="replace")[:2000]})

    def _started(self, name: str, event: dict[str, Any]) -> None:
        self.process_table.member(name).pid = event["pid"]

    def _line(self, name: str, event: dict[str, Any]) -> None:
        try:
            line = json.loads(event["line"])
        except json.JSONDecodeError:
            return  # not JSON; it is in the log
        if not isinstance(line, dict):
            return
        port = self._ready(name, line)
        if port is not None and self.process_table.member(name).state == READY:  # a supervisor has restarted its worker
            self.process_table.member(name).port = port
            self._record({"kind": "process", "name": name, "what": "ready"})
        elif port is not None and self.process_table.can(name, "ready"):
            self.process_table.move(name, "ready").port = port
            self._record({"kind": "process", "name": name, "what": "ready"})
            self._complete(name, "ready")
        self.on_line(name, line)

    def _ended(self, name: str, event: dict[str, Any]) -> None:
        meant = self.process_table.ended(name, event["code"], event["signal"])
        self._record(
            {
                "kind": "process",
                "name": name,
                "what": "ended",
                "meant": meant,
                "code": event["code"],
                "signal": event["signal"],
            }
        )
        self._complete(name, "ready", GuardianLostError(f"{name} ended before it was ready"))
        self._complete(name, "ended")

    def close(self) -> Deferred[None]:
        """Ends all remaining processes; fires when the guardian, and thus all of them, have exited."""
        self._closing = True
        if not self._guardian_exited.called:
            self.transport.closeStdin()
        return self._guardian_exited

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Handles the guardian's exit. If it was unexpected, kills the remaining processes by their ids."""
        if not self._closing:
            for member in self.process_table.running():
                with contextlib.suppress(ProcessLookupError):
                    end = os.killpg if os.getpgid(member.pid) == member.pid else os.kill
                    end(member.pid, signal.SIGKILL)
            self.process_table.lost()
        for waiting in list(self._waiting):
            self._complete(*waiting, failure=GuardianLostError("the guardian ended"))
        if not self._guardian_exited.called:
            self._guardian_exited.callback(None)
        if not self._closing:
            self.on_lost()
