"""Log positions on the gateway's own clock, whatever the servers' clocks say. No I/O; time is passed in.

Servers name log positions in terms of their own (an LDAP change sequence number, a log sequence number), stamped
by clocks that nobody here may trust. The decision module wants a *time* up to which a server has applied all
commits; here "position" alone means that time (integer nanoseconds of the gateway's clock). This module joins the
two by what the gateway itself observed, and by nothing else:

- A primary that answered a question sent at ``s`` with log position ``c`` had committed nothing beyond ``c``
  before ``s``: whoever has applied ``c`` has everything that was committed before ``s``.
- A write sent at ``s`` that was committed as ``w`` was committed after ``s``: the same holds of ``w``.

So the timeline is a chain of vectors (one log position for each origin that ever wrote), each with a position.
A server's position is that of the last link that its own vector covers. A clock that is skewed, jumps or
stands still moves no position, since log positions are only ever compared with those of the same origin.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass

LogPosition = tuple[int | str, ...]
Vector = Mapping[str, LogPosition]

MAX_LINKS = 4096  # a server behind the oldest one has no known position


def covers(vector: Vector, other: Vector) -> bool:
    """Whether a server at ``vector`` has applied all of ``other``."""
    return all(origin in vector and vector[origin] >= log_position for origin, log_position in other.items())


@dataclass(slots=True)
class Link:
    """One point of the log: ``low`` is the position returned for it first, ``high`` the one it proves now (ns)."""

    vector: dict[str, LogPosition]
    low: int
    high: int


class Timeline:
    """The log of one group as one gateway knows it.

    Owns: the chain of links. Bound: ``links`` of them; a quarter is dropped, the oldest first, when there are more.
    Invariants: a server's position is never later than the time up to which it has applied every commit; a token
    returned for a write is reached only by servers that have applied that write, since ``high`` of a link stays
    under ``low`` of the next.
    """

    def __init__(self, links: int = MAX_LINKS) -> None:
        self._links: list[Link] = []
        self._max_links = links
        self._dropped = False

    def __len__(self) -> int:
        return len(self._links)

    def head(self) -> int:
        """The latest position that the log is known to have reached; 0: nothing is known."""
        return self._links[-1].high if self._links else 0

    def head_vector(self) -> dict[str, LogPosition]:
        """The vector of the last link; it covers every token that was returned."""
        return dict(self._links[-1].vector) if self._links else {}

    def commit(self, origin: str, log_position: LogPosition, sent_at: int) -> int:
        """A write sent at ``sent_at`` (ns) was committed as ``log_position``: the token that its session must see."""
        links = self._links
        at = bisect_left(links, True, key=lambda link: origin in link.vector and link.vector[origin] >= log_position)
        before = links[at - 1] if at else None
        if at < len(links) and links[at].vector.get(origin) == log_position:
            self._raise(at, sent_at)
            return links[at].low
        floor = before.high + 1 if before else 1
        position = max(sent_at, floor)
        if at < len(links):
            position = min(position, links[at].low - 1)
            if position < floor or (at == 0 and self._dropped):
                return links[at].low  # nothing fits between: whoever has the next link has this one too
        vector = {**(before.vector if before else {}), origin: log_position}
        if at < len(links) and not covers(links[at].vector, vector):
            return links[at].low
        links.insert(at, Link(vector, position, position))
        self._bound()
        return position

    def observe(self, vector: Vector, sent_at: int) -> None:
        """A server that answered as the primary reported its vector, asked at ``sent_at`` (ns)."""
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
                return  # histories that diverged have no order
            position = min(position, links[at].low - 1)
            if position < floor:
                return
        links.insert(at, Link(dict(vector), position, position))
        self._bound()

    def position(self, vector: Vector) -> int | None:
        """The position (ns) of a server that reported its vector, or None where nothing is proved."""
        links = self._links
        at = bisect_left(links, True, key=lambda link: not covers(vector, link.vector))
        return links[at - 1].high if at else None

    def _raise(self, at: int, position: int) -> None:
        link = self._links[at]
        if at + 1 < len(self._links):
            position = min(position, self._links[at + 1].low - 1)
        link.high = max(link.high, position)

    def _bound(self) -> None:
        if len(self._links) > self._max_links:
            del self._links[: self._max_links // 4]
            self._dropped = True


class References:
    """Which server to ask for the head of the log when a replica's vector is to be placed on the timeline.

    Owns: the role last reported of each listed server, and when (ns). Bound: one entry a server.
    """

    def __init__(self) -> None:
        self._roles: dict[int, tuple[int, bool]] = {}

    def on_role(self, server: int, primary: bool, at: int) -> None:
        """A server reported its role, or the list did; the latest report counts."""
        if at >= self._roles.get(server, (0, False))[0]:
            self._roles[server] = at, primary

    def forget(self, server: int) -> None:
        """The server left the list."""
        self._roles.pop(server, None)

    def reference(self) -> int | None:
        """The server last reported as primary, if any."""
        best = max(((at, server) for server, (at, primary) in self._roles.items() if primary), default=None)
        return best[1] if best else None
