"""A few gateways, the letters between them, and all that may happen next. Deterministic; time is true time in steps.

Every clock runs at its own rate, at the limits that the terms allow. A gateway does nothing until it is chosen, for as
long as the search likes: that is a stop. Letters are delivered in any order, once, twice or never.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from yardbank.cluster.lease.api import OWNED, LeaseTerms
from yardbank.cluster.lease.messages import VoterAnnouncement, VoteReply, decode
from yardbank.cluster.lease.model_check.freeze import Zero, copied
from yardbank.cluster.lease.model_check.nodes import Kept, MembershipView, Message, Node
from yardbank.cluster.lease.part import LeasePart

SECOND = 1_000_000_000
TERMS = LeaseTerms(term=12 * SECOND, drift=0.2, overlap=6 * SECOND, voters=3)
LEASE = 10 * SECOND  # true time, at the most: 12 s of a fast clock, 8 of a slow one
SLOW, FAST = 4, 6  # fifths
RESOURCE = "channel/a"
Action = tuple[Any, ...]


class Scene(msgspec.Struct, frozen=True):
    """What is looked at. Budgets bound how often each thing happens."""

    name: str
    slow: tuple[str, ...]  # gateways whose clocks are slow; the others' are fast
    lists: tuple[Mapping[str, str], ...]  # the first is in force at the start: names and zones
    wanting: tuple[str, ...]
    budgets: Mapping[str, int]  # pass, tick, double, restart, forget, stall, hand, list, release
    resource: str = RESOURCE
    step: int = 5 * SECOND  # of true time
    hellos: bool = False  # whether these arrive; else all are lost
    depth: int = 6  # looked at with each change; more on demand
    letters: int = 4  # under way at once; beyond, the oldest is lost
    only: tuple[str, ...] = ()  # those that take a new list; empty: all
    prefix: tuple[tuple[str | int, ...], ...] = ()  # what happens first, whatever the budgets; letters then are lost


class World:
    """One state. ``after`` makes the next one."""

    __slots__ = ("budgets", "highest", "letters", "nodes", "planned", "scene", "time", "wrong")

    def __init__(self, scene: Scene) -> None:
        self.scene, self.time, self.highest, self.wrong = scene, 0, 0, ""
        self.budgets = dict(scene.budgets)
        self.letters: tuple[Message, ...] = ()
        self.planned: tuple[tuple[str, int, int], ...] = ()  # who hands on, its epoch, until when it may last
        names = sorted({name for one in scene.lists for name in one})
        self.nodes = {name: self._started(name, 1, 0, None) for name in names}
        self.time = 25 * SECOND  # all that bound at the start is over
        for name, node in self.nodes.items():
            node.part.tick(self.clock_of(name))
            node.part.outgoing_messages()
        for action in self.scene.prefix:
            made = self.after(tuple(action))
            assert made is not None and not made.wrong, (scene.name, action, made and made.wrong)
            self.nodes, self.letters, self.time = made.nodes, made.letters, made.time
            self.highest, self.planned = made.highest, made.planned
        self.letters = ()

    def _started(self, name: str, boot_epoch: int, at: int, kept: bytes | None) -> Node:
        part = LeasePart(MembershipView(name, boot_epoch, self.scene.lists[at]), TERMS, Zero(), Kept(kept))
        part.listed(self.clock_of(name))
        return Node(part, {}, at)

    def clock_of(self, name: str) -> int:
        """What a gateway's clock says now."""
        return 100 * SECOND + self.time // 5 * (SLOW if name in self.scene.slow else FAST)

    def key(self) -> int:
        """Equal where all that can follow is equal, but for a chance of one in 2**64 for two that differ."""
        nodes = [node.key(self.clock_of(name)) for name, node in self.nodes.items()]
        letters = [letter.key() for letter in self.letters]
        numbers = {number for node in nodes for number in node[1]}
        numbers.update(letter[1] for letter in letters if letter[1])
        ranks, owner, rank = {}, ("", 0), 0
        for number in sorted(numbers):
            rank, owner = (rank + 1 if number[:2] == owner else 0), number[:2]
            ranks[number] = rank
        said = sorted((letter[0], ranks.get(letter[1], 0)) for letter in letters)
        order = tuple(ranks[number] for node in nodes for number in node[1])
        planned = tuple((name, epoch, until - self.time) for name, epoch, until in self.planned if until > self.time)
        state = tuple((node[0], node[2]) for node in nodes)
        return hash((state, order, tuple(said), tuple(self.budgets.values()), planned, self.highest))

    def actions(self) -> Iterator[Action]:
        """All that may happen next."""
        if self.budgets.get("pass"):
            yield ("pass",)
        yield from self._message_actions()
        for name, node in self.nodes.items():
            if self.budgets.get("restart"):
                yield "restart", name
            if self.budgets.get("forget"):
                yield "forget", name
            if node.stalled is not None:
                yield "wake", name
                continue
            yield from self._node_actions(name, node)
            if node.part.epoch(self.clock_of(name), self.scene.resource) is not None:
                yield from self._holder_actions(name)

    def _message_actions(self) -> Iterator[Action]:
        """What may happen to messages on their way; each of those that are alike once."""
        seen = set()
        for index, message in enumerate(self.letters):
            if message in seen:
                continue
            seen.add(message)
            if self.nodes[message.target].stalled is not None:
                continue
            which = (message.source, message.target, message.kind(), self._which(index))
            yield ("deliver", *which)
            if self.budgets.get("double"):
                yield ("double", *which)
            if self.budgets.get("stall"):
                yield ("stall", *which)

    def _node_actions(self, name: str, node: Node) -> Iterator[Action]:
        """What a gateway that is not stopped may do, whether it holds or not."""
        scene = self.scene
        due = node.part.next_at()
        if self.budgets.get("tick", 1) and due is not None and due <= self.clock_of(name):
            yield "tick", name
        if name in scene.wanting and scene.resource not in node.part.claims.claims:
            yield "want", name
        has_next_list = node.at + 1 < len(scene.lists) and (not scene.only or name in scene.only)
        if self.budgets.get("list") and has_next_list:
            yield "list", name

    def _holder_actions(self, name: str) -> Iterator[Action]:
        if self.budgets.get("release"):
            yield "release", name
        if not self.budgets.get("hand"):
            return
        for other in self.scene.wanting:
            if other != name:
                yield "hand", name, other

    def _which(self, at: int) -> int:
        """How many like it are older."""
        letter = self.letters[at]
        like = (letter.source, letter.target, letter.kind())
        return sum((one.source, one.target, one.kind()) == like for one in self.letters[:at])

    def _letter(self, action: Action) -> int | None:
        _, source, target, kind, which = action
        like = (source, target, kind)
        found = [at for at, one in enumerate(self.letters) if (one.source, one.target, one.kind()) == like]
        return found[which] if which < len(found) else None

    def after(self, action: Action) -> World | None:
        """The world after something has happened; None: it cannot happen here."""
        made: World = World.__new__(World)
        made.scene, made.time, made.highest, made.wrong = self.scene, self.time, self.highest, ""
        made.letters, made.planned = self.letters, self.planned
        made.nodes, made.budgets = dict(self.nodes), dict(self.budgets)
        what = action[0]
        if what in made.budgets:
            made.budgets[what] -= 1
        if what == "pass":
            made.time += self.scene.step * (action[1] if len(action) > 1 else 1)
            return made.checked()
        at = None
        if what in ("deliver", "double", "stall"):
            if (at := self._letter(action)) is None:
                return None
            name = action[2]
            if what != "double":
                made.letters = self.letters[:at] + self.letters[at + 1 :]
        else:
            name = action[1]
        done = made._do(what, name, self.nodes[name], action, None if at is None else self.letters[at])
        return made.checked() if done else None

    def _do(self, what: str, name: str, node: Node, action: Action, letter: Message | None) -> bool:
        """Let one gateway do something; whether it can be done here."""
        if what in ("restart", "forget"):
            self._restart(name, node, keeps_store=what == "restart")
            return self._collect(name)
        if (node.stalled is not None) != (what == "wake"):
            return False
        if what == "stall":
            assert letter is not None
            self.nodes[name] = node._replace(stalled=(self.clock_of(name), letter.source, letter.body), keys={})
            return True
        part = copied(node.part)
        part._store = Kept(node.kept())
        self.nodes[name] = Node(part, {}, node.at)
        if what == "list":
            is_done = self._take_next_list(name, node, part)
        else:
            is_done = self._call(what, name, node, part, action, letter)
        return is_done and self._collect(name)

    def _restart(self, name: str, node: Node, keeps_store: bool) -> None:
        stored = node.kept() if keeps_store else None
        boot_epoch = max(one.part.boot_epoch for one in self.nodes.values()) + 1  # as clocks that are right give it
        self.nodes[name] = self._started(name, boot_epoch, node.at, stored)

    def _call(self, what: str, name: str, node: Node, part: LeasePart, action: Action, letter: Message | None) -> bool:
        now, resource = self.clock_of(name), self.scene.resource
        match what:
            case "wake":
                assert node.stalled is not None
                stalled_at, source, body = node.stalled
                part.receive(stalled_at, source, 0, body)
            case "deliver" | "double":
                assert letter is not None
                part.receive(now, letter.source, 0, letter.body)
            case "tick":
                due = part.next_at()
                if due is None or due > now:
                    return False
                part.tick(now)
            case "want":
                part.acquire(now, resource)
            case "release":
                part.release(now, resource)
            case "hand":
                return self._transfer(name, part, action[2])
        return True

    def _transfer(self, name: str, part: LeasePart, to: str) -> bool:
        now, resource = self.clock_of(name), self.scene.resource
        epoch = part.epoch(now, resource)
        if epoch is None or not part.transfer(now, resource, to):
            return False
        self.planned = (*self.planned, (name, epoch, self.time + TERMS.overlap))
        return True

    def _take_next_list(self, name: str, node: Node, part: LeasePart) -> bool:
        at = node.at + 1
        if at >= len(self.scene.lists):
            return False
        self.nodes[name] = Node(part, {}, at)
        part._membership_view = MembershipView(name, part.boot_epoch, self.scene.lists[at])
        part.listed(self.clock_of(name))
        return True

    def _collect(self, name: str) -> bool:
        """Take off what it wants sent, and what became of it."""
        part = self.nodes[name].part
        for letter in part.outgoing_messages():
            is_lost = not self.scene.hellos and isinstance(decode(letter.body), VoterAnnouncement)
            if letter.to in self.nodes and not is_lost:
                self.letters = (*self.letters, Message(name, letter.to, letter.body))[-self.scene.letters :]
        for turn in part.take_events(""):
            if turn.what == OWNED and part.epoch(self.clock_of(name), turn.resource) == turn.epoch:  # not over by now
                if turn.epoch <= self.highest:
                    self.wrong = f"epoch {turn.epoch} at {name} is not above {self.highest}"
                self.highest = max(self.highest, turn.epoch)
        self.letters = tuple(letter for letter in self.letters if self._matters(letter))
        return True

    def _matters(self, letter: Message) -> bool:
        """Whether it may ever change anything: an answer that nobody waits for cannot."""
        word = letter.word()
        if not isinstance(word, VoteReply) or len(self.scene.lists) > 1:
            return True
        part = self.nodes[letter.target].part
        claim = part.claims.claims.get(word.resource)
        waited = claim is not None and (word.number in claim.requests or word.number == claim.notice_number)
        return waited and word.boot_epoch == part.boot_epoch

    def holders(self) -> list[tuple[str, int]]:
        """Who holds by its own clock now, and under which epoch."""
        found = ((name, node.part.epoch(self.clock_of(name), self.scene.resource)) for name, node in self.nodes.items())
        return [(name, epoch) for name, epoch in found if epoch is not None]

    def checked(self) -> World:
        """Itself, with what is wrong with it."""
        holders = self.holders()
        if len(holders) > 1:
            planned = {(name, epoch) for name, epoch, until in self.planned if self.time < until}
            if len(holders) > 2 or not planned & set(holders):
                told = "held at once by " + ", ".join(f"{name} under {epoch}" for name, epoch in holders)
                self.wrong = "; ".join(one for one in (told, self.wrong) if one)
        return self
