"""Tests of the daemon package."""
