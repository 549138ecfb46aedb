"""Tests of testing/audit."""
