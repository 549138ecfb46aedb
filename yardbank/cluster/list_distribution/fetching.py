"""One gateway's way to a newer version: whom it asks for which pieces, and when it asks again. No I/O.

At most one document is fetched at a time. Whoever announces a newer version is asked; where it does not answer, another
one that announced as much. Pieces are asked for a window at a time, so the source keeps no state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.list_distribution.messages import Fetch, Have
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.transfer import Assembly
from yardbank.cluster.list_distribution.version import Version

MAX_SOURCES = 16  # that are remembered


@dataclass(slots=True)
class Fetching:
    """What is being fetched."""

    version: Version
    source: str
    retry_at: int
    tries: int = 0
    asked_to: int = 0  # pieces before this index have been asked for
    whole: bool = False  # a snapshot is wanted, as an increment did not fit
    sources: list[str] = field(default_factory=list)  # that hold this version or a newer one
    assembly: Assembly | None = None

    def heard(self, source: str) -> None:
        """One more holds it."""
        if source not in self.sources:
            self.sources.append(source)
            del self.sources[:-MAX_SOURCES]

    def progressed(self, now: int, options: Options) -> None:
        """A piece came: patience begins anew."""
        self.tries = 0
        self.retry_at = now + options.retry

    def retried(self, now: int, options: Options, random: Random) -> bool:
        """Nothing came in time: turn to another source. Whether there is to be another try."""
        self.tries += 1
        if self.tries >= options.tries:
            return False
        others = [name for name in self.sources if name != self.source]
        if others:
            self.source = others[random.randrange(len(others))]
        self.retry_at = now + options.retry * (1 << min(self.tries, 3))
        return True

    def request(self, base: Have, window: int, nothing: Have) -> Fetch:
        """What to ask the source for next. ``base``: what is held here; ``nothing``: the base of a snapshot."""
        begin = nothing if self.whole else base
        first = self.assembly.first_missing() if self.assembly is not None else 0
        self.asked_to = first + window
        return Fetch(begin.version, begin.digest, self.version, first, window)

    def wants_more(self) -> bool:
        """Whether all that was asked for has come and more is missing."""
        assembly = self.assembly
        return assembly is not None and not assembly.whole and assembly.first_missing() >= self.asked_to
