"""The life of a list: seen, settled, read, checked, accepted or rejected, applied, superseded. No I/O.

The watcher tells what stands on disk whenever it may have changed; this decides what is applied. Nothing but
a complete and valid version ever is, and never an older one after a newer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from yardbank.gateway.api import MS, SECOND
from yardbank.server_list.comparison import Change, Changes, compare, describe, suspicion, suspicion_of
from yardbank.server_list.document import ServerListDocument, ServerListError, digest_of
from yardbank.server_list.incremental_reader import ListReader

SETTLE = 20 * MS  # unchanged for so long: the writer is likely to be done
PATIENCE = 2 * SECOND  # written without a pause for so long: what stands there is read all the same
REMEMBERED = 256  # digests of versions whose rejection was reported


@dataclass(slots=True, frozen=True)
class Apply:
    """Take this version; ``number`` counts versions applied.

    ``delta`` is what it changes of the one in force, where that is known without comparing them.
    """

    number: int
    fleet: ServerListDocument
    change: Change
    delta: Changes | None = None


@dataclass(slots=True, frozen=True)
class Reject:
    """This content is no valid list; told once for each content."""

    digest: str
    faults: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class HoldBack:
    """A valid list that looks like a mistake waits for the operator's word; told once for each content."""

    digest: str
    reason: str


Action = Apply | Reject | HoldBack


class ServerListLifecycle:
    """Decides which version of the list is in force."""

    def __init__(
        self,
        groups: Iterable[str],
        settle: int = SETTLE,
        patience: int = PATIENCE,
        check: Callable[[ServerListDocument], list[str]] = lambda fleet: [],
    ) -> None:
        """``check`` names faults that only the settings show; times in ns."""
        self._check = check
        self._groups = frozenset(groups)
        self._settle, self._patience = settle, patience
        self.number = 0
        self.current: ServerListDocument | None = None
        self.held: ServerListDocument | None = None
        self._texts: Mapping[str, bytes] = {}
        self._digest = ""
        self._seen_at = 0  # when the content on disk was first seen
        self._unsettled_at: int | None = None  # since when content comes and goes unread
        self._judged = ""  # the content that was read last
        self._reported: dict[str, None] = {}
        self._reader = ListReader(self._groups)

    def restore(self, fleet: ServerListDocument, number: int) -> Apply | None:
        """Go on with the last good version of an earlier run, unless a newer one is in force already."""
        if self.current is not None:
            return None
        self.current, self.number = fleet, number
        return Apply(number, fleet, compare((), fleet.servers))

    def seen(self, now: int, texts: Mapping[str, bytes]) -> list[Action]:
        """The files hold these contents (``{}``: none is there). ``now`` in ns."""
        digest = digest_of(texts)
        if digest != self._digest:
            self._digest, self._texts, self._seen_at = digest, dict(texts), now
            if self._unsettled_at is None:
                self._unsettled_at = now
        return self.tick(now)

    def due(self) -> int | None:
        """When ``tick`` has something to do; None: not before something is seen."""
        if self._unsettled_at is None:
            return None
        return min(self._seen_at + self._settle, self._unsettled_at + self._patience)

    def tick(self, now: int) -> list[Action]:
        """Read what has settled."""
        due = self.due()
        if due is None or now < due:
            return []
        self._unsettled_at = None
        if self._digest == self._judged:
            return []
        self._judged = self._digest
        return self._judge(force=False)

    def force(self) -> list[Action]:
        """The operator's word: apply what was held back."""
        return self._judge(force=True) if self.held is not None else []

    def _judge(self, force: bool) -> list[Action]:
        if force:
            assert self.held is not None
            fleet = self.held
        else:
            self.held = None  # superseded, whatever comes of this one
            try:
                fleet = self._reader.read(self._texts)
            except ServerListError as problem:
                return self._once(Reject(self._digest, tuple(problem.faults)))
            if faults := self._check(fleet):
                return self._once(Reject(self._digest, tuple(faults)))
        if self.current is not None and fleet.digest == self.current.digest:
            return []
        old = self.current.servers if self.current else ()
        base = self.current.digest if self.current else ""
        known = fleet.delta.changes if fleet.delta and fleet.delta.base == base else None
        reason: str | None = "" if force or fleet.force else None
        if reason is None and known is not None:
            reason = suspicion_of(known, fleet.servers)
        if reason is None:
            reason = suspicion(old, fleet.servers)
        if reason:
            self.held = fleet
            return self._once(HoldBack(fleet.digest, reason))
        self.held, self.current = None, fleet
        self.number += 1
        self._reported.clear()
        if known is not None:
            return [Apply(self.number, fleet, describe(known), known)]
        return [Apply(self.number, fleet, compare(old, fleet.servers))]

    def _once(self, action: Reject | HoldBack) -> list[Action]:
        if action.digest in self._reported:
            return []
        self._reported[action.digest] = None
        if len(self._reported) > REMEMBERED:
            del self._reported[next(iter(self._reported))]
        return [action]
