"""What each way between zones costs, from many witnesses: seen, believed, used. No I/O."""

from yardbank.cluster.latency_map.options import Options
from yardbank.cluster.latency_map.part import AtlasPart

__all__ = ["AtlasPart", "Options"]
