"""Tracks the states of a scenario's processes and which exits were intended. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

DOWN, STARTING, READY, PAUSED, ENDING = "down", "starting", "ready", "paused", "ending"
# State, event, next state. Other combinations are invalid.
TRANSITIONS = (
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
_NEXT_STATE = {(state, event): next_state for state, event, next_state in TRANSITIONS}


@dataclass(slots=True)
class ProcessState:
    """The state of one process."""

    name: str
    state: str = DOWN
    intended_exit: str = ""  # "kill" or "terminate": the intended way to exit
    pid: int = 0
    port: int = 0  # listening port while it runs
    starts: int = 0


class ProcessTable:
    """All processes, by name."""

    def __init__(self) -> None:
        self.members: dict[str, ProcessState] = {}
        self.unexpected_exits: list[str] = []  # descriptions of unintended exits

    def member(self, name: str) -> ProcessState:
        """The state of a process; creates it on first use."""
        return self.members.setdefault(name, ProcessState(name))

    def can(self, name: str, event: str) -> bool:
        """Whether the event is valid in the current state."""
        return (self.member(name).state, event) in _NEXT_STATE

    def move(self, name: str, event: str) -> ProcessState:
        """Applies an event. Raises ``ValueError`` if it is not valid in the current state."""
        member = self.member(name)
        next_state = _NEXT_STATE.get((member.state, event))
        if next_state is None:
            raise ValueError(f"{name} is {member.state}: {event} is not possible")
        if event == "start":
            member.intended_exit, member.starts = "", member.starts + 1
        elif event in ("kill", "terminate"):
            member.intended_exit = event
        member.state = next_state
        return member

    def lost(self) -> None:
        """Marks all processes as down after the loss of the guardian; how they exited is unknown."""
        for member in self.members.values():
            member.state, member.port = DOWN, 0

    def ended(self, name: str, code: int | None, by: int | None) -> bool:
        """Records an exit. Returns whether it was intended: after a kill, or with code 0 after a termination."""
        member = self.member(name)
        intended_exit = member.intended_exit == "kill" or (member.intended_exit == "terminate" and code == 0)
        if not intended_exit:
            how = f"by signal {by}" if by else f"with code {code}"
            told = "though told to stop" if member.intended_exit else "by itself"
            self.unexpected_exits.append(f"{name} ended {told} {how}")
        self.move(name, "ended")
        member.port = 0
        return intended_exit

    def running(self) -> list[ProcessState]:
        """Processes that exist, in any state."""
        return [member for member in self.members.values() if member.state != DOWN and member.pid]

    def ready(self) -> list[str]:
        """Names of processes that are ready."""
        return [name for name, member in self.members.items() if member.state == READY]


def views_are_correct(
    reported: Mapping[str, Mapping[str, str]], running: Collection[str], names: Collection[str]
) -> bool:
    """Whether all running gateways report all others correctly as alive or gone. ``reported``: by reporting gateway."""
    return all(
        reported.get(name, {}).get(other) == ("alive" if other in running else "gone")
        for name in running
        for other in names
        if other != name
    )
