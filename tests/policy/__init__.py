"""Tests of policy."""
