"""Tests of cluster/channels."""
