"""Position of one gateway in the fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class FleetPosition:
    """Index of this gateway in the fleet, and how many servers of a group it uses.

    ``most``: maximum number of servers per group (0: all); ``spares``: further servers for when those fail.
    """

    index: int = 0
    gateways: int = 1
    most: int = 0
    spares: int = 2
