"""Tests of plan."""
