"""Tests of timeline."""
