"""Exclusive leases granted by a majority of a few voters, with epochs as fencing tokens. No I/O.

Safety rests on the voters' promises and on bounded clock drift, never on which gateways are believed to be alive. A
voter keeps no promises on disk: after a start it grants nothing until all of its earlier promises have expired.
"""

from yardbank.cluster.lease.api import LeaseEvent, Leases, LeaseTerms

__all__ = ["LeaseEvent", "LeaseTerms", "Leases"]
