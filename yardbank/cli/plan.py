"""``yardbank plan``."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from yardbank.cli.common import EXIT_FAULT
from yardbank.plan.document import PlanError, read_problem, render
from yardbank.plan.model import Problem
from yardbank.plan.solve import Plan, solve

EXIT_INFEASIBLE = 4


@click.group()
def plan() -> None:
    """Shares of reads worked out ahead."""


def _solved(file: Path) -> tuple[Problem, Plan, bytes]:
    try:
        data = file.read_bytes()
        problem = read_problem(data.decode(), str(file))
    except OSError as fault:
        click.echo(f"yardbank: {file}: {fault.strerror or fault}", err=True)
    except UnicodeDecodeError:
        click.echo(f"yardbank: {file}: not UTF-8", err=True)
    except PlanError as fault:
        for line in fault.faults:
            click.echo(f"yardbank: {line}", err=True)
    else:
        return problem, solve(problem), data
    sys.exit(EXIT_FAULT)


def _stop_if_infeasible(found: Plan) -> None:
    if found.feasible:
        return
    for conflict in found.conflicts:
        click.echo(f"no plan for group {conflict.group}: these cannot hold together, each alone could be eased:")
        for limit in conflict.limits:
            click.echo(f"  {limit}")
        click.echo(f"  at least {conflict.unserved:g}/s would go unserved")
    sys.exit(EXIT_INFEASIBLE)


@plan.command(name="solve")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--zone", help="Write the weights for this zone's gateways.")
@click.option("--out", type=click.Path(path_type=Path), help="Where to: a part of a watched list.")
@click.option("--json", "as_json", is_flag=True, help="Print the plan as JSON.")
def solve_command(file: Path, zone: str | None, out: Path | None, as_json: bool) -> None:
    """Solve the model in FILE. Exit code 4: nothing is feasible, and nothing is written."""
    problem, found, data = _solved(file)
    _stop_if_infeasible(found)
    if (out is None) != (zone is None):
        click.echo("yardbank: --out and --zone belong together", err=True)
        sys.exit(EXIT_FAULT)
    if out is not None and zone is not None:
        part = out.with_name(f".{out.name}.new")
        part.write_text(render(problem, found, zone, data))
        os.replace(part, out)
    if as_json:
        shares = [
            {"class": kind, "group": group, "zone": asked, "shares": by_server}
            for (kind, group, asked), by_server in sorted(found.shares.items())
        ]
        click.echo(json.dumps({"shares": shares, "crossing": found.crossing, "used": found.used}, indent=2))
        return
    table = Table(title=f"Shares; {found.crossing:g}/s between zones", title_justify="left")
    for column in ("class", "group", "asked in", "server", "share"):
        table.add_column(column)
    for (kind, group, asked), by_server in sorted(found.shares.items()):
        for server, share in sorted(by_server.items()):
            table.add_row(kind, group, asked, server, f"{share:.3f}")
    Console(width=120).print(table)


@plan.command()
@click.argument("file", type=click.Path(path_type=Path))
def explain(file: Path) -> None:
    """Say which limits hold the plan of FILE back, how full servers are, or why there is none."""
    problem, found, _ = _solved(file)
    _stop_if_infeasible(found)
    for server in problem.servers:
        click.echo(f"{server.name}: {found.used[server.name]:.0%} of {server.usable:g}/s")
    for line in found.binding or ["no limit costs traffic between zones"]:
        click.echo(line)
