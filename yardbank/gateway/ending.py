"""What a gateway may say of a request that it must end by itself. No I/O.

The decision module ends requests on the ordinary path. It cannot when the gateway stops, or when an error in
the program itself stands between an event and its decision; then these few rules give the answer.
"""

from __future__ import annotations

from yardbank.interface import RequestClass


def may_be_refused(request_class: RequestClass, may_have_run: bool) -> bool:
    """A refusal says that trying again is harmless: true of what never ran, or may be repeated anyway."""
    if not may_have_run or request_class.effect == "safe":
        return True
    return request_class.effect == "keyed" and request_class.scope == "all"


def allowance(request_class: RequestClass, time_limit: int) -> int:
    """How long a request may take (ns): its class's deadline, cut to the client's own time limit."""
    return min(request_class.deadline, time_limit) if time_limit > 0 else request_class.deadline


def strained(owed: int, most: int) -> bool:
    """Whether a gateway is close enough to its bound of open requests that what is worth more goes first."""
    return owed * 2 > most


def standing(status: str, answered: bool, primary: bool) -> str:
    """How a read's miss counts that came with an answer: from the primary it is the answer, as no server knows more."""
    return "ok" if status == "miss" and answered and primary else status
