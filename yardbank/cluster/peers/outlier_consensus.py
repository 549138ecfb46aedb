"""What of hearsay on servers is believed: the one place. No I/O: time (ns) and the gateway's own draw come in.

A word is evidence with an age, never an order. A server is doubted by hearsay if at least ``WITNESSES`` say that it
does badly and more than say that it does well. One's own fresh evidence comes first. Of a group at most half of the
servers that would otherwise be used are doubted, so never the last; the module sends writes to a primary whatever is
said, and reads where all are doubted. Doubts end by age, at times that differ between gateways, so that they do not all
come back at once. Good words never end a first-hand doubt; they bring its trial forward.

The harm that one gateway with the key can do by lies is bounded by that: reads keep off half of a group at most, for as
long as its lies go on and ``LIFE`` after.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from yardbank.cluster.peers.report_store import BAD, LIFE, WELL, Evidence, FirstHand, Kept

WITNESSES = 2
PART = 0.5  # of a group's usable servers that hearsay may take, at most
SPREAD = LIFE // 4  # over which gateways end the same doubt


@dataclass(slots=True, frozen=True)
class Listed:
    """One server as this gateway's list has it."""

    name: str
    group: str
    started: int  # ms, as the list says


@dataclass(slots=True, frozen=True)
class Belief:
    """What the module is told."""

    doubted: Mapping[str, int]  # by server: until when, ns
    well: frozenset[str]  # that this gateway doubts by itself, and others find well


@dataclass(slots=True, frozen=True)
class _Case:
    server: str
    against: int
    in_favour: int
    until: int


def believe(
    now: int, evidence: Evidence, servers: Iterable[Listed], own: FirstHand, draw: Callable[[str], float]
) -> Belief:
    """What to believe now.

    ``own``: first-hand findings by server; ``draw``: of each server, between 0 and 1, always the same here.
    """
    groups: dict[str, list[Listed]] = {}
    for server in servers:
        groups.setdefault(server.group, []).append(server)
    doubted: dict[str, int] = {}
    well: set[str] = set()
    for members in groups.values():
        usable = [one for one in members if own.get(one.name, (0, 0))[0] not in BAD]
        cases = []
        for one in members:
            words = evidence.about(now, one.name, one.started)
            if not words:
                continue
            kind = own.get(one.name, (0, 0))[0]
            if kind in BAD:
                if _outnumber(words):
                    well.add(one.name)
            elif kind != WELL and (case := _case(one.name, words, draw(one.name))) is not None:
                cases.append(case)
        cases.sort(key=lambda case: (case.in_favour - case.against, case.server))
        doubted.update({case.server: case.until for case in cases[: int(len(usable) * PART)]})
    return Belief(doubted, frozenset(well))


def _against(words: Mapping[str, Kept]) -> list[Kept]:
    return [one for one in words.values() if one.word.kind in BAD]


def _outnumber(words: Mapping[str, Kept]) -> bool:
    """Whether enough find it well, and more than do not."""
    good = sum(one.word.kind == WELL for one in words.values())
    return good >= WITNESSES and good > len(_against(words))


def _case(server: str, words: Mapping[str, Kept], draw: float) -> _Case | None:
    against = _against(words)
    good = sum(one.word.kind == WELL for one in words.values())
    if len(against) < WITNESSES or len(against) <= good:
        return None
    lasting: Sequence[int] = sorted((one.since + LIFE for one in against), reverse=True)
    return _Case(server, len(against), good, lasting[WITNESSES - 1] + int(SPREAD * draw))
