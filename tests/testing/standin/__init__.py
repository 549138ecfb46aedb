"""Tests of yardbank.testing.standin."""
