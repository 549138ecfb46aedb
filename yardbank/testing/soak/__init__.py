"""A seeded soak of the platform's program: stand-ins for all it speaks to, signals up to the kill, and a judge.

It looks for faults and gives no score. ``python -m yardbank.testing.soak SEED ...`` plays seeds.
"""
