"""Tests of cluster/rollout."""
