"""Versions of the distributed list, and digests that follow from its entries alone.

The digest of a list is the sum of its entries' hashes modulo 2^128 (an additive set hash), so that the digest after a
change costs what the change costs. It finds errors and mixed-up versions; against forgery datagrams are keyed.
Source: Bellare, Micciancio, "A new paradigm for collision-free hashing" (Eurocrypt 1997).
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

DIGEST_OCTETS = 16
MODULUS = 1 << (8 * DIGEST_OCTETS)


class Version(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One state of the list. A higher epoch comes after all versions of a lower one."""

    epoch: int  # the publisher's fencing token: the epoch of its lease
    number: int  # rises by one with each publication, over all epochs


NOTHING = Version(0, 0)  # the version of an empty list that nobody has published
EMPTY_DIGEST = bytes(DIGEST_OCTETS)


def entry_hash(key: str, value: str) -> int:
    """The hash of one entry, as a summand of the digest."""
    name = key.encode()
    head = len(name).to_bytes(4, "big")
    return int.from_bytes(blake2b(head + name + value.encode(), digest_size=DIGEST_OCTETS).digest(), "big")


def digest_octets(total: int) -> bytes:
    """A sum of entries' hashes as it is sent and shown."""
    return (total % MODULUS).to_bytes(DIGEST_OCTETS, "big")
