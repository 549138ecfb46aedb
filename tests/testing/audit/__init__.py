"""Tests of yardbank.testing.audit."""
