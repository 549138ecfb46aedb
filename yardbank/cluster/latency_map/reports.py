"""What gateways say of ways, and what of it is believed. No I/O.

Each sender speaks for itself alone: of each pair and sender the newest claim is kept, so claims may come twice, late,
in any order. A claim is first-hand where the list puts its sender into one of the two zones; else it is hearsay, which
only fills up where fewer than three are first-hand. What is believed is the median over senders (approximate agreement:
Dolev and others, JACM 1986): with three voices or more one liar moves it no further than the honest ones reach.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from yardbank.cluster.latency_map.measurements import Figure
from yardbank.cluster.latency_map.options import Pair

VOICES = 3  # so many are wanted before one of them may lie
MAX_VOICES = 24  # kept of one pair; beyond, the one seen longest ago gives way
AGREE, NEAR = 1.5, 2_000_000  # two that differ by less than this factor, or so little, say the same
Legs = Callable[[], tuple[int, int] | None]
SLACK = 2.0  # ways through a third zone are this far off at most, as far as a lone voice is believed


@dataclass(slots=True, frozen=True)
class Claim:
    """One gateway's word on one way; times in nanoseconds, ``seen_at`` on this gateway's clock."""

    value: int
    spread: int
    seen_at: int
    witnesses: int
    first: bool
    order: tuple[int, int]  # the sender's life, and the letter's number


@dataclass(slots=True, frozen=True)
class Belief:
    """What is believed of a way."""

    value: int
    spread: int
    seen_at: int
    witnesses: int


class Claims:
    """Of each pair what each sender said last."""

    def __init__(self) -> None:
        self.crowded = 0  # gave way for newer ones
        self._by: dict[Pair, dict[str, Claim]] = {}

    def take(self, pair: Pair, sender: str, claim: Claim) -> None:
        """One more. Of the same letter the first that came counts: a copy that was under way longer looks younger."""
        by = self._by.setdefault(pair, {})
        known = by.get(sender)
        if known is not None and (known.order, -known.seen_at) >= (claim.order, -claim.seen_at):
            return
        by[sender] = claim
        if len(by) > MAX_VOICES:
            del by[min(by, key=lambda name: (by[name].seen_at, name))]
            self.crowded += 1

    def keep(self, wanted: Callable[[Pair, str, Claim], bool]) -> None:
        """Forget all but those."""
        for pair, by in list(self._by.items()):
            kept = {sender: claim for sender, claim in by.items() if wanted(pair, sender, claim)}
            if kept:
                self._by[pair] = kept
            else:
                del self._by[pair]

    def about(self, pair: Pair, since: int) -> list[Claim]:
        """What is said of one, by what was seen since then."""
        return [claim for claim in self._by.get(pair, {}).values() if claim.seen_at > since]


def _age(claim: Claim) -> tuple[int, int]:
    return -claim.seen_at, claim.value


def believed(
    now: int, own: Figure | None, leads: bool, claims: Sequence[Claim], window: int, legs: Legs
) -> Belief | None:
    """What to believe of a pair; None: nothing.

    ``own``: as this gateway sees it; ``leads``: that is fresh, and it finds itself well, so others are not asked.
    ``legs``: between what the ways through a third zone put it; a lone voice is believed no further than that.
    """
    first = [claim for claim in claims if claim.first]
    if own is not None:
        if leads or not claims:
            return Belief(own.low, own.spread, own.seen_at, 1 + len(first))
        first.append(Claim(own.low, own.spread, own.seen_at, 1, True, (0, 0)))
    first.sort(key=_age)
    voices = [claim for place, claim in enumerate(first) if place < VOICES or now - claim.seen_at <= window]
    if len(voices) < VOICES and own is None:  # hearsay never outvotes what one sees
        voices += sorted((claim for claim in claims if not claim.first), key=_age)[: VOICES - len(voices)]
    if not voices:
        return None
    witnesses = len(first) or sorted(claim.witnesses for claim in voices)[(len(voices) - 1) // 2]
    if len(voices) < VOICES:
        if own is not None:
            return Belief(own.low, own.spread, own.seen_at, witnesses)
        return _few(voices, witnesses, legs())
    return _middle(voices, witnesses)


def _middle(voices: Sequence[Claim], witnesses: int) -> Belief:
    middle = (len(voices) - 1) // 2
    value = sorted(claim.value for claim in voices)[middle]
    spread = sorted(claim.spread for claim in voices)[middle]
    return Belief(value, spread, sorted(claim.seen_at for claim in voices)[middle], witnesses)


def _few(voices: Sequence[Claim], witnesses: int, legs: tuple[int, int] | None) -> Belief | None:
    """One or two others' words: either may lie, so they go as far as the ways through a third zone bear them out."""
    least, most = (0, 0) if legs is None else (int(legs[0] / SLACK), int(legs[1] * SLACK))
    low, high = min(claim.value for claim in voices), max(claim.value for claim in voices)
    if len(voices) == 2 and (high <= AGREE * low or high - low <= NEAR):
        value = high if legs is None else min(most, max(least, high))
    elif legs is None:
        return None
    else:
        value = high if least <= high <= most else min(most, max(least, low))
    return Belief(value, max(c.spread for c in voices), min(c.seen_at for c in voices), witnesses)
