"""Versions of the distributed list, and digests that depend only on its entries.

The digest of a list is the sum of the hashes of its entries modulo 2^128 (an additive set hash), so that updating it
costs only as much as the change. It detects errors and mixed-up versions; authenticated datagrams protect against
forgery. Source: Bellare, Micciancio, "A new paradigm for collision-free hashing" (Eurocrypt 1997).
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

DIGEST_OCTETS = 16
MODULUS = 1 << (8 * DIGEST_OCTETS)


class Version(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Version of the list. Versions of a higher epoch follow all versions of a lower one."""

    epoch: int  # the publisher's fencing token: the epoch of its lease
    number: int  # increases by one with each publication, across epochs


NOTHING = Version(0, 0)  # the version of the initial, empty list
EMPTY_DIGEST = bytes(DIGEST_OCTETS)


def entry_hash(key: str, value: str) -> int:
    """The hash of one entry, which is added to the digest."""
    encoded_key = key.encode()
    length_prefix = len(encoded_key).to_bytes(4, "big")
    return int.from_bytes(
        blake2b(length_prefix + encoded_key + value.encode(), digest_size=DIGEST_OCTETS).digest(), "big"
    )


def digest_octets(total: int) -> bytes:
    """The digest, as sent and displayed, of a sum of entry hashes."""
    return (total % MODULUS).to_bytes(DIGEST_OCTETS, "big")
