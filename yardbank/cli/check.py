"""``yardbank check FILE``."""

from __future__ import annotations

from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from yardbank.cli.common import load_or_exit
from yardbank.config import advice, build


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check the settings in FILE and show how each kind of request will be routed."""
    config = load_or_exit(file)
    console = Console(width=120)
    console.print(
        f"{file}: fine. {len(config.server)} servers in {len(config.group)} groups, zone '{config.gateway.zone}'."
    )
    rules = Table(title="What is routed how", title_justify="left")
    for column in ("operations", "base", "scope", "attribute", "identity", "class"):
        rules.add_column(column)
    for kind in config.classes:
        for match in kind.match:
            rules.add_row(
                " ".join(match.operation),
                match.base or "any",
                " ".join(match.scope) or "any",
                " ".join(match.attribute) or "any",
                " ".join(match.identity) or "any",
                kind.name,
            )
    rules.add_row("search compare", "no rule, or two alike", "", "", "", build.STRICT_READ)
    rules.add_row("add delete modify modifydn passwd", "no rule, or two alike", "", "", "", build.STRICT_WRITE)
    console.print(rules)
    classes = Table(title="Classes", title_justify="left")
    for column in ("class", "goes to", "effect", "aim", "deadline", "worth"):
        classes.add_column(column)
    destinations = {
        "any": "any member",
        "session": "a copy that has the session's writes, else the primary",
        "fresh": "the primary",
        "write": "the primary",
    }
    for configured in build.request_classes(config):
        destination = destinations.get(
            configured.read, f"a copy at most {configured.staleness_bound / 1e6:.0f} ms behind, else the primary"
        )
        classes.add_row(
            configured.name,
            destination,
            configured.effect,
            f"{configured.latency_objective / 1e6:.0f} ms",
            f"{configured.deadline / 1e6:.0f} ms",
            f"{configured.priority_weight:g}",
        )
    console.print(classes)
    classes_without_match = [kind.name for kind in config.classes if not kind.match]
    if classes_without_match:
        console.print(f"Nothing is routed as {', '.join(classes_without_match)}: no match block.")
    for warning in advice.warnings(config):
        console.print(f"Warning: {warning}", markup=False, highlight=False)
