"""Whether an attempt may still be written, asked right before it is: the one place where that is decided. No I/O.

Between the decision to send and the write lie the opening of a connection, other events and, on a busy machine, any
time at all. What the module decided is not judged anew here; only what has become untrue since is found.
"""

from __future__ import annotations

from enum import Enum

from yardbank.gateway.attempt import Attempt
from yardbank.gateway.request import InFlightRequest


class SendCheck(Enum):
    """Why an attempt is not written; it ends as one that never ran."""

    ENDED = "the request had ended"
    EXPIRED = "its time had run out"
    SUPERSEDED = "its server had begun to drain, moved or left the list"
    WINDOW_OVER = "the window for repeating it was over"
    MAY_HAVE_RUN = "an earlier attempt may have run"


def check_send(request: InFlightRequest, attempt: Attempt, now: int, changed_in: int) -> SendCheck | None:
    """Why an attempt may not be written at ``now`` (ns); None: it may.

    ``changed_in`` is the number of the list with which its server last began to drain, moved or was gone; an attempt
    that was decided on with that list in hand goes there knowingly.
    """
    if attempt.ended or request.ended or request.answering is not None:
        return SendCheck.ENDED
    if attempt.until <= now:
        return SendCheck.EXPIRED
    if attempt.list_seen < changed_in:
        return SendCheck.SUPERSEDED
    return check_repeat(request, now)


def check_repeat(request: InFlightRequest, now: int) -> SendCheck | None:
    """A repeat of what may have run: harmless if it is safe, or keyed and still within its window."""
    request_class = request.request_class
    if request_class.effect == "safe":
        return None
    issued = request.first_issue()
    if issued is None:
        return None
    if request_class.effect == "keyed" and request_class.scope != "zone":
        return None if now - issued < request_class.window else SendCheck.WINDOW_OVER
    return SendCheck.MAY_HAVE_RUN
