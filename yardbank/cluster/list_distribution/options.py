"""Timing and limits of the list distribution. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000_000, 1_000_000_000


@dataclass(slots=True, frozen=True)
class Options:
    """Options of one gateway."""

    heartbeat: int = SECOND  # between two announcements of the version held
    round: int = 100 * MS  # between two rounds of announcing a new version
    rounds: int = 4  # rounds in which each gateway announces a new version
    fan_out: int = 3  # gateways notified per round
    pushed: int = 3  # pieces; a larger increment is only announced, and fetched by the others
    window: int = 32  # pieces requested at once
    retry: int = 400 * MS  # timeout of a fetch without progress; doubles with each retry
    tries: int = 6  # retries without progress before a fetch is given up; the next announcement starts a new one
    settle: int = 2 * SECOND  # how long a new publisher waits for newer versions before it publishes

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"distribution.{name} must be positive")
