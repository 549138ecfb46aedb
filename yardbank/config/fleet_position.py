"""Where one gateway stands among all."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class FleetPosition:
    """This gateway's place among all, and its bound of servers a group (0: none)."""

    index: int = 0
    gateways: int = 1
    most: int = 0
    spares: int = 2
