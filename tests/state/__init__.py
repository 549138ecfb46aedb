"""Tests of the durable state."""
