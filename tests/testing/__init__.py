"""Tests of yardbank.testing."""
