"""``yardbank plan``."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from yardbank.cli.common import EXIT_FAULT, load_or_exit
from yardbank.config import build
from yardbank.config.base import duration
from yardbank.plan.active_plan import MadePlan, list_hash
from yardbank.plan.document import PlanError, moved_share, read_problem, render
from yardbank.plan.model import RELAXABLE, Problem, relaxed
from yardbank.plan.solver import Plan, solve
from yardbank.server_list.document import ServerListError, read_plans, read_set
from yardbank.server_list.watcher import read_files

EXIT_INFEASIBLE, EXIT_HELD_BACK = 4, 3


@click.group()
def plan() -> None:
    """Compute, compare and apply plans: precomputed shares of reads for each server."""


def _solve_file(
    file: Path, before: Path | None = None, without: tuple[str, ...] = (), seconds: float = 0.0
) -> tuple[Problem, Plan, bytes]:
    old: dict[tuple[str, str, str], dict[str, float]] = {}
    try:
        if before is not None:
            for row in json.loads(before.read_text())["shares"]:
                old[row["class"], row["group"], row["zone"]] = {str(n): float(v) for n, v in row["shares"].items()}
    except OSError as fault:
        click.echo(f"yardbank: {before}: {fault.strerror or fault}", err=True)
        sys.exit(EXIT_FAULT)
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        click.echo(f"yardbank: {before}: not a plan as JSON: {fault!r}", err=True)
        sys.exit(EXIT_FAULT)
    try:
        data = file.read_bytes()
        problem = relaxed(read_problem(data.decode(), str(file), old), without)
    except OSError as fault:
        click.echo(f"yardbank: {file}: {fault.strerror or fault}", err=True)
    except UnicodeDecodeError:
        click.echo(f"yardbank: {file}: not UTF-8", err=True)
    except PlanError as fault:
        for line in fault.faults:
            click.echo(f"yardbank: {line}", err=True)
    else:
        return problem, solve(problem, seconds), data
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
@click.option("--out", type=click.Path(path_type=Path), help="File to write them to: a part of a watched list.")
@click.option("--fade", default="1h", show_default=True, help="Age at which the plan starts to fade to equal shares.")
@click.option("--from", "before", type=click.Path(path_type=Path), help="The active plan, as JSON, for most_moved.")
@click.option("--relax", multiple=True, type=click.Choice(RELAXABLE), help="Drop these limits; the plan names them.")
@click.option(
    "--seconds", type=click.FloatRange(0), default=60.0, show_default=True, help="Time limit per linear program."
)
@click.option("--json", "as_json", is_flag=True, help="Print the plan as JSON.")
def solve_command(
    file: Path,
    zone: str | None,
    out: Path | None,
    fade: str,
    before: Path | None,
    relax: tuple[str, ...],
    seconds: float,
    as_json: bool,
) -> None:
    """Solve the model in FILE. Exit code 4: no plan is feasible, and nothing is written."""
    problem, found, data = _solve_file(file, before, relax, seconds)
    _stop_if_infeasible(found)
    try:
        duration(fade)
    except ValueError as fault:
        click.echo(f"yardbank: --fade: {fault}", err=True)
        sys.exit(EXIT_FAULT)
    if (out is None) != (zone is None):
        click.echo("yardbank: --out and --zone must be given together", err=True)
        sys.exit(EXIT_FAULT)
    if out is not None and zone is not None:
        temporary = out.with_name(f".{out.name}.new")
        temporary.write_text(render(problem, found, zone, data, time.time(), fade, " ".join(relax)))
        os.replace(temporary, out)
    if as_json:
        shares = [
            {"class": kind, "group": group, "zone": requesting_zone, "shares": by_server}
            for (kind, group, requesting_zone), by_server in sorted(found.shares.items())
        ]
        whole = {"shares": shares, "crossing": found.crossing, "used": found.used}
        whole |= {"gap": found.gap, "proven": found.proven, "relaxed": list(relax)}
        click.echo(json.dumps(whole, indent=2))
        return
    remarks = "" if found.proven else f"; NOT PROVEN: at most {found.gap:.2%} of reads above the least"
    remarks += f"; WITHOUT {' '.join(relax)}" if relax else ""
    table = Table(title=f"Shares; {found.crossing:g}/s between zones{remarks}", title_justify="left")
    for column in ("class", "group", "asked in", "server", "share"):
        table.add_column(column)
    for (kind, group, requesting_zone), by_server in sorted(found.shares.items()):
        for server, share in sorted(by_server.items()):
            table.add_row(kind, group, requesting_zone, server, f"{share:.3f}")
    Console(width=120).print(table)


@plan.command()
@click.argument("file", type=click.Path(path_type=Path))
def explain(file: Path) -> None:
    """Show the utilization of servers and which limits cost cross-zone traffic, or why there is no plan for FILE."""
    problem, found, _ = _solve_file(file)
    _stop_if_infeasible(found)
    for server in problem.servers:
        click.echo(f"{server.name}: {found.used[server.name]:.0%} of {server.usable:g}/s")
    for line in found.binding or ["no limit costs traffic between zones"]:
        click.echo(line)


def _load_plans(file: Path) -> tuple[MadePlan, ...]:
    """Read the plans in a file; exit with code 2 if it holds none or has errors."""
    try:
        return read_plans(read_files(file))
    except ServerListError as problem:
        for fault in problem.faults:
            click.echo(f"yardbank: {fault}", err=True)
    except OSError as fault:
        click.echo(f"yardbank: {file}: {fault.strerror or fault}", err=True)
    sys.exit(EXIT_FAULT)


@plan.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
def diff(old: Path, new: Path) -> None:
    """Show what plan NEW changes against plan OLD in each zone, and what share of reads moves."""
    before, after = ({made.zone: made for made in _load_plans(file)} for file in (old, new))
    for zone in sorted({*before, *after}):
        if zone not in before or zone not in after:
            click.echo(f"zone {zone}: only in {new if zone in after else old}")
            continue
        old_weights, new_weights = before[zone].weights, after[zone].weights
        click.echo(f"zone {zone}: {moved_share(old_weights, new_weights):.1%} of reads move")
        for name in sorted({*old_weights, *new_weights}):
            if old_weights.get(name) != new_weights.get(name):
                click.echo(f"  {name}: {old_weights.get(name, 0):g} -> {new_weights.get(name, 0):g}")


@plan.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--settings", type=click.Path(path_type=Path), required=True, help="Settings of the gateways.")
def apply(file: Path, settings: Path) -> None:
    """Put the plan FILE into the directory of the watched list. Exit code 3: it was made for another list."""
    config = load_or_exit(settings)
    plans = _load_plans(file)
    if config.membership is None or not (target := settings.parent / config.membership.path).is_dir():
        click.echo(f"yardbank: {settings}: membership: a plan needs a watched directory of parts", err=True)
        sys.exit(EXIT_FAULT)
    try:
        fleet = read_set(read_files(target), build.fleet_groups(config))
    except ServerListError as problem:
        click.echo(f"yardbank: {problem.faults[0]}", err=True)
        sys.exit(EXIT_FAULT)
    wanted = list_hash(fleet.servers)
    if any(made.list_hash != wanted for made in plans):
        click.echo(f"yardbank: {file}: made for another list than the one in {target}; solve it again", err=True)
        sys.exit(EXIT_HELD_BACK)
    temporary = target / ".plan.new"
    temporary.write_bytes(file.read_bytes())
    os.replace(temporary, target / "plan.hcl")
    click.echo(f"{target / 'plan.hcl'}: in place for zones {', '.join(made.zone for made in plans)}")
