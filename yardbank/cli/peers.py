"""``yardbank peers show FILE``."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from yardbank.cli.common import EXIT_FAULT, load_or_exit


@click.group()
def peers() -> None:
    """Show the other gateways of the fleet as one gateway sees them."""


def _age_text(milliseconds: int | None) -> str:
    return "never" if milliseconds is None else f"{milliseconds / 1e3:.1f} s"


@peers.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the view as JSON.")
def show(file: Path, as_json: bool) -> None:
    """Show the view of the gateway that runs with the settings in FILE; ages are those when it was written."""
    block = load_or_exit(file).peers
    if block is None:
        click.echo(f"yardbank: {file}: no peers block: this gateway has no peers", err=True)
        sys.exit(EXIT_FAULT)
    view = _read_view(file.parent / block.view)
    if as_json:
        click.echo(json.dumps(view, indent=2))
        return
    console = Console(width=120)
    _print_heading(console, view)
    _print_peers(console, view)
    _print_server_reports(console, view)
    _print_totals(console, view)


def _read_view(path: Path) -> Any:
    """Read the view that the gateway wrote; exit with code 2 if it cannot be read."""
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as problem:
        click.echo(f"yardbank: {path}: {problem.strerror or problem}: has the gateway run?", err=True)
        sys.exit(EXIT_FAULT)
    except ValueError:
        click.echo(f"yardbank: {path}: not JSON", err=True)
        sys.exit(EXIT_FAULT)


def _print_heading(console: Console, view: Any) -> None:
    dropped = ", ".join(f"{count} {reason}" for reason, count in view["dropped"].items()) or "none"
    console.print(
        f"{view['name']} of fleet {view['fleet']}, life {view['life']}, incarnation {view['incarnation']}, "
        f"slowness {view['slowness']}; written {time.time() - view['written']:.1f} s ago; datagrams dropped: "
        f"{dropped}",
        markup=False,
        highlight=False,
    )


def _print_peers(console: Console, view: Any) -> None:
    table = Table()
    for column in ("peer", "state", "incarnation", "for", "heard itself"):
        table.add_column(column)
    for name, entry in sorted(view["peers"].items()):
        table.add_row(
            name,
            entry["state"],
            str(entry["incarnation"]),
            _age_text(entry["changed_ms"]),
            _age_text(entry["heard_ms"]),
        )
    console.print(table)


def _print_server_reports(console: Console, view: Any) -> None:
    server_table = Table(title="Words on servers", title_justify="left")
    for column in ("server", "spared by hearsay for", "who says what, how long ago"):
        server_table.add_column(column)
    for name, entry in sorted(view["servers"].items()):
        reports = ", ".join(
            f"{who} {word['kind']} {_age_text(word['age_ms'])}" for who, word in sorted(entry["words"].items())
        )
        server_table.add_row(name, _age_text(entry["doubted_ms"]) if entry["doubted_ms"] else "", reports)
    console.print(server_table)


def _print_totals(console: Console, view: Any) -> None:
    total_table = Table(title="Counts over the fleet", title_justify="left")
    for column in ("count", "sum", "gateways in it", "missing", "oldest part"):
        total_table.add_column(column)
    for key, entry in sorted(view["totals"].items()):
        total_table.add_row(
            key, str(entry["value"]), str(entry["parts"]), str(entry["missing"]), _age_text(entry["oldest_ms"])
        )
    console.print(total_table)
