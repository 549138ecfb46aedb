"""Benchmarks that compare alternatives side by side in one run; not part of CI."""
