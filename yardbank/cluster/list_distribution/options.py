"""Times and bounds of the distribution. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000_000, 1_000_000_000


@dataclass(slots=True, frozen=True)
class Options:
    """How one gateway takes part."""

    heartbeat: int = SECOND  # between two announcements of the version that is held
    round: int = 100 * MS  # between two rounds of handing a new version on
    rounds: int = 4  # so often each gateway hands a new version on
    fan_out: int = 3  # gateways that are told in each round
    pushed: int = 3  # pieces: a larger increment is announced and fetched
    window: int = 32  # pieces asked for at once
    retry: int = 400 * MS  # of a fetch that brings nothing; doubles
    tries: int = 6  # of a fetch without progress, before the next announcement begins it anew
    settle: int = 2 * SECOND  # a new publisher listens so long for newer versions before it publishes

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"distribution.{name} must be positive")
