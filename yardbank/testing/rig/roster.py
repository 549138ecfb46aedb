"""What is known of each process of a scenario, and which of its ends were meant. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

DOWN, STARTING, READY, PAUSED, ENDING = "down", "starting", "ready", "paused", "ending"
# From, by, to. Whatever is not here is an end that nobody meant.
TABLE = (
    (DOWN, "start", STARTING),
    (STARTING, "ready", READY),
    (READY, "pause", PAUSED),
    (PAUSED, "resume", READY),
    (READY, "terminate", ENDING),
    (PAUSED, "terminate", ENDING),
    (STARTING, "terminate", ENDING),
    (READY, "kill", ENDING),
    (PAUSED, "kill", ENDING),
    (STARTING, "kill", ENDING),
    (ENDING, "kill", ENDING),
    (ENDING, "ended", DOWN),
    (STARTING, "ended", DOWN),
    (READY, "ended", DOWN),
    (PAUSED, "ended", DOWN),
)
_NEXT = {(state, word): after for state, word, after in TABLE}


@dataclass(slots=True)
class Member:
    """One process."""

    name: str
    state: str = DOWN
    meant: str = ""  # "kill" or "terminate": how it is to end
    pid: int = 0
    port: int = 0  # where it listens, while it is up
    starts: int = 0


class Roster:
    """All processes by name."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.faults: list[str] = []  # ends that nobody meant, in words

    def member(self, name: str) -> Member:
        """One process, known from now on."""
        return self.members.setdefault(name, Member(name))

    def may(self, name: str, word: str) -> bool:
        """Whether this can be done to it now."""
        return (self.member(name).state, word) in _NEXT

    def move(self, name: str, word: str) -> Member:
        """Do it. Raises ``ValueError`` if it cannot be done now."""
        member = self.member(name)
        after = _NEXT.get((member.state, word))
        if after is None:
            raise ValueError(f"{name} is {member.state}: {word} is not possible")
        if word == "start":
            member.meant, member.starts = "", member.starts + 1
        elif word in ("kill", "terminate"):
            member.meant = word
        member.state = after
        return member

    def lost(self) -> None:
        """Whoever kept them is gone, and they were killed: nothing is known of how they ended."""
        for member in self.members.values():
            member.state, member.port = DOWN, 0

    def ended(self, name: str, code: int | None, by: int | None) -> bool:
        """It is gone; whether that was meant: killed when told to be killed, or with code 0 when told to stop."""
        member = self.member(name)
        meant = member.meant == "kill" or (member.meant == "terminate" and code == 0)
        if not meant:
            how = f"by signal {by}" if by else f"with code {code}"
            told = "though told to stop" if member.meant else "by itself"
            self.faults.append(f"{name} ended {told} {how}")
        self.move(name, "ended")
        member.port = 0
        return meant

    def running(self) -> list[Member]:
        """Processes that are there in any state."""
        return [member for member in self.members.values() if member.state != DOWN and member.pid]

    def ready(self) -> list[str]:
        """Processes that serve."""
        return [name for name, member in self.members.items() if member.state == READY]


def sees_rightly(believed: Mapping[str, Mapping[str, str]], running: Collection[str], names: Collection[str]) -> bool:
    """Whether each that runs says of every other what is so, alive or gone. ``believed``: by who says it."""
    return all(
        believed.get(name, {}).get(other) == ("alive" if other in running else "gone")
        for name in running
        for other in names
        if other != name
    )
