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


def _active_settings(file: Path, config: Config, log: Any) -> tuple[Started, Path, Config]:
    """Return how this process was started, the active settings file, and its contents."""
    from yardbank.cluster.rollout.active_version import ActiveVersion, Started, of_worker

    try:
        started = of_worker(os.environ, file)
    except ValueError as problem:  # fall back to the settings given at start, and log the error
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
@click.option(
    "--workers",
    type=click.IntRange(1, 64),
    default=1,
    show_default=True,
    help="Processes sharing the port.",
)
@click.option("--record", type=click.Path(path_type=Path), help="Record all events in this file, as JSON lines.")
@click.option(
    "--clock-rate",
    type=click.FloatRange(0.1, 10),
    default=1.0,
    hidden=True,
    help="Rate of the clock; for fleet tests.",
)
@click.option("--clock-offset", type=float, default=0.0, hidden=True, help="Wall clock offset in seconds; for tests.")
@click.option("--supervised", is_flag=True, help="Keep one worker running, also across rollouts.")
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
    """Run a gateway with the settings in FILE. SIGTERM drains and stops it, SIGHUP reloads FILE.

    With a rollout block, settings that a rollout has activated replace FILE (rollout-in-force.json beside it).
    """
    from yardbank.daemon import run_supervisor, run_worker
    from yardbank.daemon.clocks import Clocks

    config = load_or_exit(file)
    if supervised and (config.rollout is None or workers > 1):
        click.echo(f"yardbank: {file}: --supervised requires a rollout block and one worker", err=True)
        sys.exit(EXIT_FAULT)
    if config.peers is not None and workers > 1:
        click.echo(f"yardbank: {file}: peers: only one process can use the port; use one worker", err=True)
        sys.exit(EXIT_FAULT)
    clocks = Clocks(clock_rate, clock_offset)
    if clocks.odd and workers > 1:
        click.echo("yardbank: --clock-rate, --clock-offset: apply to one process only; use one worker", err=True)
        sys.exit(EXIT_FAULT)
    log = set_up_logs(config.logging.level, config.logging.format)
    started = None
    if config.rollout is not None and supervised:
        from yardbank.daemon.versioned_supervisor import run_versioned_supervisor

        options = ["--record", str(record)] if record is not None else []
        options += ["--clock-rate", str(clock_rate), "--clock-offset", str(clock_offset)] if clocks.odd else []
        sys.exit(run_versioned_supervisor(file, config.rollout.young, options, log))
    if config.rollout is not None:
        started, file, config = _active_settings(file, config, log)
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
