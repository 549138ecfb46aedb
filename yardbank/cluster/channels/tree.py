"""The tree over a channel's followers along which its items go; all gateways compute the same one. No I/O.

Followers stand in an order by hash; the owner feeds the first ``fan_out`` of them, each feeds as many of those behind.
The order does not depend on who owns the channel, so a new owner finds the tree standing; and who is fed always stands
behind who feeds it, so that views that differ make no node. There are few orders, shared by all channels: what two
gateways have to tell each other of many channels goes in one datagram, and each is an inner one in some of them.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import xxhash

TREES = 8


def tree_of(channel: str) -> int:
    """Which of the orders a channel goes by."""
    return xxhash.xxh3_64_intdigest(channel.encode()) % TREES


def rank(tree: int, name: str) -> int:
    """By what a follower has its place in one of the trees."""
    return xxhash.xxh3_64_intdigest(f"{tree}/{name}".encode())


def order(tree: int, names: Collection[str], ranks: dict[tuple[int, str], int] | None = None) -> list[str]:
    """Followers as one of the trees has them. ``ranks``: those that were worked out before; more are put there."""
    known = {} if ranks is None else ranks
    for name in names:
        if (tree, name) not in known:
            known[tree, name] = rank(tree, name)
    return sorted(names, key=lambda name: (known[tree, name], name))


def ancestors(names: Sequence[str], place: int, fan_out: int, owner: str) -> list[str]:
    """The ancestors of the follower at a place: its own parent first, then those above it up to the owner.

    "" as owner: nobody knows. The list may be empty.
    """
    found = []
    at = place
    while at >= fan_out:
        at = at // fan_out - 1
        found.append(names[at])
    if owner and owner not in found:
        found.append(owner)
    return [name for name in found if name != names[place]]


def roots(names: Sequence[str], fan_out: int, owner: str) -> list[str]:
    """Whom the owner feeds itself, whether they subscribed or not."""
    return [name for name in names[:fan_out] if name != owner]


def depth(gateways: int, fan_out: int) -> int:
    """Steps from the owner to the last follower."""
    steps, reached, layer = 0, 0, 1
    while reached < gateways:
        layer *= fan_out
        reached += layer
        steps += 1
    return steps
