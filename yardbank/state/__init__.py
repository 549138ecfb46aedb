"""Durable state of a gateway, and what of it can be trusted after a restart."""

from yardbank.state.recovery import Restart, judge
from yardbank.state.snapshot import Snapshot, SnapshotError, decode, encode
from yardbank.state.store import Store

__all__ = ["Restart", "Snapshot", "SnapshotError", "Store", "decode", "encode", "judge"]
