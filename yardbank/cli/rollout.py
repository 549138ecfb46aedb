"""``yardbank rollout check|show|stop|withdraw``."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console
from rich.table import Table

from yardbank.cli.common import EXIT_FAULT, checked_or_exit, load_or_exit
from yardbank.config import Config, ConfigError
from yardbank.config.checked import read_text
from yardbank.files import write_atomically

if TYPE_CHECKING:
    from yardbank.cluster.rollout.document import Asked

FILE = click.argument("file", type=click.Path(path_type=Path))


@click.group()
def rollout() -> None:
    """Check, follow and stop staged changes of the fleet. FILE is the settings file of a gateway."""


def _fail(text: str) -> None:
    click.echo(f"yardbank: {text}", err=True)
    sys.exit(EXIT_FAULT)


def _request_file(file: Path, config: Config) -> Path:
    if config.rollout is None:
        _fail(f"{file}: no rollout block: this gateway takes part in none")
    assert config.rollout is not None
    return file.parent / config.rollout.file


def _load_request(path: Path) -> Asked:
    from yardbank.cluster.rollout.document import SHAPE, Asked, taken

    found = checked_or_exit(lambda path: taken(read_text(path).encode(), str(path), SHAPE), path)
    assert isinstance(found, Asked)
    return found


def _zones_by_gateway(file: Path, config: Config) -> dict[str, str]:
    from yardbank.cluster.peers.peer_list import SHAPE as PEERS
    from yardbank.config.checked import check_text

    if config.peers is None:
        _fail(f"{file}: no peers block: this gateway has no peers")
    assert config.peers is not None
    path = file.parent / config.peers.list
    found = checked_or_exit(lambda path: check_text(read_text(path), str(path), PEERS), path)
    return {entry.name: entry.zone for entry in found.peer} | (
        {} if config.peers.name in {entry.name for entry in found.peer} else {config.peers.name: ""}
    )


@rollout.command()
@FILE
@click.argument("asked", type=click.Path(path_type=Path), required=False)
def check(file: Path, asked: Path | None) -> None:
    """Check the requested rollout (the file that the settings name, or ASKED) and show the gateways of each stage."""
    from yardbank.cluster.rollout.actuator import sound
    from yardbank.cluster.rollout.stage_plan import StagePlan

    config = load_or_exit(file)
    path = asked or _request_file(file, config)
    change = _load_request(path).change
    if change is None:
        click.echo(f"{path}: fine. Nothing is asked for.")
        return
    if change.settings:
        new = file.parent / change.settings
        loaded = load_or_exit(new)
        checked_or_exit(lambda path: sound(loaded, path), new)
    stage_plan = StagePlan(change.id, _zones_by_gateway(file, config), change.stages)
    if not stage_plan.can_be_judged:
        _fail(f'{path}:1: rollout "{change.id}": no zone has two gateways: there would be nothing to compare with')
    table = Table()
    for column in ("stage", "gateways", "of zones"):
        table.add_column(column)
    for stage in range(1, stage_plan.stages + 1):
        names = stage_plan.of(stage)
        zones = sorted({stage_plan.zones[name] or "none" for name in names})
        shown = ", ".join(names[:12]) + (f" and {len(names) - 12} more" if len(names) > 12 else "")
        table.add_row(str(stage), shown or "none in a fleet of this size", ", ".join(zones))
    console = Console(width=120)
    console.print(table)
    if len(stage_plan.pairs(1)) < 2:
        console.print("Only one pair can be compared: this ends undecided.", highlight=False)
    what = change.settings or change.program
    click.echo(f"{path}: fine. {change.id}: {what}, at most {change.most_at_once} at once.")


@rollout.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="Print the view as JSON.")
def show(file: Path, as_json: bool) -> None:
    """Show the rollout as seen by the gateway that runs with the settings in FILE."""
    config = load_or_exit(file)
    _request_file(file, config)
    if config.peers is None:
        _fail(f"{file}: no peers block: this gateway has no peers")
    assert config.peers is not None
    path = file.parent / config.peers.view
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        view, written = document.get("parts", {}).get("rollout"), document["written"]
    except OSError as problem:
        _fail(f"{path}: {problem.strerror or problem}: has the gateway run?")
    except (ValueError, KeyError, AttributeError):
        _fail(f"{path}: not a view of a gateway")
    if as_json:
        click.echo(json.dumps(view, indent=2))
    elif not view or not view.get("rollout"):
        click.echo("Nothing is asked for.")
    else:
        _print_view(view, written)


def _print_view(view: dict[str, Any], written: float) -> None:
    console = Console(width=120)
    state = "finished" if view["finished"] else f"stopped: {view['stopped']}" if view["stopped"] else "under way"
    console.print(
        f"{view['rollout']}: {state}; stage {view['stage']} of {view['stages']}; this gateway: "
        f"{view['place']}; written {time.time() - written:.1f} s ago",
        markup=False,
        highlight=False,
    )
    if view["held"] and not view["finished"]:
        console.print(f"held: {view['held']}", markup=False, highlight=False)
    table = Table()
    for column in ("place", "gateways"):
        table.add_column(column)
    for place, names in view["places"].items():
        table.add_row(place, ", ".join(names))
    console.print(table)
    evidence = view["evidence"]
    console.print(
        f"evidence that it is worse {evidence['worse']} (stops at {evidence['stops_at']}), that it is not "
        f"{evidence['well']} (goes on at {evidence['passes_at']}), of {evidence['windows']} windows; classes compared: "
        f"{', '.join(evidence['classes']) or 'none yet'}",
        markup=False,
        highlight=False,
    )
    if evidence["not_compared"]:
        console.print(f"not compared: {', '.join(evidence['not_compared'])}", markup=False, highlight=False)


def _write_command(file: Path, rollout: str, stop: bool) -> None:
    from yardbank.cluster.rollout.document import COMMANDS, OperatorCommand, command_file, taken

    config = load_or_exit(file)
    path = command_file(_request_file(file, config))
    stops: list[str] = []
    withdrawn: list[str] = []
    if path.exists():
        found = checked_or_exit(lambda path: taken(read_text(path).encode(), str(path), COMMANDS), path)
        assert isinstance(found, OperatorCommand)
        stops, withdrawn = list(found.stop), list(found.withdraw)
    commanded = stops if stop else withdrawn
    if rollout not in commanded:
        commanded.append(rollout)
    text = "".join(f'stop "{entry}" {{}}\n' for entry in stops) + "".join(
        f'withdraw "{entry}" {{}}\n' for entry in withdrawn
    )
    try:
        taken(text.encode(), str(path), COMMANDS)
    except ConfigError:
        _fail(f"{path}: '{rollout}' is not a valid rollout name")
    try:
        write_atomically(path, text)
    except OSError as problem:
        _fail(f"{path}: {problem.strerror or problem}")
    if stop:
        click.echo(f"{path}: stopped here, for good. Before a second gateway it stops the fleet; until then all wait.")
    else:
        click.echo(f"{path}: withdrawn here. Put it before every gateway.")


@rollout.command()
@FILE
@click.argument("rollout")
def stop(file: Path, rollout: str) -> None:
    """Stop a ROLLOUT permanently: this gateway reverts, and the whole fleet once two gateways have the command."""
    _write_command(file, rollout, True)


@rollout.command()
@FILE
@click.argument("rollout")
def withdraw(file: Path, rollout: str) -> None:
    """Withdraw a ROLLOUT at this gateway: it reverts, and the same rollout may be requested again later."""
    _write_command(file, rollout, False)
