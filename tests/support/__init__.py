"""What several test files share: worlds on a virtual clock, stand-ins for sockets, seeded faults."""
