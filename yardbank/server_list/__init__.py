"""What a gateway knows of its fleet: watched files, checked, and applied whole or not at all."""

from yardbank.server_list.document import Fleet, FleetError, read_set
from yardbank.server_list.lifecycle import Apply, Hold, Membership, Reject

__all__ = ["Apply", "Fleet", "FleetError", "Hold", "Membership", "Reject", "read_set"]
