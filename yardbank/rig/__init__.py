"""Many gateways together: so far the virtual fleet, on one virtual clock and in one process."""
