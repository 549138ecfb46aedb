"""Tests of scheduler."""
