"""Runs ``yardbank.proxy`` as a process: reactor, signals, worker processes and their supervisors."""

from yardbank.daemon.supervisor import run_supervisor
from yardbank.daemon.worker import run_worker

__all__ = ["run_supervisor", "run_worker"]
