"""Breadth first through all that may happen, each state once; then walks by chance. Counterexamples as files."""

from __future__ import annotations

import gc
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from yardbank.cluster.lease.model_check.world import Action, Scene, World


class Found(NamedTuple):
    """What a search saw. ``whole``: every state within the scene's budgets, whatever the depth."""

    states: int
    steps: int
    depth: int
    whole: bool
    seconds: float
    trace: tuple[Action, ...] | None
    wrong: str


class Example(msgspec.Struct, frozen=True):
    """A counterexample: with the bug it ends in what is wrong, without it does not."""

    bug: str
    wrong: str
    scene: Scene
    actions: tuple[tuple[str | int, ...], ...]


def explore(scene: Scene, depth: int, most: int = 10_000_000) -> Found:
    """All states that so many things that happen can lead to; at most ``most`` of them."""
    gc.disable()  # nothing here goes round in circles, and there is much of it
    try:
        return _explore(scene, depth, most)
    finally:
        gc.enable()


def _explore(scene: Scene, depth: int, most: int) -> Found:
    began = time.monotonic()
    first = World(scene)
    seen = {first.key()}
    parents: list[tuple[int, Action]] = [(-1, ())]
    layer = [(0, first)]
    steps = 0
    for level in range(1, depth + 1):
        following = []
        for number, world in layer:
            for action in world.actions():
                made = world.after(action)
                steps += 1
                if made is None:
                    continue
                if made.wrong:
                    trace = (*_trace(parents, number), action)
                    return Found(len(seen), steps, level, False, time.monotonic() - began, trace, made.wrong)
                if (key := made.key()) in seen:
                    continue
                seen.add(key)
                parents.append((number, action))
                following.append((len(parents) - 1, made))
                if len(seen) >= most:
                    return Found(len(seen), steps, level, False, time.monotonic() - began, None, "")
        layer = following
        if not layer:
            return Found(len(seen), steps, level, True, time.monotonic() - began, None, "")
    return Found(len(seen), steps, depth, False, time.monotonic() - began, None, "")


def _trace(parents: list[tuple[int, Action]], number: int) -> tuple[Action, ...]:
    found: list[Action] = []
    while number > 0:
        number, action = parents[number]
        found.append(action)
    return tuple(reversed(found))


LIKELY = {
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


def walk(scene: Scene, seed: int, length: int) -> tuple[World, list[Action], int]:
    """One long way through by chance, whatever the budgets; it ends where something is wrong. With the ownerships."""
    often = {one: length for one in LIKELY if one in scene.budgets or one in ("pass", "tick", "double", "release")}
    scene = msgspec.structs.replace(scene, budgets=often, letters=10)
    random, world, trace, owned = Random(seed), World(scene), list[Action](), 0
    for _ in range(length):
        actions = list(world.actions())
        action = random.choices(actions, [LIKELY[one[0]] for one in actions])[0]
        if (made := world.after(action)) is not None:
            owned += made.highest > world.highest
            world = made
            trace.append(action)
            if world.wrong:
                break
    return world, trace, owned


def replay(example: Example) -> str:
    """What goes wrong when it is done again; "": nothing. What cannot happen is left out."""
    world = World(example.scene)
    for action in example.actions:
        world = world.after(tuple(action)) or world
        if world.wrong:
            return world.wrong
    return ""


def shrunk(example: Example) -> Example:
    """Without all that it does not need."""
    at = 0
    while at < len(example.actions):
        actions = example.actions[:at] + example.actions[at + 1 :]
        if wrong := replay(shorter := msgspec.structs.replace(example, actions=actions)):
            example = msgspec.structs.replace(shorter, wrong=wrong)
        else:
            at += 1
    return example


def read(path: Path) -> Example:
    """A counterexample from its file."""
    return msgspec.json.decode(path.read_bytes(), type=Example)


def write(path: Path, example: Example) -> None:
    """A counterexample to a file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(example)) + b"\n")
