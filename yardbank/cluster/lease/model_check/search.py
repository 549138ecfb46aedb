"""Breadth-first search through all possible states, random walks, and counterexamples in files."""

from __future__ import annotations

import gc
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from yardbank.cluster.lease.model_check.world import Action, Scenario, World


class SearchResult(NamedTuple):
    """The result of a search. ``whole``: all states within the scenario's budgets were visited, before the depth limit.

    ``trace``: the actions that lead to the violation ``wrong``, if one was found.
    """

    states: int
    steps: int
    depth: int
    whole: bool
    seconds: float
    trace: tuple[Action, ...] | None
    wrong: str


class Counterexample(msgspec.Struct, frozen=True):
    """Stored counterexample: with the bug injected, its actions lead to the violation ``wrong``, without it to none."""

    bug: str
    wrong: str
    scene: Scenario
    actions: tuple[tuple[str | int, ...], ...]


def explore(scenario: Scenario, depth: int, most: int = 10_000_000) -> SearchResult:
    """Visit all states that at most ``depth`` actions lead to, up to ``most`` states."""
    gc.disable()  # saves time: there are many objects and no reference cycles
    try:
        return _explore(scenario, depth, most)
    finally:
        gc.enable()


def _explore(scenario: Scenario, depth: int, most: int) -> SearchResult:
    started_at = time.monotonic()
    first = World(scenario)
    seen = {first.key()}
    parents: list[tuple[int, Action]] = [(-1, ())]
    layer = [(0, first)]
    steps = 0
    for level in range(1, depth + 1):
        following = []
        for number, world in layer:
            for action in world.actions():
                following_world = world.after(action)
                steps += 1
                if following_world is None:
                    continue
                if following_world.wrong:
                    trace = (*_trace(parents, number), action)
                    return SearchResult(
                        len(seen), steps, level, False, time.monotonic() - started_at, trace, following_world.wrong
                    )
                if (key := following_world.key()) in seen:
                    continue
                seen.add(key)
                parents.append((number, action))
                following.append((len(parents) - 1, following_world))
                if len(seen) >= most:
                    return SearchResult(len(seen), steps, level, False, time.monotonic() - started_at, None, "")
        layer = following
        if not layer:
            return SearchResult(len(seen), steps, level, True, time.monotonic() - started_at, None, "")
    return SearchResult(len(seen), steps, depth, False, time.monotonic() - started_at, None, "")


def _trace(parents: list[tuple[int, Action]], number: int) -> tuple[Action, ...]:
    found: list[Action] = []
    while number > 0:
        number, action = parents[number]
        found.append(action)
    return tuple(reversed(found))


ACTION_WEIGHTS = {
    "deliver": 8.0,
    "tick": 4.0,
    "want": 4.0,
    "wake": 1.0,
    "double": 0.5,
    "pass": 3.0,
    "hand": 0.5,
    "stall": 0.2,
    "list": 0.1,
    "restart": 0.05,
    "forget": 0.05,
    "release": 0.05,
}


def walk(scenario: Scenario, seed: int, length: int) -> tuple[World, list[Action], int]:
    """One random walk regardless of budgets, up to a violation. Returns the last state, the actions, the leases won."""
    budgets = {
        kind: length
        for kind in ACTION_WEIGHTS
        if kind in scenario.budgets or kind in ("pass", "tick", "double", "release")
    }
    scenario = msgspec.structs.replace(scenario, budgets=budgets, letters=10)
    random, world, trace, leases_won = Random(seed), World(scenario), list[Action](), 0
    for _ in range(length):
        actions = list(world.actions())
        action = random.choices(actions, [ACTION_WEIGHTS[candidate[0]] for candidate in actions])[0]
        if (following_world := world.after(action)) is not None:
            leases_won += following_world.highest > world.highest
            world = following_world
            trace.append(action)
            if world.wrong:
                break
    return world, trace, leases_won


def replay(example: Counterexample) -> str:
    """The violation when the actions are replayed; "": none. Actions that are not possible are skipped."""
    world = World(example.scene)
    for action in example.actions:
        world = world.after(tuple(action)) or world
        if world.wrong:
            return world.wrong
    return ""


def minimize(example: Counterexample) -> Counterexample:
    """Remove all actions that the violation does not need."""
    index = 0
    while index < len(example.actions):
        actions = example.actions[:index] + example.actions[index + 1 :]
        if wrong := replay(shorter := msgspec.structs.replace(example, actions=actions)):
            example = msgspec.structs.replace(shorter, wrong=wrong)
        else:
            index += 1
    return example


def read(path: Path) -> Counterexample:
    """Read a counterexample from its file."""
    return msgspec.json.decode(path.read_bytes(), type=Counterexample)


def write(path: Path, example: Counterexample) -> None:
    """Write a counterexample to a file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(example)) + b"\n")
