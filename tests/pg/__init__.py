"""Tests of yardbank.pg."""
