"""Roles and log positions of the soak test's servers: who is primary, and how far behind a replica is. No I/O.

A position is the time up to which a server has applied all commits; it never decreases. While a group has no primary,
nothing is committed and positions stand still. Times are seconds on one monotonic clock and are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Member:
    """One server of the group. ``lag``: how long after its commit it applies a write, as a replica (s)."""

    name: str
    lag: float
    position: float
    is_up: bool = True
    has_been_primary: bool = False


class ReplicationGroup:
    """One group: at most one primary, and replicas that apply its log late."""

    def __init__(self, lags: dict[str, float], primary: str, now: float) -> None:
        self._members = {name: Member(name, lag, now - lag) for name, lag in lags.items()}
        self._head = now  # time of the last commit possible; used while there is no primary
        self.primary: str | None = None
        self._promote(primary, now)

    def position(self, name: str, now: float) -> float:
        """Returns how far a server has applied the log; a primary is always at the present."""
        member = self._members[name]
        if member.is_up:
            head = now if self.primary is not None else self._head
            applied = now if name == self.primary else min(head, now - member.lag)
            member.position = max(member.position, applied)
        return member.position

    def has_been_primary(self, name: str) -> bool:
        """Whether a server is or ever was the primary."""
        return self._members[name].has_been_primary

    def crash(self, name: str, now: float) -> None:
        """Stops a server; if it is the primary, the group has none until the next election."""
        self.position(name, now)
        if name == self.primary:
            self._head = now
            self.primary = None
        self._members[name].is_up = False

    def restart(self, name: str) -> None:
        """Starts a server again, as a replica that continues where it stopped."""
        self._members[name].is_up = True

    def elect(self, now: float) -> str | None:
        """Promotes the most advanced server that is up, unless there is a primary; returns the new primary, if any."""
        if self.primary is not None:
            return None
        up = [name for name, member in self._members.items() if member.is_up]
        if not up:
            return None
        self._promote(max(up, key=lambda name: self.position(name, now)), now)
        return self.primary

    def _promote(self, name: str, now: float) -> None:
        self.primary = name
        member = self._members[name]
        member.has_been_primary = True
        member.position = max(member.position, now)
