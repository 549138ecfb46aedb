"""Fetches a newer version from other gateways: choice of the source, requests for pieces, retries. No I/O.

At most one document is fetched at a time, from the gateway that announced the newer version. If that one does not
answer, another gateway that announced the version is asked. Pieces are requested one window at a time, so the source
keeps no state per fetch.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.list_distribution.messages import Fetch, Have
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.transfer import Assembly
from yardbank.cluster.list_distribution.version import Version

MAX_SOURCES = 16  # alternative sources kept


@dataclass(slots=True)
class Fetching:
    """State of one fetch."""

    version: Version
    source: str
    retry_at: int
    retries: int = 0  # since the last progress
    requested_end: int = 0  # pieces before this index have been requested
    wants_snapshot: bool = False  # set after an increment could not be applied
    sources: list[str] = field(default_factory=list)  # gateways that hold this version or a newer one
    assembly: Assembly | None = None

    def add_source(self, source: str) -> None:
        """Add a gateway that holds the version."""
        if source not in self.sources:
            self.sources.append(source)
            del self.sources[:-MAX_SOURCES]

    def on_progress(self, now: int, options: Options) -> None:
        """Reset retries and the timeout, since a piece was received."""
        self.retries = 0
        self.retry_at = now + options.retry

    def retry(self, now: int, options: Options, random: Random) -> bool:
        """Switch to another source after a timeout. Returns False if the fetch must be given up."""
        self.retries += 1
        if self.retries >= options.tries:
            return False
        others = [name for name in self.sources if name != self.source]
        if others:
            self.source = others[random.randrange(len(others))]
        self.retry_at = now + options.retry * (1 << min(self.retries, 3))
        return True

    def request(self, base: Have, window: int, empty: Have) -> Fetch:
        """The next request to the source. ``base``: the version held here; ``empty``: the base of a snapshot."""
        start = empty if self.wants_snapshot else base
        first = self.assembly.first_missing() if self.assembly is not None else 0
        self.requested_end = first + window
        return Fetch(start.version, start.digest, self.version, first, window)

    def wants_more(self) -> bool:
        """Whether all requested pieces were received and others are still missing."""
        assembly = self.assembly
        return assembly is not None and not assembly.is_complete and assembly.first_missing() >= self.requested_end
