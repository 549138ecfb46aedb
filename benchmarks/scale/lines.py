"""All lines of measurements, by name."""

from __future__ import annotations

from benchmarks.scale import decisions, gossip, health, lists, together
from benchmarks.scale.line import Line

LINES: dict[str, Line] = {
    line.name: line for module in (decisions, lists, health, gossip, together) for line in module.LINES
}
