"""Tests of testing."""
