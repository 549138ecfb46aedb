"""How many parts of searches one client may have out at once, and whose turn is next. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Budget(Generic[T]):
    """Turns among one client's searches: each gets its next part out in turn, within one bound for all.

    The bound is halved when a part is turned away, since the gateway or the group is full, and grows by one for
    each ``at_once`` parts that were served: a client must not fill what has no room with parts of one search.
    """

    def __init__(self, at_once: int) -> None:
        if at_once < 1:
            raise ValueError("at_once must be positive")
        self._most = at_once
        self._window = float(at_once)
        self._out = 0
        self._waiting: deque[T] = deque()

    @property
    def out(self) -> int:
        """Parts out."""
        return self._out

    @property
    def window(self) -> int:
        """Parts that may be out at once now."""
        return max(1, int(self._window))

    @property
    def strained(self) -> bool:
        """Whether parts were turned away lately."""
        return self._window < self._most

    def join(self, search: T) -> None:
        """A search has parts to send."""
        if search not in self._waiting:
            self._waiting.append(search)

    def leave(self, search: T) -> None:
        """It has none any more."""
        if search in self._waiting:
            self._waiting.remove(search)

    def turn(self) -> T | None:
        """Whose next part may go out now; None: nobody's. It stands last in line afterwards."""
        if self._out >= self.window or not self._waiting:
            return None
        self._waiting.rotate(-1)
        return self._waiting[-1]

    def sent(self) -> None:
        """One part went out."""
        self._out += 1

    def ended(self, refused: bool = False, served: bool = False) -> None:
        """One part ended."""
        self._out -= 1
        if refused:
            self._window = max(1.0, self._window / 2)
        elif served:
            self._window = min(float(self._most), self._window + 1 / self._window)
