"""Translates the log positions in probes and commits for the policy router. No I/O; one timeline per group."""

from __future__ import annotations

from collections.abc import Mapping

from yardbank.gateway.api import ProbeResult
from yardbank.interface import Report
from yardbank.timeline import LogPosition, References, Timeline, Vector


class Positions:
    """Translates log positions that servers report to positions on the gateway's clock."""

    def __init__(self) -> None:
        self._timelines: dict[int, Timeline] = {}
        self._references_by_group: dict[int, References] = {}
        self._group_by_server: dict[int, int] = {}
        self._marks_by_server: dict[int, dict[str, LogPosition]] = {}  # the last report of each server

    def listed(self, server: int, group: int, primary: bool, now: int) -> None:
        """Add a listed server; the listed role applies until the server reports its own."""
        self._group_by_server[server] = group
        self._timeline(group)
        references = self._references_by_group[group]
        if primary and references.reference() is None:
            references.on_role(server, True, 0)

    def dropped(self, server: int) -> None:
        """Remove a server that is no longer listed."""
        if (group := self._group_by_server.get(server)) is not None:  # its group stays known: late answers refer to it
            self._references_by_group[group].forget(server)

    def reference(self, server: int) -> int | None:
        """Return the server to probe along with this one, to place its positions on the timeline; None: not needed."""
        reference = self._references_by_group[self._group_by_server[server]].reference()
        return None if reference == server else reference

    def is_reference(self, server: int) -> bool:
        """Whether a server was the last one reported to be the primary of its group."""
        group = self._group_by_server.get(server)
        return group is not None and self._references_by_group[group].reference() == server

    def role(self, server: int, primary: bool, at: int) -> None:
        """Record the role that an answer reported."""
        if server in self._group_by_server:
            self._references_by_group[self._group_by_server[server]].on_role(server, primary, at)

    def committed(self, server: int, commit: tuple[str, LogPosition], sent_at: int) -> int:
        """Return the session token of a write."""
        return self._timeline(self._group_by_server[server]).commit(*commit, sent_at)

    def observed(self, server: int, position: ProbeResult, sent_at: int) -> None:
        """Record positions and role of a server probed at ``sent_at``; a primary's positions are the log's head."""
        self._marks_by_server[server] = dict(position.marks)
        if position.primary is not None:
            self.role(server, position.primary, sent_at)
        if position.primary:
            self._timeline(self._group_by_server[server]).observe(position.marks, sent_at)

    def report(self, server: int, position: ProbeResult, sent_at: int) -> Report:
        """Convert a probe's result to a report for the router; a primary's position is the time of the probe."""
        if position.primary:
            return Report(sent_at, True, position.load)
        return Report(
            self._timeline(self._group_by_server[server]).position(position.marks), position.primary, position.load
        )

    def position_of(self, server: int, marks: Vector) -> int | None:
        """Place claimed positions on this gateway's own timeline; None if the timeline has no entry that they cover.

        Adds nothing to the timeline. Raises ``TypeError`` if the positions are of another type than the timeline's.
        """
        return self._timeline(self._group_by_server[server]).position(marks)

    def marks(self, server: int) -> dict[str, LogPosition]:
        """Return the positions that a server last reported."""
        return self._marks_by_server.get(server, {})

    def head(self, group: int) -> dict[str, LogPosition]:
        """Return positions that cover every token issued in a group."""
        return self._timeline(group).head_vector()

    def floor_token(self, group: int, marks: Mapping[str, LogPosition], now: int) -> int:
        """Return a token that covers the writes of an earlier run up to these positions."""
        return max(
            (self._timeline(group).commit(origin, mark, now) for origin, mark in sorted(marks.items())), default=0
        )

    def _timeline(self, group: int) -> Timeline:
        if group not in self._timelines:
            self._timelines[group], self._references_by_group[group] = Timeline(), References()
        return self._timelines[group]


class ClockPositions(Positions):
    """Positions that are timestamps of a clock shared by all machines of the platform: no timeline is needed.

    Each position is one integer: nanoseconds since 1970, on the clock that the gateway itself uses.
    """

    def reference(self, server: int) -> int | None:
        """Return None: a timestamp needs no other position to be placed by."""
        return None

    def committed(self, server: int, commit: tuple[str, LogPosition], sent_at: int) -> int:
        """Return the timestamp of the commit."""
        return int(commit[1][0])

    def observed(self, server: int, position: ProbeResult, sent_at: int) -> None:
        """Record the role only; timestamps need no timeline."""
        if position.primary is not None and server in self._group_by_server:
            self.role(server, position.primary, sent_at)

    def report(self, server: int, position: ProbeResult, sent_at: int) -> Report:
        """Convert a probe's result to a report without translation."""
        at = max((int(mark[0]) for mark in position.marks.values()), default=None)
        return Report(at, position.primary, position.load)

    def dropped(self, server: int) -> None:
        """Remove a server and its positions: here servers leave for good and new ones get new names."""
        super().dropped(server)
        self._marks_by_server.pop(server, None)
