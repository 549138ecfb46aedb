"""The thin shell around ``yardbank.proxy``: a reactor, signals, and worker processes."""

from yardbank.daemon.supervisor import run_supervisor
from yardbank.daemon.worker import run_worker

__all__ = ["run_supervisor", "run_worker"]
