"""Tests of cluster/peers."""
