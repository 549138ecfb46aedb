"""A seeded soak test of the platform's program, with simulated peers and signals, up to its kill, and rule checks.

It searches for faults and is no benchmark. ``python -m yardbank.testing.soak SEED ...`` runs seeds.
"""
