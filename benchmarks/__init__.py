"""Measurements that compare side by side in one run; no part of CI."""
