"""Whether an attempt may still be written, asked right before it is: the one place where that is decided. No I/O.

Between the decision to send and the write lie the opening of a connection, other events and, on a busy machine, any
time at all. What the module decided is not judged anew here; only what has become untrue since is found.
"""

from __future__ import annotations

from enum import Enum

from yardbank.gateway.attempt import Attempt
from yardbank.gateway.request import Open


class Withheld(Enum):
    """Why an attempt is not written; it ends as one that never ran."""

    ENDED = "the request had ended"
    EXPIRED = "its time had run out"
    SUPERSEDED = "its server had begun to drain, moved or left the list"
    WINDOW_OVER = "the window for repeating it was over"
    MAY_HAVE_RUN = "an earlier attempt may have run"


def withheld(request: Open, attempt: Attempt, now: int, changed_in: int) -> Withheld | None:
    """Why an attempt may not be written at ``now`` (ns); None: it may.

    ``changed_in`` is the number of the list with which its server last began to drain, moved or was gone; an attempt
    that was decided on with that list in hand goes there knowingly.
    """
    if attempt.ended or request.ended or request.answering is not None:
        return Withheld.ENDED
    if attempt.until <= now:
        return Withheld.EXPIRED
    if attempt.list_seen < changed_in:
        return Withheld.SUPERSEDED
    return withheld_repeat(request, now)


def withheld_repeat(request: Open, now: int) -> Withheld | None:
    """A repeat of what may have run: harmless if it is safe, or keyed and still within its window."""
    kind = request.kind
    if kind.effect == "safe":
        return None
    issued = request.first_issue()
    if issued is None:
        return None
    if kind.effect == "keyed" and kind.scope != "zone":
        return None if now - issued < kind.window else Withheld.WINDOW_OVER
    return Withheld.MAY_HAVE_RUN
