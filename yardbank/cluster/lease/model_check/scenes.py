"""The scenarios to explore: small fleets, each with the actions that may happen in it."""

from __future__ import annotations

from yardbank.cluster.lease.model_check.world import SECOND, Scenario

LIST = {"a": "", "b": "", "c": ""}
# a holds the lease with the votes of a and c; b has not been asked.
A_HOLDS = (("want", "a"), ("deliver", "a", "c", "Ask", 0), ("deliver", "c", "a", "Answer", 0))


def _settled(steps: int) -> tuple[tuple[str | int, ...], ...]:
    """The actions after which a may transfer the lease; ``steps``: time steps in a third of a term."""
    renewed = (("pass", steps), ("tick", "a"), ("deliver", "a", "c", "Ask", 0), ("deliver", "c", "a", "Answer", 0))
    return (*A_HOLDS, *renewed, *renewed)


def _transferring(steps: int) -> tuple[tuple[str | int, ...], ...]:
    """The same, and a transfers the lease to b; the voter c and b were notified."""
    return (*_settled(steps), ("hand", "a", "b"), ("deliver", "a", "c", "NextIs", 0), ("deliver", "a", "b", "Offer", 0))


# Under the old list a, d, e vote on the resource; under the new one b, c, d.
OLD_LIST = dict.fromkeys("abcde", "")
NEW_LIST = {"a": "x", "b": "y", "c": "z", "d": "x", "e": "x"}
A_HOLDS_OLD = (("want", "a"), ("deliver", "a", "e", "Ask", 0), ("deliver", "e", "a", "Answer", 0))
OTHERS_MOVED = (*A_HOLDS_OLD, ("list", "b"), ("list", "c"), ("list", "d"), ("list", "e"))
THIRD_LIST = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "z"}
SMALL_LIST = {"a": "", "b": "", "c": "", "d": ""}
ALL_ACTIONS = {"pass": 1, "tick": 1, "double": 1, "restart": 1, "stall": 1, "hand": 1}
FINE_STEP = 5 * SECOND // 4
SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("begin", ("a",), (LIST,), ("a", "b"), {"pass": 3, "tick": 2, "double": 1}),
        Scenario("held", ("a",), (LIST,), ("a", "b"), {"pass": 4, "tick": 3, "double": 1}, prefix=A_HOLDS),
        Scenario("fast", ("b", "c"), (LIST,), ("a", "b"), {"pass": 4, "tick": 3}, prefix=A_HOLDS),
        Scenario("stop", ("a",), (LIST,), ("a", "b"), {"pass": 4, "tick": 2, "stall": 1}, prefix=A_HOLDS),
        Scenario(
            "crash", ("a",), (LIST,), ("a", "b"), {"pass": 3, "tick": 1, "restart": 1, "forget": 1}, prefix=A_HOLDS
        ),
        Scenario(
            "hand",
            ("a",),
            (LIST,),
            ("a", "b"),
            {"pass": 3, "tick": 3, "hand": 1},
            step=2 * FINE_STEP,
            prefix=_settled(2),
        ),
        Scenario(
            "handed",
            ("a",),
            (LIST,),
            ("a", "b"),
            {"pass": 6, "tick": 3, "double": 1},
            step=FINE_STEP,
            prefix=_transferring(4),
        ),
        Scenario(
            "hand-crash",
            ("a",),
            (LIST,),
            ("a", "b"),
            {"pass": 4, "tick": 2, "forget": 1, "stall": 1},
            step=2 * FINE_STEP,
            depth=5,
            prefix=_transferring(2),
        ),
        Scenario(
            "over",
            ("a",),
            (LIST,),
            ("a", "b"),
            {"pass": 4, "tick": 1},
            step=2 * FINE_STEP,
            depth=7,
            prefix=_transferring(2),
        ),
        Scenario(
            "lists",
            ("a",),
            (OLD_LIST, NEW_LIST),
            ("a", "b"),
            {"pass": 3, "tick": 1, "list": 4},
            depth=5,
            prefix=A_HOLDS_OLD,
        ),
        Scenario(
            "left",
            ("a",),
            (OLD_LIST, NEW_LIST),
            ("a", "b"),
            {"pass": 5, "tick": 2, "list": 1},
            hellos=True,
            depth=5,
            prefix=OTHERS_MOVED,
        ),
        Scenario(
            "back",
            ("a",),
            (OLD_LIST, NEW_LIST, OLD_LIST),
            ("a", "b"),
            {"pass": 3, "tick": 1, "list": 4},
            depth=5,
            prefix=OTHERS_MOVED,
        ),
        # For random walks: all actions combined. Stores are not lost where lists change, since safety depends on each
        # gateway remembering the lists that it went through (see ``electorate``).
        Scenario("all", ("a", "c"), (LIST,), ("a", "b", "c"), ALL_ACTIONS | {"forget": 1}, step=FINE_STEP, depth=3),
        Scenario(
            "all-lists",
            ("a", "c"),
            (OLD_LIST, NEW_LIST, OLD_LIST, THIRD_LIST, NEW_LIST, SMALL_LIST, OLD_LIST, NEW_LIST),
            ("a", "b", "e"),
            ALL_ACTIONS | {"list": 1},
            step=FINE_STEP,
            hellos=True,
            depth=2,
        ),
    )
}
# The scenario in which each bug is found soonest.
SCENARIO_FOR_BUG = {
    "drift": "held",
    "forgets": "crash",
    "wakes": "held",
    "epoch": "held",
    "one-set": "lists",
    "uncapped": "over",
}
