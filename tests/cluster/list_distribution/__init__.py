"""Tests of cluster/list_distribution."""
