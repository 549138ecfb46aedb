"""Tests of staged rollouts."""
