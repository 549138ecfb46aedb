"""A few gateways, the messages between them, and all actions that can follow. Deterministic; true time passes in steps.

Clocks run at different rates, at the limits that the terms allow. A gateway does nothing until the search picks it,
however long that takes, which models a stopped process. Messages are delivered in any order, once, twice or never.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from yardbank.cluster.lease.api import OWNED, LeaseTerms
from yardbank.cluster.lease.messages import VoterAnnouncement, VoteReply, decode
from yardbank.cluster.lease.model_check.freeze import ZeroRandom, copy_of
from yardbank.cluster.lease.model_check.nodes import MembershipView, MemoryStore, Message, Node
from yardbank.cluster.lease.part import LeasePart

SECOND = 1_000_000_000
TERMS = LeaseTerms(term=12 * SECOND, drift=0.2, overlap=6 * SECOND, voters=3)
LEASE = 10 * SECOND  # the longest lease in true time: 12 s of a fast clock, 8 s of a slow one
SLOW, FAST = 4, 6  # clock rates in fifths of true time
RESOURCE = "channel/a"
Action = tuple[Any, ...]


class Scenario(msgspec.Struct, frozen=True):
    """One setup to explore; the field names are those of stored counterexamples. Budgets bound how often actions occur.

    Actions: ``pass`` a step of time, ``tick`` a gateway, ``deliver`` a message or deliver it and keep it (``double``),
    ``stall`` a gateway between reading its clock and handling a message, ``wake`` it, ``restart`` it with its store or
    without (``forget``), ``want`` or ``release`` the resource, transfer it (``hand``), take the next ``list``.
    """

    name: str
    slow: tuple[str, ...]  # gateways with slow clocks; the others' clocks are fast
    lists: tuple[Mapping[str, str], ...]  # zones by name; the first list is in force at the start
    wanting: tuple[str, ...]  # gateways that may acquire the resource
    budgets: Mapping[str, int]  # by action: pass, tick, double, restart, forget, stall, hand, list, release
    resource: str = RESOURCE
    step: int = 5 * SECOND  # of true time
    hellos: bool = False  # whether voter announcements arrive; else all are lost
    depth: int = 6  # explored by the tests; the command line can go deeper
    letters: int = 4  # most messages in flight; beyond, the oldest is lost
    only: tuple[str, ...] = ()  # gateways that take a new list; empty: all
    prefix: tuple[tuple[str | int, ...], ...] = ()  # actions done first, outside the budgets; messages left are dropped


class World:
    """One state of the fleet. ``after`` returns the next one."""

    __slots__ = ("budgets", "highest", "messages", "nodes", "planned", "scenario", "time", "wrong")

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.time, self.highest, self.wrong = scenario, 0, 0, ""
        self.budgets = dict(scenario.budgets)
        self.messages: tuple[Message, ...] = ()
        self.planned: tuple[tuple[str, int, int], ...] = ()  # transfers: holder, its epoch, end of the allowed overlap
        names = sorted({name for zones in scenario.lists for name in zones})
        self.nodes = {name: self._started(name, 1, 0, None) for name in names}
        self.time = 25 * SECOND  # the voters' silence after the start is over
        for name, node in self.nodes.items():
            node.part.tick(self.clock_of(name))
            node.part.outgoing_messages()
        for action in self.scenario.prefix:
            world = self.after(tuple(action))
            assert world is not None and not world.wrong, (scenario.name, action, world and world.wrong)
            self.nodes, self.messages, self.time = world.nodes, world.messages, world.time
            self.highest, self.planned = world.highest, world.planned
        self.messages = ()

    def _started(self, name: str, boot_epoch: int, at: int, stored: bytes | None) -> Node:
        part = LeasePart(
            MembershipView(name, boot_epoch, self.scenario.lists[at]), TERMS, ZeroRandom(), MemoryStore(stored)
        )
        part.listed(self.clock_of(name))
        return Node(part, {}, at)

    def clock_of(self, name: str) -> int:
        """The time on a gateway's clock."""
        return 100 * SECOND + self.time // 5 * (SLOW if name in self.scenario.slow else FAST)

    def key(self) -> int:
        """Equal for states with the same possible futures; two that differ collide with a chance of one in 2**64."""
        nodes = [node.key(self.clock_of(name)) for name, node in self.nodes.items()]
        messages = [message.key() for message in self.messages]
        numbers = {number for node in nodes for number in node[1]}
        numbers.update(message[1] for message in messages if message[1])
        ranks, owner, rank = {}, ("", 0), 0
        for number in sorted(numbers):
            rank, owner = (rank + 1 if number[:2] == owner else 0), number[:2]
            ranks[number] = rank
        in_flight = sorted((message[0], ranks.get(message[1], 0)) for message in messages)
        order = tuple(ranks[number] for node in nodes for number in node[1])
        planned = tuple((name, epoch, until - self.time) for name, epoch, until in self.planned if until > self.time)
        state = tuple((node[0], node[2]) for node in nodes)
        return hash((state, order, tuple(in_flight), tuple(self.budgets.values()), planned, self.highest))

    def actions(self) -> Iterator[Action]:
        """All actions that may happen next."""
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
            if node.part.epoch(self.clock_of(name), self.scenario.resource) is not None:
                yield from self._holder_actions(name)

    def _message_actions(self) -> Iterator[Action]:
        """The actions on messages in flight; equal messages are considered once."""
        seen = set()
        for index, message in enumerate(self.messages):
            if message in seen:
                continue
            seen.add(message)
            if self.nodes[message.target].stalled is not None:
                continue
            which = (message.source, message.target, message.kind(), self._rank_among_equals(index))
            yield ("deliver", *which)
            if self.budgets.get("double"):
                yield ("double", *which)
            if self.budgets.get("stall"):
                yield ("stall", *which)

    def _node_actions(self, name: str, node: Node) -> Iterator[Action]:
        """The actions of a gateway that is not stalled, whether it holds the lease or not."""
        scenario = self.scenario
        due = node.part.next_at()
        if self.budgets.get("tick", 1) and due is not None and due <= self.clock_of(name):
            yield "tick", name
        if name in scenario.wanting and scenario.resource not in node.part.claims.claims:
            yield "want", name
        has_next_list = node.list_index + 1 < len(scenario.lists) and (not scenario.only or name in scenario.only)
        if self.budgets.get("list") and has_next_list:
            yield "list", name

    def _holder_actions(self, name: str) -> Iterator[Action]:
        if self.budgets.get("release"):
            yield "release", name
        if not self.budgets.get("hand"):
            return
        for other in self.scenario.wanting:
            if other != name:
                yield "hand", name, other

    def _rank_among_equals(self, at: int) -> int:
        """How many older messages have the same source, target and kind."""
        message = self.messages[at]
        like = (message.source, message.target, message.kind())
        return sum((other.source, other.target, other.kind()) == like for other in self.messages[:at])

    def _find_message(self, action: Action) -> int | None:
        _, source, target, kind, which = action
        like = (source, target, kind)
        found = [
            at for at, message in enumerate(self.messages) if (message.source, message.target, message.kind()) == like
        ]
        return found[which] if which < len(found) else None

    def after(self, action: Action) -> World | None:
        """The state after an action; None: the action is not possible in this state."""
        world: World = World.__new__(World)
        world.scenario, world.time, world.highest, world.wrong = self.scenario, self.time, self.highest, ""
        world.messages, world.planned = self.messages, self.planned
        world.nodes, world.budgets = dict(self.nodes), dict(self.budgets)
        what = action[0]
        if what in world.budgets:
            world.budgets[what] -= 1
        if what == "pass":
            world.time += self.scenario.step * (action[1] if len(action) > 1 else 1)
            return world.checked()
        at = None
        if what in ("deliver", "double", "stall"):
            if (at := self._find_message(action)) is None:
                return None
            name = action[2]
            if what != "double":
                world.messages = self.messages[:at] + self.messages[at + 1 :]
        else:
            name = action[1]
        done = world._do(what, name, self.nodes[name], action, None if at is None else self.messages[at])
        return world.checked() if done else None

    def _do(self, what: str, name: str, node: Node, action: Action, message: Message | None) -> bool:
        """Let one gateway do an action; returns whether it is possible in this state."""
        if what in ("restart", "forget"):
            self._restart(name, node, keeps_store=what == "restart")
            return self._collect(name)
        if (node.stalled is not None) != (what == "wake"):
            return False
        if what == "stall":
            assert message is not None
            self.nodes[name] = node._replace(stalled=(self.clock_of(name), message.source, message.body), keys={})
            return True
        part = copy_of(node.part)
        part._store = MemoryStore(node.stored())
        self.nodes[name] = Node(part, {}, node.list_index)
        if what == "list":
            is_done = self._take_next_list(name, node, part)
        else:
            is_done = self._call(what, name, node, part, action, message)
        return is_done and self._collect(name)

    def _restart(self, name: str, node: Node, keeps_store: bool) -> None:
        stored = node.stored() if keeps_store else None
        boot_epoch = max(other.part.boot_epoch for other in self.nodes.values()) + 1  # as correct clocks would give it
        self.nodes[name] = self._started(name, boot_epoch, node.list_index, stored)

    def _call(self, what: str, name: str, node: Node, part: LeasePart, action: Action, message: Message | None) -> bool:
        now, resource = self.clock_of(name), self.scenario.resource
        match what:
            case "wake":
                assert node.stalled is not None
                stalled_at, source, body = node.stalled
                part.receive(stalled_at, source, 0, body)
            case "deliver" | "double":
                assert message is not None
                part.receive(now, message.source, 0, message.body)
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
        now, resource = self.clock_of(name), self.scenario.resource
        epoch = part.epoch(now, resource)
        if epoch is None or not part.transfer(now, resource, to):
            return False
        self.planned = (*self.planned, (name, epoch, self.time + TERMS.overlap))
        return True

    def _take_next_list(self, name: str, node: Node, part: LeasePart) -> bool:
        at = node.list_index + 1
        if at >= len(self.scenario.lists):
            return False
        self.nodes[name] = Node(part, {}, at)
        part._membership_view = MembershipView(name, part.boot_epoch, self.scenario.lists[at])
        part.listed(self.clock_of(name))
        return True

    def _collect(self, name: str) -> bool:
        """Collect a gateway's outgoing messages and lease events, and check its new epochs. Always returns True."""
        part = self.nodes[name].part
        for message in part.outgoing_messages():
            is_lost = not self.scenario.hellos and isinstance(decode(message.body), VoterAnnouncement)
            if message.to in self.nodes and not is_lost:
                self.messages = (*self.messages, Message(name, message.to, message.body))[-self.scenario.letters :]
        for event in part.take_events(""):
            if event.what == OWNED and part.epoch(self.clock_of(name), event.resource) == event.epoch:  # unexpired
                if event.epoch <= self.highest:
                    self.wrong = f"epoch {event.epoch} at {name} is not above {self.highest}"
                self.highest = max(self.highest, event.epoch)
        self.messages = tuple(message for message in self.messages if self._can_matter(message))
        return True

    def _can_matter(self, message: Message) -> bool:
        """Whether a message may still have an effect: a reply that no request waits for cannot."""
        decoded = message.decoded()
        if not isinstance(decoded, VoteReply) or len(self.scenario.lists) > 1:
            return True
        part = self.nodes[message.target].part
        claim = part.claims.claims.get(decoded.resource)
        is_awaited = claim is not None and (decoded.number in claim.requests or decoded.number == claim.notice_number)
        return is_awaited and decoded.boot_epoch == part.boot_epoch

    def holders(self) -> list[tuple[str, int]]:
        """The gateways that hold the lease now by their own clocks, with their epochs."""
        found = (
            (name, node.part.epoch(self.clock_of(name), self.scenario.resource)) for name, node in self.nodes.items()
        )
        return [(name, epoch) for name, epoch in found if epoch is not None]

    def checked(self) -> World:
        """Return this state, with ``wrong`` set if there are two holders outside of an allowed overlap."""
        holders = self.holders()
        if len(holders) > 1:
            planned = {(name, epoch) for name, epoch, until in self.planned if self.time < until}
            if len(holders) > 2 or not planned & set(holders):
                description = "held at once by " + ", ".join(f"{name} under {epoch}" for name, epoch in holders)
                self.wrong = "; ".join(text for text in (description, self.wrong) if text)
        return self
