"""Maps servers' log positions to times on the gateway's own clock. No I/O; the current time is passed in.

Servers state log positions in their own terms (an LDAP change sequence number, a log sequence number), stamped by
server clocks that the gateway cannot trust. The decision module needs a *time* up to which a server has applied
all commits; in this module "position" alone means that time (integer nanoseconds of the gateway's clock). The two are
related only by what the gateway itself observes:

- A primary that answered a query sent at ``s`` with log position ``c`` had committed nothing beyond ``c`` before
  ``s``: any server that has applied ``c`` has everything that was committed before ``s``.
- A write sent at ``s`` that was committed as ``w`` was committed after ``s``: the same holds for ``w``.

The timeline is therefore an ordered list of vectors (one log position for each origin that ever wrote), each with a
position. A server's position is that of the last point that its own vector covers. A server clock that is skewed, jumps
or stands still does not affect positions, because log positions are only compared with others of the same origin.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass

LogPosition = tuple[int | str, ...]
Vector = Mapping[str, LogPosition]

MAX_POINTS = 4096  # a server behind the oldest point has no known position


def covers(vector: Vector, other: Vector) -> bool:
    """Whether a server at ``vector`` has applied all of ``other``."""
    return all(origin in vector and vector[origin] >= log_position for origin, log_position in other.items())


@dataclass(slots=True)
class TimelinePoint:
    """One point of the log.

    ``low`` is the position that was first returned for it, ``high`` the latest one proven since (ns).
    """

    vector: dict[str, LogPosition]
    low: int
    high: int


class Timeline:
    """The log of one group as far as one gateway has observed it.

    Owns: the ordered list of points. Bound: ``max_points`` of them; when there are more, the oldest quarter is dropped.
    Invariants: a server's position is never later than the time up to which it has applied every commit; only servers
    that have applied a write reach the token returned for it, because ``high`` of a point stays below ``low`` of the
    next.
    """

    def __init__(self, max_points: int = MAX_POINTS) -> None:
        self._points: list[TimelinePoint] = []
        self._max_points = max_points
        self._dropped = False

    def __len__(self) -> int:
        return len(self._points)

    def head(self) -> int:
        """Return the latest position that the log is known to have reached; 0 if nothing is known."""
        return self._points[-1].high if self._points else 0

    def head_vector(self) -> dict[str, LogPosition]:
        """Return the vector of the last point; it covers every token that was returned."""
        return dict(self._points[-1].vector) if self._points else {}

    def commit(self, origin: str, log_position: LogPosition, sent_at: int) -> int:
        """Record that a write sent at ``sent_at`` (ns) was committed as ``log_position``; return its session token."""
        points = self._points
        index = bisect_left(
            points, True, key=lambda point: origin in point.vector and point.vector[origin] >= log_position
        )
        before = points[index - 1] if index else None
        if index < len(points) and points[index].vector.get(origin) == log_position:
            self._raise_high(index, sent_at)
            return points[index].low
        floor = before.high + 1 if before else 1
        position = max(sent_at, floor)
        if index < len(points):
            position = min(position, points[index].low - 1)
            if position < floor or (index == 0 and self._dropped):
                return points[index].low  # no position is free in between; the next point includes this write
        vector = {**(before.vector if before else {}), origin: log_position}
        if index < len(points) and not covers(points[index].vector, vector):
            return points[index].low
        points.insert(index, TimelinePoint(vector, position, position))
        self._drop_oldest()
        return position

    def observe(self, vector: Vector, sent_at: int) -> None:
        """Record the vector that a server reported, acting as primary, when queried at ``sent_at`` (ns)."""
        points = self._points
        index = bisect_left(points, True, key=lambda point: not covers(vector, point.vector))
        before = points[index - 1] if index else None
        if before is not None and before.vector == vector:
            self._raise_high(index - 1, sent_at)
            return
        if not vector or (index == 0 and self._dropped):
            return
        floor = before.high + 1 if before else 1
        position = max(sent_at, floor)
        if index < len(points):
            if not covers(points[index].vector, vector):
                return  # diverged histories cannot be ordered
            position = min(position, points[index].low - 1)
            if position < floor:
                return
        points.insert(index, TimelinePoint(dict(vector), position, position))
        self._drop_oldest()

    def position(self, vector: Vector) -> int | None:
        """Return the position (ns) of a server that reported its vector, or None if nothing is proven."""
        points = self._points
        index = bisect_left(points, True, key=lambda point: not covers(vector, point.vector))
        return points[index - 1].high if index else None

    def _raise_high(self, index: int, position: int) -> None:
        point = self._points[index]
        if index + 1 < len(self._points):
            position = min(position, self._points[index + 1].low - 1)
        point.high = max(point.high, position)

    def _drop_oldest(self) -> None:
        if len(self._points) > self._max_points:
            del self._points[: max(1, self._max_points // 4)]
            self._dropped = True


class References:
    """Which server to ask for the head of the log when a replica's vector is to be located on the timeline.

    Owns: the last reported role of each listed server and the time of that report (ns). Bound: one entry per server.
    """

    def __init__(self) -> None:
        self._roles: dict[int, tuple[int, bool]] = {}

    def on_role(self, server: int, primary: bool, at: int) -> None:
        """Record a role reported by a server or by the server list at time ``at``; the latest report wins."""
        if at >= self._roles.get(server, (0, False))[0]:
            self._roles[server] = at, primary

    def forget(self, server: int) -> None:
        """Remove a server that left the list."""
        self._roles.pop(server, None)

    def reference(self) -> int | None:
        """Return the server most recently reported as primary, if any."""
        best = max(((at, server) for server, (at, primary) in self._roles.items() if primary), default=None)
        return best[1] if best else None
