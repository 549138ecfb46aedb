"""Load reports and positions as the platform's servers write them. No I/O."""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass
from decimal import Decimal, InvalidOperation

from yardbank.gateway.api import MS, ProbeResult
from yardbank.wire import LOAD_FIELDS

ORIGIN = "clock"
POSITION, ROLE = "x0", "x1"  # of this kind of system: seconds since 1970; 1 for a primary
UNSAID = (POSITION, ROLE, "utilization")  # read where the settings do not name the fields
MAX_REPORT = 4096  # characters; a report names a few fields
MAX_LOAD = 10.0  # a share of the cores errs by some tenths; what is so far beyond 1 is none
_MILLIS = re.compile(r"[0-9]{1,16}(?:\.[0-9]{1,9})?\Z", re.ASCII)
_NUMBER = re.compile(r"-?[0-9]{1,25}(?:\.[0-9]{1,25})?(?:[eE][+-]?[0-9]{1,3})?\Z", re.ASCII)
_ROLES = {0.0: False, 1.0: True}


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a load report tells; each field that cannot be read is missing by itself, and named."""

    position: ProbeResult | None  # None: nothing of the report can be read
    spoilt: tuple[str, ...] = ()


def nanoseconds(text: str, unit: int) -> int | None:
    """A number in units of ``unit`` ns, exactly; None if it is none."""
    if not _MILLIS.match(text):
        return None
    try:
        return int(Decimal(text) * unit)
    except InvalidOperation:
        return None


def _role(text: str) -> bool | None:
    return _ROLES.get(float(text))


def _load(text: str) -> float | None:
    return load if 0 <= (load := float(text)) <= MAX_LOAD else None


def _split(text: str) -> tuple[dict[str, str], set[str]]:
    """The fields that hold a number, and the names of those that do not or come twice."""
    held: dict[str, str] = {}
    spoilt: set[str] = set()
    for part in text.split(","):
        name, _, number = part.strip().partition("=")
        if not name or name in held or not _NUMBER.match(number):
            spoilt.add(name[:32] or part[:32])
        else:
            held[name] = number
    return {name: number for name, number in held.items() if name not in spoilt}, spoilt


def read_report(text: str, fields: Collection[str] = UNSAID) -> LoadReport:
    """A load report, ``name=number`` with commas between, of the ``fields`` that the settings name.

    The names' meanings are fixed, and the settings say which of them are sent. Of these the decision module uses the
    position, the role and how busy the cores are; others are skipped, and one that is left out is not known. A field
    that is no number, is none of its kind, or comes twice is spoilt. The role goes with the position: it was true then.
    """
    if len(text) > MAX_REPORT:
        return LoadReport(None, (f"more than {MAX_REPORT} characters",))
    held, spoilt = _split(text)
    at = primary = load = None
    if POSITION in held and POSITION in fields:
        at = nanoseconds(held[POSITION], 1000 * MS)
        spoilt |= {POSITION} if at is None else set()
    if ROLE in held and ROLE in fields:
        primary = _role(held[ROLE])
        spoilt |= {ROLE} if primary is None else set()
    for name in LOAD_FIELDS:
        if name in held and name in fields:
            load = _load(held[name])
            spoilt |= {name} if load is None else set()
    if POSITION in spoilt:
        primary = None
    readable = held.keys() - spoilt
    marks = {} if at is None else {ORIGIN: (at,)}
    return LoadReport(ProbeResult(marks, primary, load) if readable else None, tuple(sorted(spoilt)))
