"""Tests of pg."""
