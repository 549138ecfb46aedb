"""Tests of the stand-in servers."""
