"""Model checker: explores the orders of events in a small fleet, running the real code.

Run as ``python -m yardbank.cluster.list_distribution.model_check [--deep]``.

Three gateways, two successive publishers, the second of which may not have heard of the first. Messages are delivered
in any order, lost or delivered twice; clocks advance when the search decides. After each step the invariants of
``replica`` are checked. From states without further events, all gateways must converge to the newest version once no
messages are lost. A state that violates an invariant is printed with the steps that lead to it.
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
from yardbank.cluster.list_distribution.table import format_version
from yardbank.cluster.list_distribution.version import NOTHING, Version

NAMES = ("a", "b", "c")
OPTIONS = Options(rounds=1, fan_out=2, tries=3)
CI_STATES, DEEP_STATES = 4_000, 400_000  # states to explore
STATES_PER_CONVERGENCE_CHECK = 40  # one in this many states is checked for convergence
MAX_IN_FLIGHT = 5
CONVERGENCE_ROUNDS = 60


class FixedChoice:
    """Replaces the random source by fixed choices, so that each event leads from a state to exactly one other."""

    def sample(self, population: Sequence[str], count: int) -> list[str]:
        """The first ``count`` elements."""
        return list(population[:count])

    def randrange(self, stop: int) -> int:
        """The first index."""
        return 0

    def random(self) -> float:
        """A fixed value above one half."""
        return 0.9


@dataclass(frozen=True)
class Publication:
    """Entries that one gateway may publish under an epoch."""

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
    """One state of the fleet."""

    replicas: dict[str, Replica]
    ticks: int
    now: int = 1
    in_flight: list[tuple[str, str, bytes]] = field(default_factory=list)  # from, to, message
    published: dict[Version, dict[str, str]] = field(default_factory=lambda: {NOTHING: {}})
    next_publication: int = 0
    duplicated: bool = False

    def key(self) -> bytes:
        """Identity of the state: equal keys mean equal states."""
        replicas = [_state_of(self.replicas[name], self.now) for name in NAMES]
        return pickle.dumps((replicas, sorted(self.in_flight), self.next_publication, self.ticks, self.duplicated))

    def collect_messages(self) -> None:
        """Put the messages of all replicas in flight; those beyond the bound are lost."""
        for name, replica in self.replicas.items():
            for out in replica.outgoing():
                message = (name, out.to, encode(out.message))
                if message not in self.in_flight and len(self.in_flight) < MAX_IN_FLIGHT:
                    self.in_flight.append(message)
            replica.adoptions()

    def events(self) -> Iterator[tuple[str, Any]]:
        """All events that are possible next."""
        for index in range(len(self.in_flight)):
            yield "deliver", index
            yield "lose", index
            if not self.duplicated:
                yield "double", index
        if self.next_publication < len(PUBLICATIONS):
            yield "publish", self.next_publication
            yield "skip", self.next_publication
        if self.ticks:
            for name in NAMES:
                yield "tick", name

    def execute(self, kind: str, argument: Any) -> None:
        """Execute one event."""
        if kind in ("deliver", "double"):
            source, to, body = self.in_flight[argument]
            if kind == "deliver":
                del self.in_flight[argument]
            else:
                self.duplicated = True
            self.replicas[to].receive(self.now, source, _decode_message(body))
        elif kind == "lose":
            del self.in_flight[argument]
        elif kind == "tick":
            self.ticks -= 1
            replica = self.replicas[argument]
            self.now = max(self.now, replica.next_at())
            replica.tick(self.now)
        else:
            self.next_publication += 1
            if kind == "publish":
                self._publish(PUBLICATIONS[argument])
        self.collect_messages()

    def _publish(self, publication: Publication) -> None:
        replica = self.replicas[publication.name]
        try:
            version = replica.publish(self.now, publication.epoch, dict(publication.entries))
        except FencedError:
            return
        if version is not None:
            assert version not in self.published, f"{format_version(version)} is published twice"
            self.published[version] = dict(publication.entries)

    def check(self, before: dict[str, Version]) -> None:
        """Check the invariants. Raises ``AssertionError``."""
        for name, replica in self.replicas.items():
            table = replica.table
            assert table.version >= before[name], f"{name} goes back to {format_version(table.version)}"
            assert table.version in self.published, (
                f"{name} holds {format_version(table.version)}, which nobody published"
            )
            entries = self.published[table.version]
            assert dict(table.entries) == entries, f"{name} holds other entries of {format_version(table.version)}"

    def versions(self) -> dict[str, Version]:
        """Version by gateway."""
        return {name: replica.table.version for name, replica in self.replicas.items()}

    def converge(self) -> None:
        """Deliver all messages until all gateways hold the newest version. Raises ``AssertionError`` if they do not."""
        for _ in range(CONVERGENCE_ROUNDS):
            for name in NAMES:
                replica = self.replicas[name]
                self.now = max(self.now, replica.next_at())
                replica.tick(self.now)
            self.collect_messages()
            while self.in_flight:
                source, to, body = self.in_flight.pop(0)
                self.replicas[to].receive(self.now, source, _decode_message(body))
                self.collect_messages()
        versions = set(self.versions().values())
        assert versions == {max(versions)}, f"versions do not converge: {sorted(map(format_version, versions))}"


def _decode_message(body: bytes) -> Message:
    return decode(body)


def _state_of(replica: Replica, now: int) -> Any:
    """The state of a replica without absolute times."""
    fetching, pushed = replica._fetching, replica._push_assembly
    return (
        replica.table.version,
        replica.table.digest,
        len(replica._history),
        replica._documents.keys(),
        replica._rounds_left,
        replica._announced_pieces,
        None
        if fetching is None
        else (
            fetching.version,
            fetching.source,
            fetching.retries,
            fetching.requested_end,
            fetching.wants_snapshot,
            fetching.sources,
            None if fetching.assembly is None else (fetching.assembly.key, fetching.assembly.received_count),
        ),
        None if pushed is None else (pushed.key, pushed.received_count),
        replica.next_at() > now,
    )


def initial_world(ticks: int) -> World:
    """The initial state: all gateways know the names, and all lists are empty."""
    replicas = {name: Replica(name, FixedChoice(), OPTIONS) for name in NAMES}  # type: ignore[arg-type]
    for replica in replicas.values():
        replica.peers(NAMES, dict.fromkeys(NAMES, ""))
    return World(replicas, ticks)


@dataclass(slots=True)
class Result:
    """Result of a search."""

    states: int
    converged: int
    fault: str = ""
    steps: tuple[tuple[str, Any], ...] = ()


def search(max_states: int, ticks: int = 3) -> Result:
    """Explore up to ``max_states`` states, alternating between the oldest and the newest unexplored ones.

    This covers many orders of events and also long ones.
    """
    start = initial_world(ticks)
    seen = {start.key()}
    unexplored: deque[tuple[bytes, tuple[tuple[str, Any], ...]]] = deque([(pickle.dumps(start), ())])
    converged = 0
    while unexplored:
        packed, steps = unexplored.popleft() if len(seen) % 2 else unexplored.pop()
        events = list(pickle.loads(packed).events())
        if converged < max_states // STATES_PER_CONVERGENCE_CHECK and (not events or len(seen) >= max_states):
            world = pickle.loads(packed)
            try:
                world.converge()
            except AssertionError as error:
                return Result(len(seen), converged, str(error), steps)
            converged += 1
        for event in events if len(seen) < max_states else ():
            world = pickle.loads(packed)
            before = world.versions()
            try:
                world.execute(*event)
                world.check(before)
            except AssertionError as error:
                return Result(len(seen), converged, str(error), (*steps, event))
            if (key := world.key()) not in seen:
                seen.add(key)
                unexplored.append((pickle.dumps(world), (*steps, event)))
    return Result(len(seen), converged)


def main() -> int:
    """Run the search and print its result. Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deep", action="store_true")
    result = search(DEEP_STATES if parser.parse_args().deep else CI_STATES)
    print(f"{result.states} states, {result.converged} converged")
    if result.fault:
        print(f"INVARIANT VIOLATED: {result.fault}", *map(str, result.steps), sep="\n  ")
    return 1 if result.fault else 0


if __name__ == "__main__":
    sys.exit(main())
