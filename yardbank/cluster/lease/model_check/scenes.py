"""What is looked at: small fleets, each with the things that may happen in it."""

from __future__ import annotations

from yardbank.cluster.lease.model_check.world import SECOND, Scene

ONE = {"a": "", "b": "", "c": ""}
# a holds by itself and c; b knows nothing
HELD = (("want", "a"), ("deliver", "a", "c", "Ask", 0), ("deliver", "c", "a", "Answer", 0))


def _settled(steps: int) -> tuple[tuple[str | int, ...], ...]:
    """It has held and renewed for so long that it may hand on; a third of a term is so many steps."""
    renewed = (("pass", steps), ("tick", "a"), ("deliver", "a", "c", "Ask", 0), ("deliver", "c", "a", "Answer", 0))
    return (*HELD, *renewed, *renewed)


def _handed(steps: int) -> tuple[tuple[str | int, ...], ...]:
    """And now hands on to b, and both know it."""
    return (*_settled(steps), ("hand", "a", "b"), ("deliver", "a", "c", "NextIs", 0), ("deliver", "a", "b", "Offer", 0))


# In the old list a, d, e vote on the resource; in the new one b, c, d.
OLD = dict.fromkeys("abcde", "")
NEW = {"a": "x", "b": "y", "c": "z", "d": "x", "e": "x"}
OLD_HELD = (("want", "a"), ("deliver", "a", "e", "Ask", 0), ("deliver", "e", "a", "Answer", 0))
LEFT = (*OLD_HELD, ("list", "b"), ("list", "c"), ("list", "d"), ("list", "e"))
THIRD = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "z"}
SMALL = {"a": "", "b": "", "c": "", "d": ""}
ALL = {"pass": 1, "tick": 1, "double": 1, "restart": 1, "stall": 1, "hand": 1}
FINE = 5 * SECOND // 4
SCENES: dict[str, Scene] = {
    one.name: one
    for one in (
        Scene("begin", ("a",), (ONE,), ("a", "b"), {"pass": 3, "tick": 2, "double": 1}),
        Scene("held", ("a",), (ONE,), ("a", "b"), {"pass": 4, "tick": 3, "double": 1}, prefix=HELD),
        Scene("fast", ("b", "c"), (ONE,), ("a", "b"), {"pass": 4, "tick": 3}, prefix=HELD),
        Scene("stop", ("a",), (ONE,), ("a", "b"), {"pass": 4, "tick": 2, "stall": 1}, prefix=HELD),
        Scene("crash", ("a",), (ONE,), ("a", "b"), {"pass": 3, "tick": 1, "restart": 1, "forget": 1}, prefix=HELD),
        Scene("hand", ("a",), (ONE,), ("a", "b"), {"pass": 3, "tick": 3, "hand": 1}, step=2 * FINE, prefix=_settled(2)),
        Scene("handed", ("a",), (ONE,), ("a", "b"), {"pass": 6, "tick": 3, "double": 1}, step=FINE, prefix=_handed(4)),
        Scene(
            "hand-crash",
            ("a",),
            (ONE,),
            ("a", "b"),
            {"pass": 4, "tick": 2, "forget": 1, "stall": 1},
            step=2 * FINE,
            depth=5,
            prefix=_handed(2),
        ),
        Scene("over", ("a",), (ONE,), ("a", "b"), {"pass": 4, "tick": 1}, step=2 * FINE, depth=7, prefix=_handed(2)),
        Scene("lists", ("a",), (OLD, NEW), ("a", "b"), {"pass": 3, "tick": 1, "list": 4}, depth=5, prefix=OLD_HELD),
        Scene(
            "left", ("a",), (OLD, NEW), ("a", "b"), {"pass": 5, "tick": 2, "list": 1}, hellos=True, depth=5, prefix=LEFT
        ),
        Scene("back", ("a",), (OLD, NEW, OLD), ("a", "b"), {"pass": 3, "tick": 1, "list": 4}, depth=5, prefix=LEFT),
        # For walks: all that may happen together. Memory of lists is not lost where lists change: see the design note.
        Scene("all", ("a", "c"), (ONE,), ("a", "b", "c"), ALL | {"forget": 1}, step=FINE, depth=3),
        Scene(
            "all-lists",
            ("a", "c"),
            (OLD, NEW, OLD, THIRD, NEW, SMALL, OLD, NEW),
            ("a", "b", "e"),
            ALL | {"list": 1},
            step=FINE,
            hellos=True,
            depth=2,
        ),
    )
}
# Where each of the faults is found soonest.
FINDS = {"drift": "held", "forgets": "crash", "wakes": "held", "epoch": "held", "one-set": "lists", "uncapped": "over"}
