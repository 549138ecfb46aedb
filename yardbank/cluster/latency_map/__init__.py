"""Latencies between zones, from the measurements of many gateways: measured, agreed on, used. No I/O."""

from yardbank.cluster.latency_map.options import Options
from yardbank.cluster.latency_map.part import LatencyMapPart

__all__ = ["LatencyMapPart", "Options"]
