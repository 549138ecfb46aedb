"""yardbank: routing of reads and writes in a replicated store, read-after-write at session level."""

from yardbank.interface import Settings
from yardbank.policy import Router

__all__ = ["Router", "Settings"]
