"""Many gateways together: real processes with relays between them, and the virtual fleet on one virtual clock."""
