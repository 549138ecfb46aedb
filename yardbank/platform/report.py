"""Load reports and positions as the platform's servers write them. No I/O."""

from __future__ import annotations

import re
from decimal import Decimal, InvalidOperation

from yardbank.gateway.api import MS, Position

ORIGIN = "clock"
_MILLIS = re.compile(r"[0-9]{1,16}(?:\.[0-9]{1,9})?\Z", re.ASCII)


def nanoseconds(text: str, unit: int) -> int | None:
    """A number in units of ``unit`` ns, exactly; None if it is none."""
    if not _MILLIS.match(text):
        return None
    try:
        return int(Decimal(text) * unit)
    except InvalidOperation:
        return None


def read_report(text: str) -> Position | None:
    """A load report, ``name=number`` with commas between; None if it cannot be read.

    Of its fields the decision module uses the position (``x0``, in seconds), the role (``x1``, 1 for a primary) and
    how busy the cores are (``utilization``).
    """
    held: dict[str, str] = {}
    for part in text.split(","):
        name, equals, value = part.strip().partition("=")
        if not equals or not name or name in held:
            return None
        try:
            float(value)
        except ValueError:
            return None
        held[name] = value
    at = nanoseconds(held["x0"], 1000 * MS) if "x0" in held else None
    if "x0" in held and at is None:
        return None
    primary = float(held["x1"]) == 1 if "x1" in held else None
    load = float(held["utilization"]) if "utilization" in held else None
    return Position({} if at is None else {ORIGIN: (at,)}, primary, load)
