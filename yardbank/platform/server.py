"""One connection to a database server of the platform as a state machine without I/O: one statement at a time.

An answer is passed on only when it is whole and of the one form that it can have. Whatever else comes, or comes when
nothing was asked, makes the connection useless: what follows could be taken for the next request's answer.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from yardbank.gateway.api import MS, ProbeResult, Reply
from yardbank.interface import Role
from yardbank.pg import messages as pg
from yardbank.pg.state import Answer, Broken, ClientEnd, Idle, Opened
from yardbank.pg.wire import Frame, Reader, WireError
from yardbank.platform.report import ORIGIN, UNSAID, nanoseconds, read_report

MAX_MESSAGE = 1 << 20  # answers of several hundred KiB were seen; what is said to be longer is taken for spoilt
MAX_STATUS = 64  # parameters told along with one answer
MISSES = frozenset(("25006", "72000"))
FULL = "53300"
DEFINITE = frozenset(("22", "23", "42"))  # classes of errors that a statement has by itself: no server says otherwise
ROLES = {"master": Role.PRIMARY, "replica": Role.REPLICA}
PROBE = "SHOW gauges"


@dataclass(slots=True)
class _Asked:
    """What is out, and what has come of its answer."""

    tag: bytes  # of the CommandComplete that is due
    probe: bool
    frames: list[Frame] = field(default_factory=list)
    told: dict[str, str] = field(default_factory=dict)
    fault: pg.Fault | None = None
    error: bytes = b""  # the fault as it came


class ServerSession:
    """What one connection is about. Output is taken by ``take_output``; ``receive`` brings at most one reply."""

    def __init__(
        self, fields: Collection[str] | None = None, spoilt: Callable[[str], None] = lambda what: None
    ) -> None:
        """``fields``: what load reports hold, as the settings say (None: not said); ``spoilt``: told of faults."""
        self._fields = UNSAID if fields is None else fields
        self._spoilt = spoilt
        self._end = ClientEnd("backend", "store", "", "", MAX_MESSAGE)
        self._asked: _Asked | None = None
        self.open = False
        self.broken = ""  # why it is of no further use

    @property
    def busy(self) -> bool:
        """Whether a statement is out."""
        return self._asked is not None

    def take_output(self) -> bytes:
        """What is to be written now."""
        return self._end.take_output()

    def ask(self, text: str, write: bool = False, probe: bool = False) -> bytes:
        """Send one statement: the octets to be written. Raises ``ValueError`` if one is out."""
        if self._asked is not None or not self.open or self.broken:
            raise ValueError("the connection takes nothing now")
        self._asked = _Asked(b"INSERT 0 1" if write else b"SHOW" if probe else b"SELECT 1", probe)
        return pg.encode_client(pg.Query(text)).encode()

    def receive(self, data: bytes) -> Reply | None:
        """Take octets in any split; the reply that they complete. Afterwards ``broken`` says if this was the last."""
        reply: Reply | None = None
        try:
            for event in self._end.receive(data):
                if isinstance(event, Opened):
                    self.open = True
                elif isinstance(event, Broken):
                    self.broken = self.broken or event.reason
                    break
                elif self._asked is None:
                    raise WireError("more than was asked for")
                elif isinstance(event, Idle):
                    reply = self._whole(self._asked)
                    self._asked = None
                elif isinstance(event, Answer):
                    self._frame(event.frame, self._asked)
        except WireError as problem:
            self.broken = self.broken or str(problem)
        if reply is not None and self._end.waiting:
            self.broken = self.broken or "more than was asked for"
        if self.broken and self.open:  # else it was turned away, in good form
            self._spoilt(self.broken)
        return reply

    def ended(self) -> Reply | None:
        """The connection is gone: an error that had come whole is an answer all the same."""
        asked, self._asked = self._asked, None
        if asked is None or asked.fault is None or self.broken:
            return None
        return self._reply(asked)

    def _frame(self, frame: Frame, asked: _Asked) -> None:
        """One message of an answer, in the only order there is."""
        kind = chr(frame.type)
        if kind == "S":
            name, held = pg.read_parameter(frame)
            asked.told[name] = held
            if len(asked.told) > MAX_STATUS:
                raise WireError(f"more than {MAX_STATUS} parameters")
        elif kind == "N":
            pg.read_fault(frame)
        elif asked.fault is not None:
            raise WireError(f"message {kind!r} after an error")
        elif kind == "E":
            asked.fault = pg.read_fault(frame)
            asked.error = frame.encode()
        else:
            _check_result(frame, asked)
            asked.frames.append(frame)

    def _whole(self, asked: _Asked) -> Reply:
        if asked.fault is None and len(asked.frames) < 3:
            raise WireError("an answer without its row")
        return self._reply(asked)

    def _reply(self, asked: _Asked) -> Reply:
        role = ROLES.get(asked.told.get("part", ""), Role.UNKNOWN)
        commit = report = None
        if (at := nanoseconds(asked.told.get("caught_up_to", ""), MS)) is not None:
            commit = ORIGIN, (at,)
        if "gauges" in asked.told:
            report = self._report("gauges", asked.told["gauges"])
        if asked.fault is not None:
            state = asked.fault.state
            if state[:2] in DEFINITE and not asked.probe:
                return Reply("ok", asked.error, role, None, state, report)
            status = "miss" if state in MISSES else "full" if state == FULL else "error"
            told = dict(asked.fault.fields).get("M", "")
            return Reply(status, None, role, commit, f"{state} {told}"[:60], report)
        if asked.probe:
            (column,) = pg.read_row(asked.frames[1])
            report = self._report("the row", (column or b"").decode("ascii", "replace"))
            return Reply("ok", None, role, None, "", report)
        return Reply("ok", b"".join(frame.encode() for frame in asked.frames), role, commit, "", report)

    def _report(self, where: str, text: str) -> ProbeResult | None:
        """A load report; what is spoilt in it is told."""
        report = read_report(text, self._fields)
        if report.spoilt:
            self._spoilt(f"load report in {where}: {', '.join(report.spoilt)}"[:200])
        return report.position


def _check_result(frame: Frame, asked: _Asked) -> None:
    """Check that a message is the one that is due of a result of one row with one column. Raises ``WireError``."""
    kind = chr(frame.type)
    due = "TDC"[len(asked.frames) : len(asked.frames) + 1]
    if kind != due:
        raise WireError(f"message {kind!r} where {due or 'the end'!r} is due")
    if kind == "T":
        _check_description(frame)
    elif kind == "D":
        if len(pg.read_row(frame)) != 1:
            raise WireError("DataRow: not one column")
    elif frame.body != asked.tag + b"\0" and not asked.probe:
        raise WireError(f"CommandComplete {frame.body[:20]!r}")


def _check_description(frame: Frame) -> None:
    reader = Reader(frame.body)
    if reader.count("columns", 19) != 1:
        raise WireError("RowDescription: not one column")
    reader.text("column")
    reader.take(18, "column")
    reader.end("RowDescription")
