"""``yardbank demo``."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from yardbank.cli.common import set_up_logs


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the scenario's random choices.")
@click.option("--seconds", type=click.FloatRange(4), default=30.0, show_default=True, help="Duration of the scenario.")
@click.option("--daemon", is_flag=True, help="Run the gateway as a separate process.")
@click.option("--stay", is_flag=True, help="Keep the stack running until interrupted, without injecting faults.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(path_type=Path),
    help="Write the verdict, or how to connect (--stay), to this file.",
)
@click.option("--record", type=click.Path(path_type=Path), help="Write the record of all socket traffic to this file.")
@click.option("--verbose", is_flag=True, help="Show the gateway's log.")
def demo(
    seed: int, seconds: float, daemon: bool, stay: bool, json_file: Path | None, record: Path | None, verbose: bool
) -> None:
    """Run a scripted series of faults on loopback sockets and print a verdict on the five rules."""
    from yardbank.testing.demo.runner import run_day, run_stay

    set_up_logs("debug" if verbose else "error", "console")
    if stay:
        sys.exit(run_stay(json_file, seed))
    sys.exit(run_day(seed, seconds, daemon, json_file, record))
