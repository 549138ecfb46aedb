"""What a supervisor does when its worker ends: same version again, another version, or rollback. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.cluster.rollout.active_version import EXIT_FOR_RESTART, ActiveVersion
from yardbank.daemon.restarts import RestartBackoff


@dataclass(slots=True, frozen=True)
class NextStart:
    """Version to start and wait in seconds; ``write``: the file has to be updated; ``why``: reason of a rollback."""

    active_version: ActiveVersion
    wait: float
    write: bool = False
    why: str = ""


class Versions:
    """Version of one worker. Times are monotonic seconds, except ``wall`` (seconds since 1970)."""

    def __init__(self, active_version: ActiveVersion, probation: float) -> None:
        self.active_version, self._probation = active_version, probation
        self._backoff = RestartBackoff()
        self._started_at = 0.0

    def started(self, now: float) -> None:
        """The worker was started."""
        self._started_at = now
        self._backoff.started(now)

    def ended(self, now: float, wall: float, how_ended: str, code: int | None, file: ActiveVersion) -> NextStart:
        """The worker ended without a stop signal; ``file``: active version according to the file."""
        if code == EXIT_FOR_RESTART:
            self.active_version = file
            return NextStart(file, 0.0)
        age = now - self._started_at
        reloaded = file.now != self.active_version.now  # reloaded to another version since it started
        active_for = wall - file.changed if reloaded and wall >= file.changed else age
        if file.uncommitted and min(age, active_for) < self._probation:
            why = f"{how_ended} {min(age, active_for):.1f} s after it became active"
            self.active_version = file.rolled_back(why)
            return NextStart(self.active_version, 0.0, True, why)
        self.active_version = (
            file.restarted()
            if reloaded
            else ActiveVersion(
                file.now, file.before, self.active_version.restarts + 1, file.changed, file.fell, file.fell_from
            )
        )
        return NextStart(self.active_version, self._backoff.died(now), True)
