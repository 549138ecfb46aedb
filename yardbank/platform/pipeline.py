"""The commands of one client connection: worked on together, answered in order. No I/O; times in ns, passed in.

Invariants:

- Answers leave in the order of the commands, each once.
- At most ``MAX_OPEN`` commands are handed over at a time, and no more are while ``MAX_HELD_OCTETS`` of answers wait for
  those before them. The first command that is not answered is always handed over.
- No command is handed over before an earlier one that uses the same key, if either of the two writes.
- A command is due at its own deadline, and early enough for each one behind it to be answered by that one's deadline,
  unless that one's time was as good as over when it was read.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from yardbank.gateway.api import MS
from yardbank.platform.statement import Operation

MAX_OPEN = 8  # commands of one connection that are worked on together
MAX_HELD_OCTETS = 256 << 10  # of answers that wait for the ones before them
ORDER_MARGIN = 20 * MS  # a command is due so long before the deadline of one behind it


class Stage(Enum):
    """How far one command is."""

    WAITING = "not handed over yet"
    OPEN = "handed over, not answered"
    ANSWERED = "its answer waits for those before it"


@dataclass(slots=True, eq=False)
class Command:
    """One command of a client. ``operation.expires`` is when it is due (ns)."""

    operation: Operation | None  # None: it needs no database server, or is the last
    size: int  # octets of its text
    overdue: bool = False  # its time was as good as over when it was read
    stage: Stage = Stage.WAITING
    answer: bytes = b""
    last: str = ""  # why the connection ends with this answer; "": it does not
    request: str | None = None  # the gateway's number of it, once handed over

    @property
    def key(self) -> tuple[str, str] | None:
        """Which row it is about: its group and its name."""
        return None if self.operation is None else (self.operation.statement.group, self.operation.statement.key)

    @property
    def writes(self) -> bool:
        """Whether it may change its row."""
        return self.operation is not None and self.operation.statement.write


class Pipeline:
    """Commands in order, from reading to answer."""

    __slots__ = ("_commands", "_held_octets", "_open", "_unanswered", "_unanswered_octets")

    def __init__(self) -> None:
        self._commands: deque[Command] = deque()
        self._open = self._unanswered = 0  # how many are in these stages
        self._unanswered_octets = 0  # of the text of those that are not answered
        self._held_octets = 0  # of answers that wait

    def __len__(self) -> int:
        return len(self._commands)

    def __iter__(self) -> Iterator[Command]:
        return iter(self._commands)

    @property
    def open(self) -> int:
        """Commands that are handed over and not answered."""
        return self._open

    @property
    def unanswered_octets(self) -> int:
        """Octets of text of the commands that are not answered."""
        return self._unanswered_octets

    @property
    def held_octets(self) -> int:
        """Octets of answers that wait for those before them."""
        return self._held_octets

    def add(self, operation: Operation, size: int, now: int) -> list[Command]:
        """Take a command that was read at ``now``. Returns those before it that are due earlier because of it.

        One whose time is as good as over cannot be helped by ending others.
        """
        due = operation.expires - ORDER_MARGIN
        overdue = due <= now
        earlier = [] if overdue else self._hurry(due)
        self._append(Command(operation, size, overdue))
        return earlier

    def add_answered(self, answer: bytes, last: str = "") -> None:
        """Take a command whose answer is known already; ``last``: why the connection ends with it."""
        command = Command(None, 0, last=last)
        self._append(command)
        self.answered(command, answer)

    def next(self, more: bool) -> Command | None:
        """The next command to be handed over, which is open from now on; ``more``: beyond the first unanswered one."""
        if self._open == self._unanswered or self._open >= MAX_OPEN:
            return None
        if self._open and (not more or self._held_octets >= MAX_HELD_OCTETS):
            return None
        for command in self._ready():
            command.stage = Stage.OPEN
            self._open += 1
            return command
        return None

    def answered(self, command: Command, answer: bytes) -> None:
        """A command has its whole answer. Raises ``ValueError`` if it had one."""
        if command.stage is Stage.ANSWERED:
            raise ValueError("the command has its answer")
        self._open -= command.stage is Stage.OPEN
        self._unanswered -= 1
        self._unanswered_octets -= command.size
        self._held_octets += len(answer)
        command.stage = Stage.ANSWERED
        command.answer = answer

    def take_answers(self) -> bytes:
        """Answers whose turn has come, up to one that the connection ends with."""
        taken = []
        while self._commands and self._commands[0].stage is Stage.ANSWERED and not self._commands[0].last:
            answer = self._commands.popleft().answer
            self._held_octets -= len(answer)
            taken.append(answer)
        return b"".join(taken)

    def last_word(self) -> Command | None:
        """The answer that the connection ends with, once its turn has come."""
        if self._commands and self._commands[0].last and self._commands[0].stage is Stage.ANSWERED:
            return self._commands[0]
        return None

    def clear(self) -> list[Command]:
        """The client has gone: forget all. Returns the commands that were not answered."""
        unanswered = [command for command in self._commands if command.stage is not Stage.ANSWERED]
        self._commands.clear()
        self._open = self._unanswered = self._unanswered_octets = self._held_octets = 0
        return unanswered

    def _append(self, command: Command) -> None:
        self._commands.append(command)
        self._unanswered += 1
        self._unanswered_octets += command.size

    def _hurry(self, due: int) -> list[Command]:
        """Have all commands due by ``due``. From back to front they are due ever earlier, so the walk may end early."""
        hurried = []
        for command in reversed(self._commands):
            if command.operation is None or command.overdue:
                continue
            if command.operation.expires <= due:
                break
            if command.stage is not Stage.ANSWERED:
                command.operation.expires = due
                hurried.append(command)
        return hurried

    def _ready(self) -> Iterator[Command]:
        """Waiting commands that no unanswered command before them has to come before."""
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
