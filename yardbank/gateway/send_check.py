"""Decides, right before an attempt is written, whether it may still be sent. No I/O.

Between the decision to send and the write, a connection is opened, other events are handled and, on a busy machine, any
amount of time passes. The router's decision is not reconsidered here; only what has become invalid since is detected.
"""

from __future__ import annotations

from enum import Enum

from yardbank.gateway.attempt import Attempt
from yardbank.gateway.request import InFlightRequest


class SendCheck(Enum):
    """Why an attempt is not written; such an attempt ends as one that never ran."""

    ENDED = "the request had ended"
    EXPIRED = "its time had run out"
    SUPERSEDED = "its server had begun to drain, moved or left the list"
    WINDOW_OVER = "the window for repeating it was over"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    DATA_TOO_OLD = "its server was no longer known to have recent enough data"


def check_send(request: InFlightRequest, attempt: Attempt, now: int, last_invalidation: int) -> SendCheck | None:
    """Return why an attempt may not be written at ``now`` (ns); None if it may.

    ``last_invalidation`` is the number of the list with which its server last started draining, moved or was removed;
    an attempt that was decided on with that list already known may be sent there.
    """
    if attempt.ended or request.ended or request.answering_attempt is not None:
        return SendCheck.ENDED
    if attempt.valid_until <= now:
        return SendCheck.EXPIRED
    if attempt.lists_handled < last_invalidation:
        return SendCheck.SUPERSEDED
    return check_repeat(request, now)


def check_repeat(request: InFlightRequest, now: int) -> SendCheck | None:
    """Check a repeat of a request that may have run: allowed if the class is safe, or keyed and within its window."""
    request_class = request.request_class
    if request_class.effect == "safe":
        return None
    issued = request.earliest_issue()
    if issued is None:
        return None
    if request_class.effect == "keyed" and request_class.scope != "zone":
        return None if now - issued < request_class.window else SendCheck.WINDOW_OVER
    return SendCheck.MAY_HAVE_RUN
