"""Tests of cluster/latency_map."""
