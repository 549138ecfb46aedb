"""Tests of testing/rig."""
