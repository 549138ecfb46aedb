"""``yardbank serve FILE``."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from yardbank.cli.common import EXIT_FAULT, load_or_exit, set_up_logs
from yardbank.cluster.peers import PeersError
from yardbank.config import Config

if TYPE_CHECKING:
    from yardbank.cluster.rollout.active_version import Started


def _in_force(file: Path, config: Config, log: Any) -> tuple[Started, Path, Config]:
    """How this process was started, the settings file in force, and what it says."""
    from yardbank.cluster.rollout.active_version import ActiveVersion, Started, of_worker

    try:
        started = of_worker(os.environ, file)
    except ValueError as problem:  # it runs by what it was started with, and says so
        log.error("active_version_unreadable", fault=str(problem))
        started = Started(ActiveVersion(), file, False)
    if not started.supervised and started.active_version.now.program:
        log.error(
            "rollout",
            rollout=started.active_version.now.rollout,
            what="not_in_force",
            stage=0,
            version=started.active_version.now.name,
            why="another program runs only under --supervised",
        )
        started = Started(ActiveVersion(), file, False)
    now = started.active_version.now.file(started.given)
    return (started, file, config) if now == file else (started, now, load_or_exit(now))


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="Processes on one port.")
@click.option("--record", type=click.Path(path_type=Path), help="Write what happens to this file, as JSON lines.")
@click.option("--clock-rate", type=click.FloatRange(0.1, 10), default=1.0, hidden=True, help="For tests of the fleet.")
@click.option("--clock-offset", type=float, default=0.0, hidden=True, help="Of the wall clock, in seconds; for tests.")
@click.option("--supervised", is_flag=True, help="Keep one worker running, through rollouts too.")
@click.option("--worker", type=int, hidden=True, help="This process is worker N of --workers.")
def serve(
    file: Path,
    workers: int,
    record: Path | None,
    clock_rate: float,
    clock_offset: float,
    supervised: bool,
    worker: int | None,
) -> None:
    """Run a gateway by the settings in FILE. SIGTERM drains and stops it, SIGHUP reads FILE again.

    With a rollout block, what a rollout has brought is in force in place of FILE (rollout-in-force.json beside it).
    """
    from yardbank.daemon import run_supervisor, run_worker
    from yardbank.daemon.clocks import Clocks

    config = load_or_exit(file)
    if supervised and (config.rollout is None or workers > 1):
        click.echo(f"yardbank: {file}: rollout: --supervised wants such a block, and one worker", err=True)
        sys.exit(EXIT_FAULT)
    if config.peers is not None and workers > 1:
        click.echo(f"yardbank: {file}: peers: one process has the port; use one worker", err=True)
        sys.exit(EXIT_FAULT)
    clocks = Clocks(clock_rate, clock_offset)
    if clocks.odd and workers > 1:
        click.echo("yardbank: --clock-rate, --clock-offset: of one process only; use one worker", err=True)
        sys.exit(EXIT_FAULT)
    log = set_up_logs(config.logging.level, config.logging.format)
    started = None
    if config.rollout is not None and supervised:
        from yardbank.daemon.versioned_supervisor import run_versioned_supervisor

        options = ["--record", str(record)] if record is not None else []
        options += ["--clock-rate", str(clock_rate), "--clock-offset", str(clock_offset)] if clocks.odd else []
        sys.exit(run_versioned_supervisor(file, config.rollout.young, options, log))
    if config.rollout is not None:
        started, file, config = _in_force(file, config, log)
    try:
        if workers > 1 and worker is None:
            code = run_supervisor(file, config, workers, record, log)
        else:
            code = run_worker(file, config, workers, worker, record, log, clocks, started)
    except PeersError as problem:
        click.echo(f"yardbank: {problem}", err=True)
        sys.exit(EXIT_FAULT)
    except OSError as problem:
        click.echo(f"yardbank: {file}: cannot listen: {problem.strerror or problem}", err=True)
        sys.exit(EXIT_FAULT)
    sys.exit(code)
