"""Checks recorded traffic against the five delivery rules. Shares no code with the gateway."""

from yardbank.testing.audit.judge import Verdict, judge
from yardbank.testing.audit.record import read_record

__all__ = ["Verdict", "judge", "read_record"]
