"""Faults to inject into the lease protocol, to show that the search finds them. They patch attributes by name."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from yardbank.cluster.lease import holder
from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.claim import Claim
from yardbank.cluster.lease.electorate import Electorate
from yardbank.cluster.lease.voter import Voter


def _ignore_drift() -> Any:
    return patch.object(LeaseTerms, "holding_time", lambda terms: terms.term)


def _grant_after_start() -> Any:
    def begin(voter: Voter, now: int, longest: int) -> None:
        voter.silent_until = now

    return patch.object(Voter, "begin", begin)


def _ignore_expiry() -> Any:
    return patch.object(Claim, "holds", lambda claim, now: claim.state in holder.HELD_STATES)


def _forget_epochs() -> Any:
    real = Voter.decide

    def decide(voter: Voter, now: int, sender: str, request: Any) -> Any:
        decision = real(voter, now, sender, request)
        if (entry := voter.entries.get(request.resource)) is not None:
            voter.entries[request.resource] = entry._replace(highest=0)
        return decision

    return patch.object(Voter, "decide", decide)


def _ignore_older_lists() -> Any:
    return patch.object(Electorate, "_binding", lambda electorate, now, older, resource: None)


def _unlimited_transfer() -> Any:
    return patch.object(holder, "min_overlap_duration", lambda terms: terms.term)


BUGS: dict[str, tuple[str, Callable[[], Any]]] = {
    "drift": ("the holder counts a whole term by its own clock, without the allowance for drift", _ignore_drift),
    "forgets": ("a voter grants at once after a start", _grant_after_start),
    "wakes": ("the holder does not check the time before it uses the lease", _ignore_expiry),
    "epoch": ("a voter forgets which epochs it granted", _forget_epochs),
    "one-set": ("only the voters of the new list are asked", _ignore_older_lists),
    "uncapped": ("a transfer is not limited to the overlap", _unlimited_transfer),
}


@contextmanager
def inject_bug(bug: str) -> Iterator[None]:
    """Inject one bug within the context; "": none."""
    if not bug:
        yield
        return
    with BUGS[bug][1]():
        yield
