"""Times that follow from the terms, nanoseconds of one's own clock, each rounded to the safe side."""

from __future__ import annotations

import math

from yardbank.cluster.lease.api import LeaseTerms


def long_lease(terms: LeaseTerms) -> int:
    """After so long by any clock every grant that was given before it began is over by every clock."""
    return math.ceil(terms.term * (1 + terms.drift) / (1 - terms.drift))


def short_overlap(terms: LeaseTerms) -> int:
    """So long by any clock is no longer than the overlap by any other."""
    return int(terms.overlap * (1 - terms.drift) / (1 + terms.drift))


def vote_time(terms: LeaseTerms) -> int:
    """How long a vote may take before the candidate gives it up."""
    return max(3, terms.term // 10)
