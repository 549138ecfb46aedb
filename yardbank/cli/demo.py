"""``yardbank demo``."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from yardbank.cli.common import set_up_logs


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="Seeds the day's chances.")
@click.option("--seconds", type=click.FloatRange(4), default=30.0, show_default=True, help="Length of the day.")
@click.option("--daemon", is_flag=True, help="Run the gateway as a process of its own.")
@click.option("--stay", is_flag=True, help="Keep the stack up until interrupted, without a bad day.")
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="Write the verdict, or how to connect, here."
)
@click.option("--record", type=click.Path(path_type=Path), help="Keep the record of all sockets here.")
@click.option("--verbose", is_flag=True, help="Show the gateway's log.")
def demo(
    seed: int, seconds: float, daemon: bool, stay: bool, json_file: Path | None, record: Path | None, verbose: bool
) -> None:
    """Play a scripted bad day on loopback sockets and print a verdict on the five rules."""
    from yardbank.testing.demo.runner import run_day, run_stay

    set_up_logs("debug" if verbose else "error", "console")
    if stay:
        sys.exit(run_stay(json_file, seed))
    sys.exit(run_day(seed, seconds, daemon, json_file, record))
