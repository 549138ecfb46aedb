"""One grant, one holder: votes of a few, epochs, drift, silence after a start. No I/O.

Safety rests on the voters' promises and on clocks that run at nearly one rate, never on who is believed to be alive.
"""

from yardbank.cluster.lease.api import LeaseEvent, Leases, LeaseTerms

__all__ = ["LeaseEvent", "LeaseTerms", "Leases"]
