"""Tests of cluster/lease."""
