"""``yardbank audit RECORD``."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from yardbank.cli.common import EXIT_FAULT


@click.command()
@click.argument("record", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
def audit(record: Path, as_json: bool) -> None:
    """Check the five rules against a RECORD of the traffic on all sockets. Exit code 1: a rule was broken."""
    from yardbank.testing.audit import judge, read_record
    from yardbank.testing.audit.report import show

    try:
        facts = read_record(record)
    except (OSError, ValueError) as problem:
        click.echo(f"yardbank: {problem}", err=True)
        sys.exit(EXIT_FAULT)
    verdict = judge(facts)
    show(verdict, as_json)
    sys.exit(0 if verdict.held else 1)
