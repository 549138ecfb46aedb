"""Log positions on the gateway's own clock, whatever the servers' clocks say. No I/O; time is passed in.

Servers name positions in marks of their own (an LDAP change sequence number, a log sequence number), stamped
by clocks that nobody here may trust. The decision module wants a time up to which a server has applied all
commits. This module joins the two by what the gateway itself saw, and by nothing else:

- A primary that told mark ``c`` in an answer to a question sent at ``s`` had committed nothing beyond ``c``
  before ``s``: whoever has applied ``c`` has everything that was committed before ``s``.
- A write sent at ``s`` that was committed as ``w`` was committed after ``s``: the same holds of ``w``.

So the timeline is a chain of vectors of marks (one mark for each origin that ever wrote), each with a position.
A server's position is that of the last link that its own vector covers. A clock that is skewed, jumps or
stands still moves no position, since marks are only ever compared with marks of the same origin.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass

LogPosition = tuple[int | str, ...]
Vector = Mapping[str, LogPosition]

LINKS = 4096  # kept; a server behind the oldest one simply has no known position


def covers(vector: Vector, other: Vector) -> bool:
    """Whether a server at ``vector`` has applied all of ``other``."""
    return all(origin in vector and vector[origin] >= mark for origin, mark in other.items())


@dataclass(slots=True)
class Link:
    """One point of the log: ``low`` is the position given out for it first, ``high`` what it proves now."""

    vector: dict[str, LogPosition]
    low: int
    high: int


class Timeline:
    """The log of one group as one gateway knows it.

    Two promises hold at all times. A position credited to a server is never later than the time up to which
    it has applied every commit. And a token, once given out for a write, is reached only by servers that have
    applied that write: between links, ``high`` of one stays under ``low`` of the next.
    """

    def __init__(self, links: int = LINKS) -> None:
        self._links: list[Link] = []
        self._most = links
        self._dropped = False

    def __len__(self) -> int:
        return len(self._links)

    def head(self) -> int:
        """The latest position that the log is known to have reached; 0: nothing is known."""
        return self._links[-1].high if self._links else 0

    def head_vector(self) -> dict[str, LogPosition]:
        """The marks of the last link; they cover every token given out."""
        return dict(self._links[-1].vector) if self._links else {}

    def commit(self, origin: str, mark: LogPosition, sent_at: int) -> int:
        """A write sent at ``sent_at`` (ns) was committed as ``mark``: the token that its session must see."""
        links = self._links
        at = bisect_left(links, True, key=lambda link: origin in link.vector and link.vector[origin] >= mark)
        before = links[at - 1] if at else None
        if at < len(links) and links[at].vector.get(origin) == mark:
            self._raise(at, sent_at)
            return links[at].low
        floor = before.high + 1 if before else 1
        position = max(sent_at, floor)
        if at < len(links):
            position = min(position, links[at].low - 1)
            if position < floor or (at == 0 and self._dropped):
                return links[at].low  # no room between: whoever has the next link has this one too
        vector = {**(before.vector if before else {}), origin: mark}
        if at < len(links) and not covers(links[at].vector, vector):
            return links[at].low
        links.insert(at, Link(vector, position, position))
        self._bound()
        return position

    def observe(self, vector: Vector, sent_at: int) -> None:
        """A server that answered as the primary told its marks, asked at ``sent_at`` (ns)."""
        links = self._links
        at = bisect_left(links, True, key=lambda link: not covers(vector, link.vector))
        before = links[at - 1] if at else None
        if before is not None and before.vector == vector:
            self._raise(at - 1, sent_at)
            return
        if not vector or (at == 0 and self._dropped):
            return
        floor = before.high + 1 if before else 1
        position = max(sent_at, floor)
        if at < len(links):
            if not covers(links[at].vector, vector):
                return  # histories that parted: nothing can be said of their order
            position = min(position, links[at].low - 1)
            if position < floor:
                return
        links.insert(at, Link(dict(vector), position, position))
        self._bound()

    def position(self, vector: Vector) -> int | None:
        """The position of a server that told its marks, or None where nothing is proved."""
        links = self._links
        at = bisect_left(links, True, key=lambda link: not covers(vector, link.vector))
        return links[at - 1].high if at else None

    def _raise(self, at: int, position: int) -> None:
        link = self._links[at]
        if at + 1 < len(self._links):
            position = min(position, self._links[at + 1].low - 1)
        link.high = max(link.high, position)

    def _bound(self) -> None:
        if len(self._links) > self._most:
            del self._links[: self._most // 4]
            self._dropped = True


class References:
    """Whom to ask for the head of the log when a copy's marks are to be placed on the timeline."""

    def __init__(self) -> None:
        self._told: dict[int, tuple[int, bool]] = {}

    def told(self, server: int, primary: bool, at: int) -> None:
        """A server said, or a list said of it, whether it is primary; the newest word counts."""
        if at >= self._told.get(server, (0, False))[0]:
            self._told[server] = at, primary

    def forget(self, server: int) -> None:
        """The server left the list."""
        self._told.pop(server, None)

    def reference(self) -> int | None:
        """The server that was said to be primary last, if any."""
        best = max(((at, server) for server, (at, primary) in self._told.items() if primary), default=None)
        return best[1] if best else None
