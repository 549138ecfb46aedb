"""Tests of config."""
