"""Tests of cluster."""
