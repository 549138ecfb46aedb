"""Every order of events in a small fleet, over the real code.

Run as ``python -m yardbank.cluster.list_distribution.model_check [--deep]``.

Three gateways, two publishers one after the other, of whom the second may not have heard of the first. Messages are
delivered in any order, lost or delivered twice; clocks run when the search says so. After each step the invariants of
``replica`` are checked; from states in which nothing is left to do all must come to hold the newest version once
nothing is lost any more. A state that breaks an invariant is printed with the steps that lead to it.
"""

from __future__ import annotations

import argparse
import pickle
import sys
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from yardbank.cluster.list_distribution.messages import Message, decode, encode
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.replica import FencedError, Replica
from yardbank.cluster.list_distribution.table import shown
from yardbank.cluster.list_distribution.version import NOTHING, Version

NAMES = ("a", "b", "c")
OPTIONS = Options(rounds=1, fan_out=2, tries=3)
IN_CI, DEEP = 4_000, 400_000  # states
HEALED = 40  # of so many states one is led to where nothing is lost any more
MAX_IN_FLIGHT = 5
HEAL_ROUNDS = 60


class FirstChoice:
    """In place of a random source: always the first, so that a state has one future for each event."""

    def sample(self, population: Sequence[str], count: int) -> list[str]:
        """The first ones."""
        return list(population[:count])

    def randrange(self, stop: int) -> int:
        """The first index."""
        return 0

    def random(self) -> float:
        """Never below a half."""
        return 0.9


@dataclass(frozen=True)
class Publication:
    """What one gateway publishes under an epoch, if it comes to that."""

    name: str
    epoch: int
    entries: tuple[tuple[str, str], ...]


PUBLICATIONS = (
    Publication("a", 1, (("x", "1"), ("y", "1"))),
    Publication("a", 1, (("x", "2"), ("y", "1"))),
    Publication("b", 2, (("x", "3"),)),
)


@dataclass
class World:
    """One state."""

    replicas: dict[str, Replica]
    ticks: int
    now: int = 1
    in_flight: list[tuple[str, str, bytes]] = field(default_factory=list)  # from, to, message
    published: dict[Version, dict[str, str]] = field(default_factory=lambda: {NOTHING: {}})
    next_publication: int = 0
    doubled: bool = False

    def key(self) -> bytes:
        """What makes two states the same."""
        replicas = [_frozen(self.replicas[name], self.now) for name in NAMES]
        return pickle.dumps((replicas, sorted(self.in_flight), self.next_publication, self.ticks, self.doubled))

    def collect(self) -> None:
        """Messages that were written go on their way; what finds no place is lost."""
        for name, replica in self.replicas.items():
            for out in replica.outgoing():
                one = (name, out.to, encode(out.message))
                if one not in self.in_flight and len(self.in_flight) < MAX_IN_FLIGHT:
                    self.in_flight.append(one)
            replica.adoptions()

    def events(self) -> Iterator[tuple[str, Any]]:
        """All that may happen next."""
        for at in range(len(self.in_flight)):
            yield "deliver", at
            yield "lose", at
            if not self.doubled:
                yield "double", at
        if self.next_publication < len(PUBLICATIONS):
            yield "publish", self.next_publication
            yield "skip", self.next_publication
        if self.ticks:
            for name in NAMES:
                yield "tick", name

    def happen(self, what: str, which: Any) -> None:
        """One event."""
        if what in ("deliver", "double"):
            source, to, body = self.in_flight[which]
            if what == "deliver":
                del self.in_flight[which]
            else:
                self.doubled = True
            self.replicas[to].receive(self.now, source, _read(body))
        elif what == "lose":
            del self.in_flight[which]
        elif what == "tick":
            self.ticks -= 1
            replica = self.replicas[which]
            self.now = max(self.now, replica.next_at())
            replica.tick(self.now)
        else:
            self.next_publication += 1
            if what == "publish":
                self._publish(PUBLICATIONS[which])
        self.collect()

    def _publish(self, wanted: Publication) -> None:
        replica = self.replicas[wanted.name]
        try:
            version = replica.publish(self.now, wanted.epoch, dict(wanted.entries))
        except FencedError:
            return
        if version is not None:
            assert version not in self.published, f"{shown(version)} is published twice"
            self.published[version] = dict(wanted.entries)

    def check(self, before: dict[str, Version]) -> None:
        """The invariants. Raises ``AssertionError``."""
        for name, replica in self.replicas.items():
            table = replica.table
            assert table.version >= before[name], f"{name} goes back to {shown(table.version)}"
            assert table.version in self.published, f"{name} holds {shown(table.version)}, which nobody published"
            wanted = self.published[table.version]
            assert dict(table.entries) == wanted, f"{name} holds other entries of {shown(table.version)}"

    def versions(self) -> dict[str, Version]:
        """By gateway."""
        return {name: replica.table.version for name, replica in self.replicas.items()}

    def heal(self) -> None:
        """Nothing is lost any more: all come to hold the newest version. Raises ``AssertionError``."""
        for _ in range(HEAL_ROUNDS):
            for name in NAMES:
                replica = self.replicas[name]
                self.now = max(self.now, replica.next_at())
                replica.tick(self.now)
            self.collect()
            while self.in_flight:
                source, to, body = self.in_flight.pop(0)
                self.replicas[to].receive(self.now, source, _read(body))
                self.collect()
        found = set(self.versions().values())
        assert found == {max(found)}, f"versions stay apart: {sorted(map(shown, found))}"


def _read(body: bytes) -> Message:
    return decode(body)


def _frozen(replica: Replica, now: int) -> Any:
    """A replica's state without its clock's absolute values."""
    fetching, pushed = replica._fetching, replica._pushed
    return (
        replica.table.version,
        replica.table.digest,
        len(replica._history),
        replica._documents.keys(),
        replica._rounds,
        replica._news,
        None
        if fetching is None
        else (
            fetching.version,
            fetching.source,
            fetching.tries,
            fetching.asked_to,
            fetching.whole,
            fetching.sources,
            None if fetching.assembly is None else (fetching.assembly.key, fetching.assembly.received),
        ),
        None if pushed is None else (pushed.key, pushed.received),
        replica.next_at() > now,
    )


def first_world(ticks: int) -> World:
    """All gateways, with nothing but the list of names."""
    replicas = {name: Replica(name, FirstChoice(), OPTIONS) for name in NAMES}  # type: ignore[arg-type]
    for replica in replicas.values():
        replica.peers(NAMES, dict.fromkeys(NAMES, ""))
    return World(replicas, ticks)


@dataclass(slots=True)
class Result:
    """What a search found."""

    states: int
    healed: int
    fault: str = ""
    steps: tuple[tuple[str, Any], ...] = ()


def search(most: int, ticks: int = 3) -> Result:
    """At most so many states: the oldest and the newest that wait by turns, so that many and long orders are met."""
    start = first_world(ticks)
    seen = {start.key()}
    waiting: deque[tuple[bytes, tuple[tuple[str, Any], ...]]] = deque([(pickle.dumps(start), ())])
    healed = 0
    while waiting:
        packed, steps = waiting.popleft() if len(seen) % 2 else waiting.pop()
        events = list(pickle.loads(packed).events())
        if healed < most // HEALED and (not events or len(seen) >= most):
            world = pickle.loads(packed)
            try:
                world.heal()
            except AssertionError as problem:
                return Result(len(seen), healed, str(problem), steps)
            healed += 1
        for event in events if len(seen) < most else ():
            world = pickle.loads(packed)
            before = world.versions()
            try:
                world.happen(*event)
                world.check(before)
            except AssertionError as problem:
                return Result(len(seen), healed, str(problem), (*steps, event))
            if (key := world.key()) not in seen:
                seen.add(key)
                waiting.append((pickle.dumps(world), (*steps, event)))
    return Result(len(seen), healed)


def main() -> int:
    """Search and say what was found; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deep", action="store_true")
    found = search(DEEP if parser.parse_args().deep else IN_CI)
    print(f"{found.states} states, {found.healed} healed")
    if found.fault:
        print(f"BROKEN: {found.fault}", *map(str, found.steps), sep="\n  ")
    return 1 if found.fault else 0


if __name__ == "__main__":
    sys.exit(main())
