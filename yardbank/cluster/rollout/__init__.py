"""Staged rollout of new settings or a new program over the fleet, with automatic rollback when the version does worse.

There is no coordinator. Every gateway computes the same order from the peer list, receives the figures of a few
compared gateways, judges them itself, and changes only its own version. Reports of other gateways are evidence: a
single gateway's report never changes another gateway's version, at worst it delays the rollout.
"""
