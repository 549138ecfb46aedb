"""Memory and processor time of this process."""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Callable
from pathlib import Path

KIB = 1024
_PAGE = os.sysconf("SC_PAGE_SIZE")


def resident_kib() -> float:
    """Return the resident memory of this process in KiB, after a garbage collection."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE / KIB


def grown_kib(make: Callable[[], object]) -> tuple[object, float]:
    """Return the made object and the growth of this process in KiB."""
    before = resident_kib()
    made = make()
    return made, resident_kib() - before


def processor_ms(work: Callable[[], object], turns: int = 1) -> float:
    """Return the mean processor time of one turn of some work, in ms."""
    began = time.process_time()
    for _ in range(turns):
        work()
    return (time.process_time() - began) / turns * 1e3
