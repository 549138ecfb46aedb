"""One search over several groups as a state machine: what goes out next, what is passed on, how it ends. No I/O.

Exactly as if one server held the whole tree, the search has one final answer. Success is said only if every part
succeeded; else the code is that of the worst part, and the diagnostic names each suffix that is missing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from yardbank.directory.codes import Code

NAMES_KEPT = 100_000  # entries passed on of one part; beyond it, a part that breaks off is not asked again
NAMED = 8  # suffixes named in a diagnostic; the rest are counted
_RANK = (
    Code.UNAVAILABLE,
    Code.OTHER,
    Code.OPERATIONS_ERROR,
    Code.BUSY,
    Code.ADMIN_LIMIT,
    Code.TIME_LIMIT,
    Code.SIZE_LIMIT,
)

_SIZE = "the search's size limit, over all suffixes together"


@dataclass(slots=True, frozen=True)
class Part:
    """One group's part, a request of its own to the decision module."""

    suffix: str  # as the operator writes it
    base: str  # folded
    worth: float
    shadows: tuple[str, ...] = ()  # folded names below which entries belong to other parts


@dataclass(slots=True, frozen=True)
class Ask:
    """Send this part now. ``size_limit`` as in a search request; ``time_limit`` in ns."""

    index: int
    size_limit: int
    time_limit: int


@dataclass(slots=True, frozen=True)
class Ending:
    """The whole's final answer."""

    code: int
    diagnostic: str = ""
    missing: tuple[str, ...] = ()


class Verdict(Enum):
    """What becomes of an entry."""

    PASS = "pass"
    DROP = "drop"
    END = "end"  # one more than the size limit allows: the search is over


class _State(Enum):
    WAITING, OUT, DONE, MISSING = range(4)


@dataclass(slots=True)
class _Progress:
    state: _State = _State.WAITING
    code: int = Code.SUCCESS
    reason: str = ""
    passed: set[int] = field(default_factory=set)  # hashes of names: what was passed on of this part
    counted: int = 0
    again: bool = False  # asked again after it broke off: what was passed on is not repeated


class Spread:
    """A search's life from its first part to its one ending. Times in ns on the gateway's clock."""

    def __init__(
        self, parts: Sequence[Part], now: int, deadline: int, *, size_limit: int = 0, time_limit: int = 0
    ) -> None:
        """``deadline`` is the shortest of the parts' classes; ``size_limit`` and ``time_limit`` the client's (0: none).

        Both limits hold over all parts together.
        """
        self.parts = tuple(parts)
        self._progress = [_Progress() for _ in self.parts]
        self._size_limit, self.passed = size_limit, 0
        self._client_limit = 0 < time_limit <= deadline
        self.until = now + (min(deadline, time_limit) if time_limit else deadline)
        self.ending: Ending | None = None
        self._references: set[tuple[str, ...]] = set()
        self._bases = frozenset(part.base for part in self.parts)

    @property
    def out(self) -> tuple[int, ...]:
        """Parts that are out."""
        return tuple(i for i, p in enumerate(self._progress) if p.state is _State.OUT)

    @property
    def waiting(self) -> bool:
        """Whether parts are still to be sent."""
        return self.ending is None and any(p.state is _State.WAITING for p in self._progress)

    def own(self) -> Verdict:
        """An entry that the gateway itself holds (glue); these come before all parts."""
        if self.ending is not None:
            return Verdict.DROP
        if self._size_limit and self.passed >= self._size_limit:
            self._end(Ending(Code.SIZE_LIMIT, _SIZE))
            return Verdict.END
        self.passed += 1
        return Verdict.PASS

    def begin(self) -> None:
        """The gateway's own entries are in."""
        if not self.parts:
            self._conclude()

    def next(self, now: int, strained: bool) -> Ask | None:
        """The next part to send, in the tree's order; by worth where the gateway is strained."""
        if self.ending is not None:
            return None
        if now >= self.until:
            self.overdue()
            return None
        order = [i for i, p in enumerate(self._progress) if p.state is _State.WAITING]
        if not order:
            return None
        index = max(order, key=lambda i: (self.parts[i].worth, -i)) if strained else order[0]
        self._progress[index].state = _State.OUT
        # One more than is left, so that a full answer can be told from a cut one; a part asked again starts over.
        limit = 0
        if self._size_limit and not self._progress[index].again:
            limit = min(self._size_limit, self._size_limit - self.passed + 1)
        return Ask(index, limit, self.until - now)

    def entry(self, index: int, digest: int, folded: str = "") -> Verdict:
        """An entry came. ``digest`` is a hash of its name; ``folded`` the name, where the part has shadows."""
        progress = self._progress[index]
        if self.ending is not None or progress.state is not _State.OUT:
            return Verdict.DROP
        for shadow in self.parts[index].shadows:
            if folded == shadow or folded.endswith("," + shadow):  # another group's, whatever this one holds there
                return Verdict.DROP
        if progress.again and digest in progress.passed:
            return Verdict.DROP
        if self._size_limit and self.passed >= self._size_limit:
            self._end(Ending(Code.SIZE_LIMIT, _SIZE))
            return Verdict.END
        self.passed += 1
        progress.counted += 1
        if len(progress.passed) < NAMES_KEPT:
            progress.passed.add(digest)
        return Verdict.PASS

    def reference(self, uris: tuple[str, ...], covered: Sequence[str] = ()) -> bool:
        """Whether a continuation is passed on: not twice, and not where the search goes itself.

        ``covered`` are the folded names that the URIs lead to, as far as they say.
        """
        if self.ending is not None or uris in self._references or any(name in self._bases for name in covered):
            return False
        self._references.add(uris)
        return True

    def done(self, index: int, code: int, reason: str = "") -> None:
        """A part has its final answer from a server."""
        if code in (Code.SUCCESS, Code.NO_SUCH_OBJECT, Code.REFERRAL):
            # No such object: a group that does not hold its suffix's entry yet has nothing there. A referral went
            # to the client as a continuation reference. Neither is an error of the whole (RFC 4511 section 4.5.3).
            self._close(index, _State.DONE, Code.SUCCESS, "")
        else:
            self._close(index, _State.DONE if code == Code.SIZE_LIMIT else _State.MISSING, code, reason)

    def refused(self, index: int, reason: str) -> None:
        """The gateway turned a part away."""
        self._close(index, _State.MISSING, Code.BUSY, reason)

    def failed(self, index: int, reason: str, now: int) -> None:
        """A part failed. One that broke off after entries were passed on is asked once more, if there is time."""
        progress = self._progress[index]
        if (
            self.ending is None
            and progress.state is _State.OUT
            and not progress.again
            and progress.counted
            and progress.counted <= len(progress.passed)
            and now < self.until
        ):
            progress.state, progress.again = _State.WAITING, True
            return
        self._close(index, _State.MISSING, Code.UNAVAILABLE, reason)

    def overdue(self) -> None:
        """The time is over; what has not ended is missing."""
        if self.ending is None:
            for progress in self._progress:
                if progress.state in (_State.WAITING, _State.OUT):
                    progress.code = Code.TIME_LIMIT if self._client_limit else Code.UNAVAILABLE
                    progress.reason = "not answered in time"
            self._conclude(over=True)

    def give_up(self) -> None:
        """The client wants no answer any more."""
        self._end(Ending(Code.CANCELED))

    def _close(self, index: int, state: _State, code: int, reason: str) -> None:
        progress = self._progress[index]
        if self.ending is not None or progress.state is not _State.OUT:
            return
        progress.state, progress.code, progress.reason = state, code, reason
        if code == Code.SIZE_LIMIT and self._size_limit and self.passed >= self._size_limit:
            self._end(Ending(Code.SIZE_LIMIT, _SIZE))
        elif all(p.state in (_State.DONE, _State.MISSING) for p in self._progress):
            self._conclude()

    def _conclude(self, over: bool = False) -> None:
        wrong = [
            (part, p)
            for part, p in zip(self.parts, self._progress, strict=True)
            if p.code != Code.SUCCESS or (over and p.state in (_State.WAITING, _State.OUT))
        ]
        if not wrong:
            self._end(Ending(Code.SUCCESS))
            return
        codes = {p.code for _, p in wrong}
        code = next((code for code in _RANK if code in codes), min(codes))
        if over and self._client_limit:
            code = Code.TIME_LIMIT
        told = [f"{part.suffix} ({p.reason or f'result {int(p.code)}'})" for part, p in wrong[:NAMED]]
        if len(wrong) > NAMED:
            told.append(f"{len(wrong) - NAMED} more")
        missing = tuple(part.suffix for part, _ in wrong)
        self._end(Ending(code, f"not the whole answer; missing: {'; '.join(told)}", missing))

    def _end(self, ending: Ending) -> None:
        if self.ending is None:
            self.ending = ending
