"""Tests of the scheduler package."""
