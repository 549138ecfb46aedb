"""Latencies between zones, estimated from the measurements of many gateways. No I/O."""

from yardbank.cluster.latency_map.options import Options
from yardbank.cluster.latency_map.part import LatencyMapPart

__all__ = ["LatencyMapPart", "Options"]
