"""The tree over a channel's followers along which items are forwarded; all gateways compute the same one. No I/O.

Followers are ordered by hash; the owner sends to the first ``fan_out`` of them, and each of these to as many later
ones. The order does not depend on the owner, so the tree stays the same when the owner changes. A child always comes
after its parent in the order, so differing views cannot form a cycle. There are only ``TREE_COUNT`` orders, shared by
all channels: what two gateways have to tell each other about many channels fits in one datagram, and each gateway is an
inner node in some of the trees.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import xxhash

TREE_COUNT = 8


def tree_of(channel: str) -> int:
    """The order that a channel uses."""
    return xxhash.xxh3_64_intdigest(channel.encode()) % TREE_COUNT


def rank(tree: int, name: str) -> int:
    """The hash by which a follower is ordered in a tree."""
    return xxhash.xxh3_64_intdigest(f"{tree}/{name}".encode())


def order(tree: int, names: Collection[str], ranks: dict[tuple[int, str], int] | None = None) -> list[str]:
    """Followers in the order of a tree. ``ranks``: a cache of ranks, which is extended."""
    known = {} if ranks is None else ranks
    for name in names:
        if (tree, name) not in known:
            known[tree, name] = rank(tree, name)
    return sorted(names, key=lambda name: (known[tree, name], name))


def ancestors(names: Sequence[str], index: int, fan_out: int, owner: str) -> list[str]:
    """The ancestors of the follower at an index: its parent first, then those above it up to the owner.

    ``owner`` is "" if unknown. The list may be empty.
    """
    found = []
    ancestor = index
    while ancestor >= fan_out:
        ancestor = ancestor // fan_out - 1
        found.append(names[ancestor])
    if owner and owner not in found:
        found.append(owner)
    return [name for name in found if name != names[index]]


def roots(names: Sequence[str], fan_out: int, owner: str) -> list[str]:
    """Followers to which the owner sends directly, whether or not they subscribed."""
    return [name for name in names[:fan_out] if name != owner]


def depth(gateways: int, fan_out: int) -> int:
    """Number of hops from the owner to the last follower."""
    steps, reached, layer = 0, 0, 1
    while reached < gateways:
        layer *= fan_out
        reached += layer
        steps += 1
    return steps
