"""The processes of a scenario, by way of the guardian. Thin: ``roster`` knows their states."""

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
from yardbank.testing.rig.roster import DOWN, READY, Roster

Record = Callable[[dict[str, Any]], None]
_SIGNALS = {"kill": signal.SIGKILL, "terminate": signal.SIGTERM, "pause": signal.SIGSTOP, "resume": signal.SIGCONT}


def program_command(kind: str, settings: Path, channels: int) -> tuple[list[str], dict[str, str]]:
    """What starts a gateway, and its environment beside the rig's own; ``kind``: "", "landed" or "notices".

    Raises ``ProgramMissingError``.
    """
    if kind == "notices":
        if not EXAMPLE.exists():
            raise ProgramMissingError(f"{EXAMPLE}: the example is not there")
        return [
            sys.executable,
            str(EXAMPLE),
            str(settings),
            "--channels",
            str(channels),
            "--every",
            str(PUBLISH_PERIOD_S),
        ], {}
    usual = ["-m", "yardbank", "serve", str(settings)]
    if not kind:
        return [sys.executable, *usual], {}
    older = os.environ.get("YARDBANK_LANDED", "")
    if not (Path(older) / "yardbank").is_dir():
        raise ProgramMissingError(f'YARDBANK_LANDED: "{older}" holds no older program')
    return [sys.executable, "-P", *usual], {"PYTHONPATH": older}


class ProgramMissingError(Exception):
    """A program that a scenario wants is not there; says which."""


class GuardianLostError(Exception):
    """The guardian ended before it was told to."""


class Processes(ProcessProtocol):
    """Starts, signals and awaits processes. ``ready`` tells from a line of output that one is, and on which port."""

    def __init__(self, reactor: Any, record: Record, ready: Callable[[str, dict[str, Any]], int | None]) -> None:
        self.roster = Roster()
        self._reactor, self._record, self._ready = reactor, record, ready
        self._rest = b""
        self._waiting: dict[tuple[str, str], list[Deferred[Any]]] = {}
        self._gone: Deferred[None] = Deferred()
        self._closing = False
        self.transport: Any = None
        self.on_lost: Callable[[], None] = lambda: None
        self.on_line: Callable[[str, dict[str, Any]], None] = lambda name, line: None
        command = [sys.executable, "-m", "yardbank.testing.rig.guardian"]

        # A session of its own: what a terminal sends to its foreground is for the rig alone to act on.
        reactor.spawnProcess(self, command[0], command, env=None, usePTY=False)

    def _order(self, do: str, name: str, **more: Any) -> None:
        if self._gone.called:
            return
        self.transport.write(json.dumps({"do": do, "name": name, **more}).encode() + b"\n")

    def start(
        self, name: str, command: Sequence[str], log: Path, env: Mapping[str, str] | None = None, group: bool = False
    ) -> Deferred[Any]:
        """Start one; fires when it is ready, fails if it ends first.

        ``group``: it has processes of its own, which are killed, stopped and woken with it.
        """
        self.roster.move(name, "start")
        self._record({"kind": "process", "name": name, "what": "start"})
        self._order("start", name, command=list(command), log=str(log), env=dict(env or {}), group=group)
        return self._wait(name, "ready")

    def signal(self, name: str, word: str) -> None:
        """Kill, terminate, pause or resume one."""
        self.roster.move(name, word)
        self._record({"kind": "process", "name": name, "what": word})
        self._order("signal", name, signal=int(_SIGNALS[word]))

    def hang_up(self, name: str) -> None:
        """SIGHUP: read the settings again."""
        self._order("signal", name, signal=int(signal.SIGHUP))

    def tell(self, name: str, line: dict[str, Any]) -> None:
        """A line to its standard input."""
        self._order("tell", name, line=json.dumps(line))

    def ended(self, name: str) -> Deferred[Any]:
        """Fires when it is gone."""
        return self._wait(name, "ended")

    def _wait(self, name: str, word: str) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        if self._gone.called and word == "ready":
            done.errback(GuardianLostError("the guardian ended"))
        elif word == "ended" and self.roster.member(name).state == DOWN:
            done.callback(None)
        else:
            self._waiting.setdefault((name, word), []).append(done)
        return done

    def _happened(self, name: str, word: str, failure: Exception | None = None) -> None:
        for done in self._waiting.pop((name, word), []):
            done.errback(failure) if failure else done.callback(None)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """News from the guardian."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            news = json.loads(line)
            getattr(self, f"_{news['event']}")(news["name"], news)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """The guardian has nothing to complain of unless it is broken."""
        self._record({"kind": "guardian", "text": data.decode(errors="replace")[:2000]})

    def _started(self, name: str, news: dict[str, Any]) -> None:
        self.roster.member(name).pid = news["pid"]

    def _line(self, name: str, news: dict[str, Any]) -> None:
        try:
            line = json.loads(news["line"])
        except json.JSONDecodeError:
            return  # not meant for a program; the log has it
        if not isinstance(line, dict):
            return
        port = self._ready(name, line)
        if port is not None and self.roster.member(name).state == READY:  # under a supervisor it has started anew
            self.roster.member(name).port = port
            self._record({"kind": "process", "name": name, "what": "ready"})
        elif port is not None and self.roster.may(name, "ready"):
            self.roster.move(name, "ready").port = port
            self._record({"kind": "process", "name": name, "what": "ready"})
            self._happened(name, "ready")
        self.on_line(name, line)

    def _ended(self, name: str, news: dict[str, Any]) -> None:
        meant = self.roster.ended(name, news["code"], news["signal"])
        self._record(
            {
                "kind": "process",
                "name": name,
                "what": "ended",
                "meant": meant,
                "code": news["code"],
                "signal": news["signal"],
            }
        )
        self._happened(name, "ready", GuardianLostError(f"{name} ended before it was ready"))
        self._happened(name, "ended")

    def close(self) -> Deferred[None]:
        """End all that still run; fires when the guardian is gone, and they with it."""
        self._closing = True
        if not self._gone.called:
            self.transport.closeStdin()
        return self._gone

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """The guardian is gone. If it was not told to go, its processes are still there: end them by their ids."""
        if not self._closing:
            for member in self.roster.running():
                with contextlib.suppress(ProcessLookupError):
                    end = os.killpg if os.getpgid(member.pid) == member.pid else os.kill
                    end(member.pid, signal.SIGKILL)
            self.roster.lost()
        for waiting in list(self._waiting):
            self._happened(*waiting, failure=GuardianLostError("the guardian ended"))
        if not self._gone.called:
            self._gone.callback(None)
        if not self._closing:
            self.on_lost()
