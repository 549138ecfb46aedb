"""State machine without I/O for one connection to a database server of the platform: one statement at a time.

An answer is passed on only when it is complete and well-formed. Anything else, or data without a pending statement,
makes the connection unusable: what follows could be taken for the answer to the next request.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from yardbank.gateway.api import MS, ProbeResult, Reply
from yardbank.interface import Role
from yardbank.pg import messages as pg
from yardbank.pg.state import Answer, Broken, ClientEnd, Idle, Opened
from yardbank.pg.wire import Frame, Reader, WireError
from yardbank.platform.memory_budget import Reservation
from yardbank.platform.report import DEFAULT_FIELDS, ORIGIN, parse_nanoseconds, read_report

MAX_MESSAGE_OCTETS = 1 << 20  # answers of several hundred KiB were seen; a longer announced length counts as corrupt
MAX_ANSWER_OCTETS = MAX_MESSAGE_OCTETS + (64 << 10)  # the longest message and those that come with it
MAX_EXTRAS = 64  # parameters and notices sent along with one answer
KEPT_PARAMETERS = frozenset(("part", "caught_up_to", "gauges"))
MISS_STATES = frozenset(("25006", "72000"))
FULL_STATE = "53300"
STATEMENT_ERROR_CLASSES = frozenset(("22", "23", "42"))  # caused by the statement: every server would answer the same
ROLES = {"master": Role.PRIMARY, "replica": Role.REPLICA}
PROBE = "SHOW gauges"


@dataclass(slots=True)
class _PendingStatement:
    """A statement that was sent and the part of its answer received so far."""

    tag: bytes  # of the expected CommandComplete
    probe: bool
    frames: list[Frame] = field(default_factory=list)
    parameters: dict[str, str] = field(default_factory=dict)
    extras: int = 0  # parameters and notices
    fault: pg.Fault | None = None
    error: bytes = b""  # the fault as received
    octets: int = 0  # received so far, without notices, which are not kept

    def count_extra(self) -> None:
        """Counts a parameter or notice. Raises ``WireError`` if there are too many: the answer may never end."""
        self.extras += 1
        if self.extras > MAX_EXTRAS:
            raise WireError(f"more than {MAX_EXTRAS} parameters and notices")

    def count(self, octets: int) -> None:
        """Counts octets that are kept. Raises ``WireError`` if they are too many for one answer."""
        self.octets += octets
        if self.octets > MAX_ANSWER_OCTETS:
            raise WireError(f"an answer of more than {MAX_ANSWER_OCTETS} octets")


class ServerSession:
    """Tracks one connection. ``take_output`` returns data to write; ``receive`` completes at most one reply."""

    def __init__(
        self, fields: Collection[str] | None = None, report_invalid: Callable[[str], None] = lambda what: None
    ) -> None:
        """``fields``: contents of load reports (None: not set); ``report_invalid``: called with what was invalid."""
        self._fields = DEFAULT_FIELDS if fields is None else fields
        self._report_invalid = report_invalid
        self._end = ClientEnd("backend", "store", "", "", MAX_MESSAGE_OCTETS)
        self._pending: _PendingStatement | None = None
        self._last_received = 0  # when octets were last received (ns)
        self.open = False
        self.broken = ""  # why the connection is unusable

    def memory_to_read(self) -> Reservation:
        """Returns what the answer received so far occupies, and what it needs to the end of the message that it is in.

        A connection between answers needs nothing beyond its guarantee.
        """
        kept = self._end.greeting_octets + (0 if self._pending is None else self._pending.octets)
        occupied = kept + self._end.waiting
        if self.broken or not occupied:
            return Reservation(0, 0)
        wanted = kept + max(self._end.announced, self._end.waiting)
        return Reservation(occupied, wanted, is_message=True, last_received=self._last_received)

    def discard_answer(self, reason: str) -> None:
        """Gives up the answer that is being received: the connection is unusable from now on."""
        self.broken = self.broken or reason

    @property
    def busy(self) -> bool:
        """Whether a statement is pending."""
        return self._pending is not None

    def take_output(self) -> bytes:
        """Returns the data to write now."""
        return self._end.take_output()

    def start_statement(self, text: str, write: bool = False, probe: bool = False) -> bytes:
        """Returns the octets that send one statement. Raises ``ValueError`` if the connection is not idle."""
        if self._pending is not None or not self.open or self.broken:
            raise ValueError("the connection takes nothing now")
        self._pending = _PendingStatement(b"INSERT 0 1" if write else b"SHOW" if probe else b"SELECT 1", probe)
        return pg.encode_client(pg.Query(text)).encode()

    def receive(self, data: bytes, now: int = 0) -> Reply | None:
        """Takes octets, split anywhere, and returns the reply they complete. Sets ``broken`` after the last one.

        ``now``: time (ns) on any clock that does not go back.
        """
        self._last_received = now
        reply: Reply | None = None
        try:
            for event in self._end.receive(data):
                if isinstance(event, Opened):
                    self.open = True
                elif isinstance(event, Broken):
                    self.broken = self.broken or event.reason
                    break
                elif self._pending is None:
                    raise WireError("more than was asked for")
                elif isinstance(event, Idle):
                    reply = self._complete(self._pending)
                    self._pending = None
                elif isinstance(event, Answer):
                    self._take_frame(event.frame, self._pending)
        except WireError as problem:
            self.broken = self.broken or str(problem)
        if self.open and self._pending is None and self._end.waiting:
            self.broken = self.broken or "more than was asked for"
        if self.broken and self.open:  # otherwise the server refused the connection in a well-formed message
            self._report_invalid(self.broken)
        return reply

    def ended(self) -> Reply | None:
        """The connection is lost: an error that was received completely still counts as the answer."""
        pending, self._pending = self._pending, None
        if pending is None or pending.fault is None or self.broken:
            return None
        return self._build_reply(pending)

    def _take_frame(self, frame: Frame, pending: _PendingStatement) -> None:
        """Takes one message of an answer; they must come in order."""
        kind = chr(frame.type)
        if kind == "S":
            self._take_parameter(frame, pending)
        elif kind == "N":
            pending.count_extra()
            pg.read_fault(frame)
        elif pending.fault is not None:
            raise WireError(f"message {kind!r} after an error")
        elif kind == "E":
            pending.count(len(frame.body))
            pending.fault = pg.read_fault(frame)
            pending.error = frame.encode()
        else:
            _check_result(frame, pending)
            pending.count(len(frame.body))
            pending.frames.append(frame)

    @staticmethod
    def _take_parameter(frame: Frame, pending: _PendingStatement) -> None:
        """Takes one parameter; only those that are used are kept."""
        name, value = pg.read_parameter(frame)
        pending.count_extra()
        if name in KEPT_PARAMETERS:
            pending.count(len(frame.body))
            pending.parameters[name] = value

    def _complete(self, pending: _PendingStatement) -> Reply:
        if pending.fault is None and len(pending.frames) < 3:
            raise WireError("an answer without its row")
        return self._build_reply(pending)

    def _build_reply(self, pending: _PendingStatement) -> Reply:
        role = ROLES.get(pending.parameters.get("part", ""), Role.UNKNOWN)
        commit = report = None
        if (at := parse_nanoseconds(pending.parameters.get("caught_up_to", ""), MS)) is not None:
            commit = ORIGIN, (at,)
        if "gauges" in pending.parameters:
            report = self._read_report("gauges", pending.parameters["gauges"])
        if pending.fault is not None:
            state = pending.fault.state
            if state[:2] in STATEMENT_ERROR_CLASSES and not pending.probe:
                return Reply("ok", pending.error, role, None, state, report)
            status = "miss" if state in MISS_STATES else "full" if state == FULL_STATE else "error"
            message = dict(pending.fault.fields).get("M", "")
            return Reply(status, None, role, commit, f"{state} {message}"[:60], report)
        if pending.probe:
            (column,) = pg.read_row(pending.frames[1])
            report = self._read_report("the row", (column or b"").decode("ascii", "replace"))
            return Reply("ok", None, role, None, "", report)
        return Reply("ok", b"".join(frame.encode() for frame in pending.frames), role, commit, "", report)

    def _read_report(self, where: str, text: str) -> ProbeResult | None:
        """Reads a load report and reports its invalid fields."""
        report = read_report(text, self._fields)
        if report.invalid:
            self._report_invalid(f"load report in {where}: {', '.join(report.invalid)}"[:200])
        return report.position


def _check_result(frame: Frame, pending: _PendingStatement) -> None:
    """Checks that a message is the next one in a result of one row with one column. Raises ``WireError``."""
    kind = chr(frame.type)
    expected = "TDC"[len(pending.frames) : len(pending.frames) + 1]
    if kind != expected:
        raise WireError(f"message {kind!r} where {expected or 'the end'!r} is due")
    if kind == "T":
        _check_description(frame)
    elif kind == "D":
        if len(pg.read_row(frame)) != 1:
            raise WireError("DataRow: not one column")
    elif frame.body != pending.tag + b"\0" and not pending.probe:
        raise WireError(f"CommandComplete {frame.body[:20]!r}")


def _check_description(frame: Frame) -> None:
    reader = Reader(frame.body)
    if reader.count("columns", 19) != 1:
        raise WireError("RowDescription: not one column")
    reader.text("column")
    reader.take(18, "column")
    reader.end("RowDescription")
