"""What outlives a gateway's process, and what of it may be trusted afterwards."""

from yardbank.state.recovery import Restart, judge
from yardbank.state.snapshot import Snapshot, SnapshotError, decode, encode
from yardbank.state.store import Store

__all__ = ["Restart", "Snapshot", "SnapshotError", "Store", "decode", "encode", "judge"]
