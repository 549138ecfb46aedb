"""State machine of one search over several groups: which part is sent next, what is passed on, how it ends. No I/O.

The client gets one final response, as from a single server that holds the whole tree. It is a success only if every
part succeeded; otherwise the result code is the most severe of the parts', and the diagnostic names the missing
suffixes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from yardbank.directory.codes import Code

MAX_REMEMBERED_DNS = 100_000  # per part; a part that fails after passing on more entries is not retried
MAX_NAMED_SUFFIXES = 8  # suffixes named in a diagnostic; the others are only counted
_CODES_BY_SEVERITY = (
    Code.UNAVAILABLE,
    Code.OTHER,
    Code.OPERATIONS_ERROR,
    Code.BUSY,
    Code.ADMIN_LIMIT,
    Code.TIME_LIMIT,
    Code.SIZE_LIMIT,
)

_SIZE_LIMIT_DIAGNOSTIC = "the search's size limit, over all suffixes together"


@dataclass(slots=True, frozen=True)
class Part:
    """One group's part of the search, which the decision module handles as a separate request."""

    suffix: str  # as configured
    base: str  # folded DN
    priority: float
    excluded: tuple[str, ...] = ()  # folded DNs of subtrees that belong to other parts


@dataclass(slots=True, frozen=True)
class PartRequest:
    """A part to be sent now. ``size_limit`` as in a search request; ``time_limit`` in ns."""

    index: int
    size_limit: int
    time_limit: int


@dataclass(slots=True, frozen=True)
class FinalResult:
    """The final response to the whole search; ``missing`` are the suffixes whose results are incomplete."""

    code: int
    diagnostic: str = ""
    missing: tuple[str, ...] = ()


class Verdict(Enum):
    """What to do with an entry."""

    PASS = "pass"
    DROP = "drop"
    END = "end"  # the entry exceeds the size limit, which ends the search


class _State(Enum):
    WAITING, IN_FLIGHT, DONE, MISSING = range(4)


@dataclass(slots=True)
class _Progress:
    state: _State = _State.WAITING
    code: int = Code.SUCCESS
    reason: str = ""
    passed_digests: set[int] = field(default_factory=set)  # hashes of the DNs passed on from this part
    passed_count: int = 0
    retried: bool = False  # sent a second time after a failure; entries already passed on are dropped


class MergedSearch:
    """One search from its first part to its final response. Times in ns on the gateway's clock."""

    def __init__(
        self, parts: Sequence[Part], now: int, deadline: int, *, size_limit: int = 0, time_limit: int = 0
    ) -> None:
        """``deadline`` is the shortest of the parts' classes; the two limits are the client's (0: none).

        Both apply to all parts together.
        """
        self.parts = tuple(parts)
        self._progress = [_Progress() for _ in self.parts]
        self._size_limit, self.passed = size_limit, 0
        self._limited_by_client = 0 < time_limit <= deadline
        self.ends_at = now + (min(deadline, time_limit) if time_limit else deadline)
        self.final_result: FinalResult | None = None
        self._references: set[tuple[str, ...]] = set()
        self._bases = frozenset(part.base for part in self.parts)

    @property
    def in_flight(self) -> tuple[int, ...]:
        """Indices of the parts in flight."""
        return tuple(i for i, p in enumerate(self._progress) if p.state is _State.IN_FLIGHT)

    @property
    def waiting(self) -> bool:
        """Whether parts are still to be sent."""
        return self.final_result is None and any(p.state is _State.WAITING for p in self._progress)

    def add_glue_entry(self) -> Verdict:
        """Counts an entry of the gateway's own (glue); these are passed on before any part is sent."""
        if self.final_result is not None:
            return Verdict.DROP
        if self._size_limit and self.passed >= self._size_limit:
            self._set_final_result(FinalResult(Code.SIZE_LIMIT, _SIZE_LIMIT_DIAGNOSTIC))
            return Verdict.END
        self.passed += 1
        return Verdict.PASS

    def glue_entries_done(self) -> None:
        """All of the gateway's own entries were passed on."""
        if not self.parts:
            self._finish()

    def next_part(self, now: int, strained: bool) -> PartRequest | None:
        """The next part to send: in tree order, or by priority while the gateway is strained."""
        if self.final_result is not None:
            return None
        if now >= self.ends_at:
            self.time_out()
            return None
        order = [i for i, p in enumerate(self._progress) if p.state is _State.WAITING]
        if not order:
            return None
        index = max(order, key=lambda i: (self.parts[i].priority, -i)) if strained else order[0]
        self._progress[index].state = _State.IN_FLIGHT
        # One more than remains, to tell a complete result from a truncated one. A retried part has no limit, since it
        # returns all its entries again.
        limit = 0
        if self._size_limit and not self._progress[index].retried:
            limit = min(self._size_limit, self._size_limit - self.passed + 1)
        return PartRequest(index, limit, self.ends_at - now)

    def entry(self, index: int, digest: int, folded: str = "") -> Verdict:
        """Handles an entry. ``digest`` is a hash of its DN; ``folded`` its DN, needed only with excluded subtrees."""
        progress = self._progress[index]
        if self.final_result is not None or progress.state is not _State.IN_FLIGHT:
            return Verdict.DROP
        # Entries in excluded subtrees belong to other groups, even if this group has them too.
        for subtree in self.parts[index].excluded:
            if folded == subtree or folded.endswith("," + subtree):
                return Verdict.DROP
        if progress.retried and digest in progress.passed_digests:
            return Verdict.DROP
        if self._size_limit and self.passed >= self._size_limit:
            self._set_final_result(FinalResult(Code.SIZE_LIMIT, _SIZE_LIMIT_DIAGNOSTIC))
            return Verdict.END
        self.passed += 1
        progress.passed_count += 1
        if len(progress.passed_digests) < MAX_REMEMBERED_DNS:
            progress.passed_digests.add(digest)
        return Verdict.PASS

    def reference(self, uris: tuple[str, ...], covered: Sequence[str] = ()) -> bool:
        """Whether to pass on a continuation reference: only once, and not to a base that the search covers itself.

        ``covered`` are the folded DNs in the URIs, where they have one.
        """
        if self.final_result is not None or uris in self._references or any(name in self._bases for name in covered):
            return False
        self._references.add(uris)
        return True

    def done(self, index: int, code: int, reason: str = "") -> None:
        """Handles a server's final response to a part."""
        if code in (Code.SUCCESS, Code.NO_SUCH_OBJECT, Code.REFERRAL):
            # noSuchObject: the group does not have its suffix's entry yet, so it has no results. A referral was passed
            # on as a continuation reference. Neither fails the whole search (RFC 4511 section 4.5.3).
            self._end_part(index, _State.DONE, Code.SUCCESS, "")
        else:
            self._end_part(index, _State.DONE if code == Code.SIZE_LIMIT else _State.MISSING, code, reason)

    def refused(self, index: int, reason: str) -> None:
        """Handles a part that the gateway turned away."""
        self._end_part(index, _State.MISSING, Code.BUSY, reason)

    def failed(self, index: int, reason: str, now: int) -> None:
        """Handles a part that failed. After some of its entries were passed on, it is retried once if time remains."""
        progress = self._progress[index]
        if (
            self.final_result is None
            and progress.state is _State.IN_FLIGHT
            and not progress.retried
            and progress.passed_count
            and progress.passed_count <= len(progress.passed_digests)
            and now < self.ends_at
        ):
            progress.state, progress.retried = _State.WAITING, True
            return
        self._end_part(index, _State.MISSING, Code.UNAVAILABLE, reason)

    def time_out(self) -> None:
        """The time limit has passed: parts that have not ended count as missing."""
        if self.final_result is None:
            for progress in self._progress:
                if progress.state in (_State.WAITING, _State.IN_FLIGHT):
                    progress.code = Code.TIME_LIMIT if self._limited_by_client else Code.UNAVAILABLE
                    progress.reason = "not answered in time"
            self._finish(timed_out=True)

    def cancel(self) -> None:
        """The client needs no answer any more."""
        self._set_final_result(FinalResult(Code.CANCELED))

    def _end_part(self, index: int, state: _State, code: int, reason: str) -> None:
        progress = self._progress[index]
        if self.final_result is not None or progress.state is not _State.IN_FLIGHT:
            return
        progress.state, progress.code, progress.reason = state, code, reason
        if code == Code.SIZE_LIMIT and self._size_limit and self.passed >= self._size_limit:
            self._set_final_result(FinalResult(Code.SIZE_LIMIT, _SIZE_LIMIT_DIAGNOSTIC))
        elif all(p.state in (_State.DONE, _State.MISSING) for p in self._progress):
            self._finish()

    def _finish(self, timed_out: bool = False) -> None:
        unsuccessful = [
            (part, p)
            for part, p in zip(self.parts, self._progress, strict=True)
            if p.code != Code.SUCCESS or (timed_out and p.state in (_State.WAITING, _State.IN_FLIGHT))
        ]
        if not unsuccessful:
            self._set_final_result(FinalResult(Code.SUCCESS))
            return
        codes = {p.code for _, p in unsuccessful}
        code = next((code for code in _CODES_BY_SEVERITY if code in codes), min(codes))
        if timed_out and self._limited_by_client:
            code = Code.TIME_LIMIT
        descriptions = [
            f"{part.suffix} ({p.reason or f'result {int(p.code)}'})" for part, p in unsuccessful[:MAX_NAMED_SUFFIXES]
        ]
        if len(unsuccessful) > MAX_NAMED_SUFFIXES:
            descriptions.append(f"{len(unsuccessful) - MAX_NAMED_SUFFIXES} more")
        missing = tuple(part.suffix for part, _ in unsuccessful)
        self._set_final_result(FinalResult(code, f"not the whole answer; missing: {'; '.join(descriptions)}", missing))

    def _set_final_result(self, final_result: FinalResult) -> None:
        if self.final_result is None:
            self.final_result = final_result
