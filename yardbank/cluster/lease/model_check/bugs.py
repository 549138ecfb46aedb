"""Faults put into the deciders, to see that the exploration finds them."""

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


def _drift() -> Any:
    return patch.object(LeaseTerms, "holding_time", lambda terms: terms.term)


def _forgets() -> Any:
    def begin(voter: Voter, now: int, longest: int) -> None:
        voter.silent_until = now

    return patch.object(Voter, "begin", begin)


def _wakes() -> Any:
    return patch.object(Claim, "holds", lambda claim, now: claim.state in holder.HELD_STATES)


def _reuses() -> Any:
    real = Voter.ask

    def ask(voter: Voter, now: int, sender: str, word: Any) -> Any:
        found = real(voter, now, sender, word)
        if (entry := voter.entries.get(word.resource)) is not None:
            voter.entries[word.resource] = entry._replace(highest=0)
        return found

    return patch.object(Voter, "ask", ask)


def _one_set() -> Any:
    return patch.object(Electorate, "_binding", lambda lists, now, one, resource: None)


def _uncapped() -> Any:
    return patch.object(holder, "short_overlap", lambda terms: terms.term)


BUGS: dict[str, tuple[str, Callable[[], Any]]] = {
    "drift": ("the holder counts a whole term of its own clock", _drift),
    "forgets": ("a voter grants at once after a start", _forgets),
    "wakes": ("who holds is not asked what time it is", _wakes),
    "epoch": ("a voter forgets which epochs it granted", _reuses),
    "one-set": ("only the voters of the new list are asked", _one_set),
    "uncapped": ("a handing on has no end", _uncapped),
}


@contextmanager
def seeded(bug: str) -> Iterator[None]:
    """With one bug in; "": with none."""
    if not bug:
        yield
        return
    with BUGS[bug][1]():
        yield
