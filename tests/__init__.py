"""Tests of yardbank; no bench needed."""
