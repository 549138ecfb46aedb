"""``yardbank list`` and ``yardbank state``."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from yardbank.cli.common import EXIT_FAULT, load_or_exit
from yardbank.config import Config, build
from yardbank.gateway.api import ServerSpec
from yardbank.server_list.comparison import compare, suspicion
from yardbank.server_list.document import ServerListDocument, ServerListError, read_set, render
from yardbank.server_list.watcher import read_files
from yardbank.state.snapshot import Snapshot, SnapshotError
from yardbank.state.store import Store, StoreError

EXIT_HELD_BACK = 3

FILE = click.argument("file", type=click.Path(path_type=Path))
SETTINGS = click.option(
    "--settings",
    type=click.Path(path_type=Path),
    required=True,
    help="The gateway's settings, which name groups and paths.",
)


def _load_list(path: Path, config: Config) -> ServerListDocument:
    try:
        return read_set(read_files(path), build.fleet_groups(config))
    except ServerListError as problem:
        for fault in problem.faults:
            click.echo(f"yardbank: {fault}", err=True)
    except OSError as problem:
        click.echo(f"yardbank: {path}: {problem.strerror or problem}", err=True)
    sys.exit(EXIT_FAULT)


def _active_servers(settings: Path, config: Config) -> tuple[ServerSpec, ...]:
    if config.membership is None:
        return build.servers(config)
    return _load_list(settings.parent / config.membership.path, config).servers


@click.group(name="list")
def fleet_list() -> None:
    """Check, show, compare and apply server lists."""


@fleet_list.command()
@FILE
@SETTINGS
def check(file: Path, settings: Path) -> None:
    """Check a list FILE, or a directory of parts. Exit code 2: it has errors, which are printed."""
    fleet = _load_list(file, load_or_exit(settings))
    click.echo(f"{file}: fine. {len(fleet.servers)} servers, digest {fleet.digest}.")


@fleet_list.command()
@FILE
@SETTINGS
def show(file: Path, settings: Path) -> None:
    """Show the servers in a list."""
    table = Table()
    for column in ("server", "group", "zone", "address", "role", "state", "weight"):
        table.add_column(column)
    for s in _load_list(file, load_or_exit(settings)).servers:
        role = "primary" if s.primary else "copy"
        table.add_row(s.name, s.group, s.zone, f"{s.host}:{s.port}", role, s.state, f"{s.weight:g}")
    Console(width=120).print(table)


@fleet_list.command()
@FILE
@SETTINGS
def diff(file: Path, settings: Path) -> None:
    """Show what FILE would change in the active list. Exit code 3: gateways would hold it back."""
    config = load_or_exit(settings)
    _print_changes(_active_servers(settings, config), _load_list(file, config))


def _print_changes(old: tuple[ServerSpec, ...], fleet: ServerListDocument) -> None:
    change = compare(old, fleet.servers)
    click.echo("\n".join(change.lines()) or "no change")
    if reason := suspicion(old, fleet.servers):
        click.echo(f"would be held back: {reason}")
        sys.exit(EXIT_HELD_BACK)


@fleet_list.command()
@FILE
@SETTINGS
@click.option("--force", is_flag=True, help="Apply a change even if it would be held back.")
def apply(file: Path, settings: Path, force: bool) -> None:
    """Replace the watched list with FILE atomically; gateways read it from there.

    With --force the written file contains ``force = true``, so that gateways do not hold it back.
    """
    config = load_or_exit(settings)
    if config.membership is None:
        click.echo(f"yardbank: {settings}: no membership block: the server list is part of the settings", err=True)
        sys.exit(EXIT_FAULT)
    target = settings.parent / config.membership.path
    if target.is_dir():
        click.echo(f"yardbank: {target}: is a directory of parts; change its files instead", err=True)
        sys.exit(EXIT_FAULT)
    fleet = _load_list(file, config)
    old = _load_list(target, config).servers if target.exists() else ()
    reason = suspicion(old, fleet.servers)
    if reason and not force:
        click.echo(f"yardbank: held back: {reason}; --force applies it", err=True)
        sys.exit(EXIT_HELD_BACK)
    temporary = target.with_name(f".{target.name}.new")
    temporary.write_text(("force = true\n\n" if reason else "") + render(fleet.servers, fleet.set_name))
    os.replace(temporary, target)
    click.echo(f"{target}: {len(fleet.servers)} servers in place.")


@click.group()
def state() -> None:
    """Show and verify the durable state of a gateway."""


def _load_snapshot(path: Path) -> Snapshot:
    try:
        store = Store(path, create=False)
        found = store.read_only()
        store.close()
    except (StoreError, SnapshotError) as problem:
        click.echo(f"yardbank: {getattr(problem, 'strerror', None) or f'{path}: {problem}'}", err=True)
        sys.exit(EXIT_FAULT)
    if found is None:
        click.echo(f"yardbank: {path}: no snapshot", err=True)
        sys.exit(EXIT_FAULT)
    return found


@state.command(name="show")
@click.argument("path", type=click.Path(path_type=Path))
def show_state(path: Path) -> None:
    """Show the contents of the state in directory PATH."""
    found = _load_snapshot(path)
    written = datetime.fromtimestamp(found.written, UTC)
    source = "last word of a stop in good order" if found.clean else "of a running or killed gateway"
    click.echo(
        f"written {written:%Y-%m-%d %H:%M:%S} UTC, list version {found.version}, run {found.generation}, {source}"
    )
    table = Table()
    for column in ("server", "group", "state", "role", "marks told"):
        table.add_column(column)
    for s in found.servers:
        table.add_row(s.name, s.group, s.state, "primary" if s.primary else "copy", str(s.marks or ""))
    Console(width=140).print(table)


@state.command()
@click.argument("path", type=click.Path(path_type=Path))
def verify(path: Path) -> None:
    """Check the state in directory PATH. Exit code 2: it is unusable, and the reason is printed."""
    found = _load_snapshot(path)
    click.echo(f"{path}: fine. {len(found.servers)} servers, list version {found.version}.")
