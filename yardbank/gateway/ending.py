"""Rules for requests that the gateway ends without a decision of the policy router. No I/O.

Normally the router decides how requests end. It cannot when the gateway stops, or when an internal error occurs between
an event and the decision on it; these rules then determine the response.
"""

from __future__ import annotations

from yardbank.interface import RequestClass


def may_be_refused(request_class: RequestClass, may_have_run: bool) -> bool:
    """Whether a request may be refused, which tells the client that a retry is harmless.

    This holds for a request that never ran, or that may be repeated anyway.
    """
    if not may_have_run or request_class.effect == "safe":
        return True
    return request_class.effect == "keyed" and request_class.scope == "all"


def allowed_time(request_class: RequestClass, time_limit: int) -> int:
    """Time that a request may take (ns): the deadline of its class, capped by the client's own time limit."""
    return min(request_class.deadline, time_limit) if time_limit > 0 else request_class.deadline


def is_near_limit(unanswered: int, limit: int) -> bool:
    """Whether open requests are near their limit, so that more valuable requests take precedence."""
    return unanswered * 2 > limit


def effective_status(status: str, answered: bool, primary: bool) -> str:
    """Return the status that counts for a read: a miss answered by the primary is definite, as no server knows more."""
    return "ok" if status == "miss" and answered and primary else status
