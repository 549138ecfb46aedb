"""Decides which version of the server list is applied: debouncing, validation, hold-back of risky changes. No I/O.

The watcher passes the contents of the files whenever they may have changed. Only complete and valid versions are
applied, and never an older one after a newer one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from yardbank.gateway.api import MS, SECOND
from yardbank.server_list.comparison import Change, Changes, compare, describe, suspicion, suspicion_from_changes
from yardbank.server_list.document import ServerListDocument, ServerListError, digest_of
from yardbank.server_list.incremental_reader import ListReader

DEFAULT_SETTLE = 20 * MS  # content unchanged for this long: the writer has probably finished
DEFAULT_PATIENCE = 2 * SECOND  # content that keeps changing is read after this long even if it has not settled
MAX_REPORTED_DIGESTS = 256  # digests of rejected versions that are not reported again


@dataclass(slots=True, frozen=True)
class Apply:
    """Apply this version; ``number`` counts applied versions.

    ``delta`` holds the differences from the current version if they are known without comparing the two.
    """

    number: int
    fleet: ServerListDocument
    change: Change
    delta: Changes | None = None


@dataclass(slots=True, frozen=True)
class Reject:
    """The content is not a valid list. Reported once per content."""

    digest: str
    faults: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class HoldBack:
    """A valid list that is probably a mistake waits for the operator's confirmation. Reported once per content."""

    digest: str
    reason: str


Action = Apply | Reject | HoldBack


class ServerListLifecycle:
    """Decides which version of the list is in force."""

    def __init__(
        self,
        groups: Iterable[str],
        settle: int = DEFAULT_SETTLE,
        patience: int = DEFAULT_PATIENCE,
        check: Callable[[ServerListDocument], list[str]] = lambda fleet: [],
    ) -> None:
        """``check`` returns faults that depend on the settings. Times in nanoseconds."""
        self._check = check
        self._groups = frozenset(groups)
        self._settle, self._patience = settle, patience
        self.number = 0
        self.current: ServerListDocument | None = None
        self.held: ServerListDocument | None = None
        self._texts: Mapping[str, bytes] = {}
        self._digest = ""
        self._content_since = 0  # when the current content on disk was first seen
        self._unsettled_since: int | None = None  # when content began to change without having been read since
        self._evaluated_digest = ""  # digest of the content that was read last
        self._reported: dict[str, None] = {}
        self._reader = ListReader(self._groups)

    def restore(self, fleet: ServerListDocument, number: int) -> Apply | None:
        """Restore the last valid version of an earlier run, unless a version has been applied already."""
        if self.current is not None:
            return None
        self.current, self.number = fleet, number
        return Apply(number, fleet, compare((), fleet.servers))

    def seen(self, now: int, texts: Mapping[str, bytes]) -> list[Action]:
        """Handle the current contents of the files (``{}``: no files). ``now`` in nanoseconds."""
        digest = digest_of(texts)
        if digest != self._digest:
            self._digest, self._texts, self._content_since = digest, dict(texts), now
            if self._unsettled_since is None:
                self._unsettled_since = now
        return self.tick(now)

    def due(self) -> int | None:
        """When ``tick`` must be called next; None: not before new content is seen."""
        if self._unsettled_since is None:
            return None
        return min(self._content_since + self._settle, self._unsettled_since + self._patience)

    def tick(self, now: int) -> list[Action]:
        """Read the content if it has settled."""
        due = self.due()
        if due is None or now < due:
            return []
        self._unsettled_since = None
        if self._digest == self._evaluated_digest:
            return []
        self._evaluated_digest = self._digest
        return self._evaluate(force=False)

    def force(self) -> list[Action]:
        """Apply the version that was held back, as confirmed by the operator."""
        return self._evaluate(force=True) if self.held is not None else []

    def _evaluate(self, force: bool) -> list[Action]:
        if force:
            assert self.held is not None
            fleet = self.held
        else:
            self.held = None  # superseded, even if the new content is rejected
            try:
                fleet = self._reader.read(self._texts)
            except ServerListError as error:
                return self._report_once(Reject(self._digest, tuple(error.faults)))
            if faults := self._check(fleet):
                return self._report_once(Reject(self._digest, tuple(faults)))
        if self.current is not None and fleet.digest == self.current.digest:
            return []
        old = self.current.servers if self.current else ()
        base = self.current.digest if self.current else ""
        changes = fleet.delta.changes if fleet.delta and fleet.delta.base == base else None
        reason: str | None = "" if force or fleet.force else None
        if reason is None and changes is not None:
            reason = suspicion_from_changes(changes, fleet.servers)
        if reason is None:
            reason = suspicion(old, fleet.servers)
        if reason:
            self.held = fleet
            return self._report_once(HoldBack(fleet.digest, reason))
        self.held, self.current = None, fleet
        self.number += 1
        self._reported.clear()
        if changes is not None:
            return [Apply(self.number, fleet, describe(changes), changes)]
        return [Apply(self.number, fleet, compare(old, fleet.servers))]

    def _report_once(self, action: Reject | HoldBack) -> list[Action]:
        if action.digest in self._reported:
            return []
        self._reported[action.digest] = None
        if len(self._reported) > MAX_REPORTED_DIGESTS:
            del self._reported[next(iter(self._reported))]
        return [action]
