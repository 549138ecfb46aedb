"""Shared test support: simulations on a virtual clock, fake sockets, seeded faults."""
