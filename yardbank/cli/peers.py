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
    """The other gateways of the fleet, as one of them sees them."""


def _age(milliseconds: int | None) -> str:
    return "never" if milliseconds is None else f"{milliseconds / 1e3:.1f} s"


@peers.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the view as JSON.")
def show(file: Path, as_json: bool) -> None:
    """Show the view of the gateway that runs by the settings in FILE, with ages as of its writing."""
    block = load_or_exit(file).peers
    if block is None:
        click.echo(f"yardbank: {file}: no peers block: this gateway knows of no others", err=True)
        sys.exit(EXIT_FAULT)
    view = _read_view(file.parent / block.view)
    if as_json:
        click.echo(json.dumps(view, indent=2))
        return
    console = Console(width=120)
    _print_heading(console, view)
    _print_peers(console, view)
    _print_words(console, view)
    _print_totals(console, view)


def _read_view(path: Path) -> Any:
    """The view as the gateway wrote it; ends the command where there is none."""
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
    for name, one in sorted(view["peers"].items()):
        table.add_row(name, one["state"], str(one["incarnation"]), _age(one["changed_ms"]), _age(one["heard_ms"]))
    console.print(table)


def _print_words(console: Console, view: Any) -> None:
    words = Table(title="Words on servers", title_justify="left")
    for column in ("server", "spared by hearsay for", "who says what, how long ago"):
        words.add_column(column)
    for name, one in sorted(view["servers"].items()):
        said = ", ".join(f"{who} {word['kind']} {_age(word['age_ms'])}" for who, word in sorted(one["words"].items()))
        words.add_row(name, _age(one["doubted_ms"]) if one["doubted_ms"] else "", said)
    console.print(words)


def _print_totals(console: Console, view: Any) -> None:
    totals = Table(title="Counts over the fleet", title_justify="left")
    for column in ("count", "sum", "gateways in it", "missing", "oldest part"):
        totals.add_column(column)
    for key, one in sorted(view["totals"].items()):
        totals.add_row(key, str(one["value"]), str(one["parts"]), str(one["missing"]), _age(one["oldest_ms"]))
    console.print(totals)
