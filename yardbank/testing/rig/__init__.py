"""Fleets of gateways: real processes connected by relays, and simulated gateways on a virtual clock."""
