"""Tests of daemon."""
