"""What probes and commits mean in the decision module's terms. No I/O; a timeline for each group."""

from __future__ import annotations

from collections.abc import Mapping

from yardbank.gateway.api import ProbeResult
from yardbank.interface import Report
from yardbank.timeline import LogPosition, References, Timeline, Vector


class Positions:
    """Translates marks that servers tell into positions on the gateway's clock."""

    def __init__(self) -> None:
        self._timelines: dict[int, Timeline] = {}
        self._references: dict[int, References] = {}
        self._group: dict[int, int] = {}
        self._marks: dict[int, dict[str, LogPosition]] = {}  # what each server last told

    def listed(self, server: int, group: int, primary: bool, now: int) -> None:
        """The list names a server; its word on the role counts until the server's own."""
        self._group[server] = group
        self._of(group)
        references = self._references[group]
        if primary and references.reference() is None:
            references.on_role(server, True, 0)

    def dropped(self, server: int) -> None:
        """The list names it no longer."""
        if (group := self._group.get(server)) is not None:  # its group stays known: late answers name it
            self._references[group].forget(server)

    def reference(self, server: int) -> int | None:
        """The other server to ask along with this one, so that its marks can be placed; None: no need."""
        reference = self._references[self._group[server]].reference()
        return None if reference == server else reference

    def leads(self, server: int) -> bool:
        """Whether a server was the last to be said primary of its group."""
        group = self._group.get(server)
        return group is not None and self._references[group].reference() == server

    def role(self, server: int, primary: bool, at: int) -> None:
        """An answer told the role."""
        if server in self._group:
            self._references[self._group[server]].on_role(server, primary, at)

    def committed(self, server: int, commit: tuple[str, LogPosition], sent_at: int) -> int:
        """The token of a write."""
        return self._of(self._group[server]).commit(*commit, sent_at)

    def observed(self, server: int, position: ProbeResult, sent_at: int) -> None:
        """A server told its marks and role, asked at ``sent_at``: a primary's place the log's head."""
        self._marks[server] = dict(position.marks)
        if position.primary is not None:
            self.role(server, position.primary, sent_at)
        if position.primary:
            self._of(self._group[server]).observe(position.marks, sent_at)

    def report(self, server: int, position: ProbeResult, sent_at: int) -> Report:
        """The report that a probe's answer amounts to: a primary stands at the time it was asked."""
        if position.primary:
            return Report(sent_at, True, position.load)
        return Report(self._of(self._group[server]).position(position.marks), position.primary, position.load)

    def proved(self, server: int, marks: Vector) -> int | None:
        """The position of a server that is said to have these marks, by this gateway's own links; None: no link of it.

        Nothing is learnt of the log from them. Raises ``TypeError`` where they are of another kind than the links'.
        """
        return self._of(self._group[server]).position(marks)

    def marks(self, server: int) -> dict[str, LogPosition]:
        """The marks that a server last told."""
        return self._marks.get(server, {})

    def head(self, group: int) -> dict[str, LogPosition]:
        """Marks that cover every token given out in a group."""
        return self._of(group).head_vector()

    def floor(self, group: int, marks: Mapping[str, LogPosition], now: int) -> int:
        """The token of a session that wrote, in an earlier run, no later than these marks."""
        return max((self._of(group).commit(origin, mark, now) for origin, mark in sorted(marks.items())), default=0)

    def _of(self, group: int) -> Timeline:
        if group not in self._timelines:
            self._timelines[group], self._references[group] = Timeline(), References()
        return self._timelines[group]


class ClockPositions(Positions):
    """Marks that are times, on a clock that every machine of the platform reads: no timeline is needed.

    Each mark is one integer: nanoseconds since 1970, on the clock that the gateway itself runs by.
    """

    def reference(self, server: int) -> int | None:
        """A time needs no other mark to be placed by."""
        return None

    def committed(self, server: int, commit: tuple[str, LogPosition], sent_at: int) -> int:
        """The commit's own time."""
        return int(commit[1][0])

    def observed(self, server: int, position: ProbeResult, sent_at: int) -> None:
        """Only the role is news; the time stands for itself."""
        if position.primary is not None and server in self._group:
            self.role(server, position.primary, sent_at)

    def report(self, server: int, position: ProbeResult, sent_at: int) -> Report:
        """What the server said, as it said it."""
        at = max((int(mark[0]) for mark in position.marks.values()), default=None)
        return Report(at, position.primary, position.load)

    def dropped(self, server: int) -> None:
        """Servers come and go under new names for good: nothing is kept of one that has left."""
        super().dropped(server)
        self._marks.pop(server, None)
