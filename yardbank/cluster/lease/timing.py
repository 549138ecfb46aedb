"""Durations derived from the lease terms, in nanoseconds of the local clock, each rounded to the safe side."""

from __future__ import annotations

import math

from yardbank.cluster.lease.api import LeaseTerms


def max_lease_duration(terms: LeaseTerms) -> int:
    """A duration after which, by any clock, every grant given before has expired by every clock."""
    return math.ceil(terms.term * (1 + terms.drift) / (1 - terms.drift))


def min_overlap_duration(terms: LeaseTerms) -> int:
    """A duration that, by any clock, is no longer than the overlap by any other clock."""
    return int(terms.overlap * (1 - terms.drift) / (1 + terms.drift))


def vote_time(terms: LeaseTerms) -> int:
    """How long a vote may take before the candidate gives up."""
    return max(3, terms.term // 10)
