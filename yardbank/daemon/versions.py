"""What a supervisor does as its worker ends: the same again, another version, or back to the one before. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.cluster.rollout.active_version import EXIT_FOR_RESTART, ActiveVersion
from yardbank.daemon.restarts import Restarts


@dataclass(slots=True, frozen=True)
class Next:
    """What to start, after how many seconds; ``write``: it differs from what the file says; ``why``: it went back."""

    active_version: ActiveVersion
    wait: float
    write: bool = False
    why: str = ""


class Versions:
    """One worker's. Times in seconds: steady ones, but for ``wall``."""

    def __init__(self, active_version: ActiveVersion, young: float) -> None:
        self.active_version, self._young = active_version, young
        self._restarts = Restarts()
        self._started = 0.0

    def started(self, now: float) -> None:
        """The worker was started."""
        self._started = now
        self._restarts.started(now)

    def ended(self, now: float, wall: float, how: str, code: int | None, file: ActiveVersion) -> Next:
        """The worker ended by itself; ``file``: what the file says is in force."""
        if code == EXIT_FOR_RESTART:
            self.active_version = file
            return Next(file, 0.0)
        age = now - self._started
        changed = file.now != self.active_version.now  # in service, since it started
        since = wall - file.changed if changed and wall >= file.changed else age
        if file.young and min(age, since) < self._young:
            why = f"{how} {min(age, since):.1f} s after it came into force"
            self.active_version = file.gone_back(why)
            return Next(self.active_version, 0.0, True, why)
        self.active_version = (
            file.restarted()
            if changed
            else ActiveVersion(
                file.now, file.before, self.active_version.restarts + 1, file.changed, file.fell, file.fell_from
            )
        )
        return Next(self.active_version, self._restarts.died(now), True)
