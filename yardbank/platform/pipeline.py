"""Commands of one client connection: processed in parallel, answered in order. No I/O; times in ns, passed in.

Invariants:

- Answers leave in the order of the commands, each once.
- At most ``MAX_OPEN`` commands are dispatched at a time, and no more are while ``MAX_HELD_OCTETS`` of answers wait for
  earlier ones. The first unanswered command is always dispatched.
- No command is dispatched before an earlier one that uses the same key, if either of the two writes.
- A command is due at its own deadline, and early enough for each later command to be answered by that one's deadline,
  unless the later one's time was practically over when it was read.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from yardbank.gateway.api import MS
from yardbank.platform.statement import Operation

MAX_OPEN = 8  # commands of one connection that are processed in parallel
MAX_HELD_OCTETS = 256 << 10  # octets of answers that wait for earlier ones
ORDER_MARGIN = 20 * MS  # a command is due this long before the deadline of a later one


class Stage(Enum):
    """Stage of one command."""

    WAITING = "not dispatched yet"
    OPEN = "dispatched, not answered"
    ANSWERED = "the answer waits for earlier ones"


@dataclass(slots=True, eq=False)
class Command:
    """One command of a client. ``operation.expires`` is its deadline (ns)."""

    operation: Operation | None  # None: no database server is needed, or the connection ends with it
    size: int  # octets of its text
    is_late: bool = False  # its time was practically over when it was read
    stage: Stage = Stage.WAITING
    answer: bytes = b""
    close_reason: str = ""  # why the connection closes after this answer; "": it stays open
    request: str | None = None  # the gateway's id of the request, once dispatched

    @property
    def key(self) -> tuple[str, str] | None:
        """The row that the command uses: its group and key."""
        return None if self.operation is None else (self.operation.statement.group, self.operation.statement.key)

    @property
    def writes(self) -> bool:
        """Whether the command may change its row."""
        return self.operation is not None and self.operation.statement.write


class Pipeline:
    """Queue of commands, from reading to answer."""

    __slots__ = ("_commands", "_held_octets", "_open", "_unanswered", "_unanswered_octets")

    def __init__(self) -> None:
        self._commands: deque[Command] = deque()
        self._open = self._unanswered = 0  # number of commands in these stages
        self._unanswered_octets = 0  # text of unanswered commands
        self._held_octets = 0  # answers that wait

    def __len__(self) -> int:
        return len(self._commands)

    def __iter__(self) -> Iterator[Command]:
        return iter(self._commands)

    @property
    def open(self) -> int:
        """Number of commands that are dispatched and not answered."""
        return self._open

    @property
    def has_waiting(self) -> bool:
        """Whether a command is not dispatched yet."""
        return self._open < self._unanswered

    @property
    def unanswered_octets(self) -> int:
        """Octets of text of the unanswered commands."""
        return self._unanswered_octets

    @property
    def held_octets(self) -> int:
        """Octets of answers that wait for earlier ones."""
        return self._held_octets

    def add(self, operation: Operation, size: int, now: int) -> list[Command]:
        """Queues a command read at ``now``. Returns the earlier commands that are due sooner because of it.

        A command whose time is practically over moves no deadline: ending others early could not save it.
        """
        due = operation.expires - ORDER_MARGIN
        is_late = due <= now
        earlier = [] if is_late else self._expedite(due)
        self._append(Command(operation, size, is_late))
        return earlier

    def add_answered(self, answer: bytes, close_reason: str = "") -> None:
        """Queues a command whose answer is known; ``close_reason``: why the connection closes after it."""
        command = Command(None, 0, close_reason=close_reason)
        self._append(command)
        self.answered(command, answer)

    def next(self, allow_parallel: bool) -> Command | None:
        """Opens and returns the next command to dispatch; ``allow_parallel``: besides the first unanswered one."""
        if not self.has_waiting or self._open >= MAX_OPEN:
            return None
        if self._open and (not allow_parallel or self._held_octets >= MAX_HELD_OCTETS):
            return None
        for command in self._runnable():
            command.stage = Stage.OPEN
            self._open += 1
            return command
        return None

    def answered(self, command: Command, answer: bytes) -> None:
        """Takes the complete answer of a command. Raises ``ValueError`` if it has one already."""
        if command.stage is Stage.ANSWERED:
            raise ValueError("the command is already answered")
        self._open -= command.stage is Stage.OPEN
        self._unanswered -= 1
        self._unanswered_octets -= command.size
        self._held_octets += len(answer)
        command.stage = Stage.ANSWERED
        command.answer = answer

    def take_answers(self) -> bytes:
        """Removes and returns the answers whose turn has come, up to one that closes the connection."""
        taken = []
        while self._commands and self._commands[0].stage is Stage.ANSWERED and not self._commands[0].close_reason:
            answer = self._commands.popleft().answer
            self._held_octets -= len(answer)
            taken.append(answer)
        return b"".join(taken)

    def closing_command(self) -> Command | None:
        """Returns the command whose answer closes the connection, once its turn has come."""
        if self._commands and self._commands[0].close_reason and self._commands[0].stage is Stage.ANSWERED:
            return self._commands[0]
        return None

    def clear(self) -> list[Command]:
        """Drops all commands of a client that has gone. Returns those that were not answered."""
        unanswered = [command for command in self._commands if command.stage is not Stage.ANSWERED]
        self._commands.clear()
        self._open = self._unanswered = self._unanswered_octets = self._held_octets = 0
        return unanswered

    def _append(self, command: Command) -> None:
        self._commands.append(command)
        self._unanswered += 1
        self._unanswered_octets += command.size

    def _expedite(self, due: int) -> list[Command]:
        """Moves later deadlines forward to ``due``. Back to front they only decrease, so the walk may stop early."""
        expedited = []
        for command in reversed(self._commands):
            if command.operation is None or command.is_late:
                continue
            if command.operation.expires <= due:
                break
            if command.stage is not Stage.ANSWERED:
                command.operation.expires = due
                expedited.append(command)
        return expedited

    def _runnable(self) -> Iterator[Command]:
        """Yields waiting commands that need not wait for an earlier unanswered command."""
        read: set[tuple[str, str] | None] = set()
        written: set[tuple[str, str] | None] = set()
        for command in self._commands:
            if command.stage is Stage.ANSWERED:
                continue
            key = command.key
            blocked = key in written or (command.writes and key in read)
            if command.stage is Stage.WAITING and not blocked:
                yield command
            (written if command.writes else read).add(key)
